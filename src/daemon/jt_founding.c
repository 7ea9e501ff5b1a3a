#include "jt_founding.h"
#include "jt_net.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>

enum {
	FOUND_DELAY_MS = 3000, /* time for peers to answer */
	RENEW_INTERVAL_MS = 10000,
	POLL_INTERVAL_MS = 3000, /* without a cell */
	RECORD_STALE_MS =
		60000, /* a record without renewal for this time is stale */
};

struct jt_founding {
	struct jt_node *node;
	struct jt_store *store;
	struct jt_store_budget *budget;
	char *key; /* of the founder record */
	uint64_t due_ms;
	bool request_pending;
	uint64_t record_revision;    /* at the last read */
	uint64_t unchanged_since_ms; /* since when record_revision hasn't
					changed; 0: unknown */
	uint64_t cell;
};

struct jt_founding *jt_founding_create(TALLOC_CTX *mem_ctx,
				       struct jt_node *node,
				       struct jt_store *store,
				       struct jt_store_budget *budget)
{
	struct jt_founding *founding = talloc_zero(mem_ctx, struct jt_founding);

	if (founding == NULL)
		return NULL;
	founding->node = node;
	founding->store = store;
	founding->budget = budget;
	founding->key = talloc_asprintf(founding, "/jaspertrack/%s/founder",
					node->settings->cell);
	if (founding->key == NULL)
		TALLOC_FREE(founding);
	return founding;
}

static void attempt_finish(struct jt_founding *founding, bool founded)
{
	struct jt_event event = {.kind = JT_EVENT_CREATE_CELL};
	bool member = jt_core_state(founding->node->core) != NULL;

	founding->request_pending = false;
	founding->due_ms =
		jt_clock_ms() +
		jt_store_jitter(member ? RENEW_INTERVAL_MS : POLL_INTERVAL_MS);
	if (!founded || member)
		return;
	event.u.cell = founding->cell;
	jt_log_line(founding->node->log, LOG_NOTICE,
		    "event=cell_founded cell=%016" PRIx64, founding->cell);
	jt_node_handle_event(founding->node, &event);
}

static void on_record_put(struct tevent_req *req)
{
	struct jt_founding *founding =
		tevent_req_callback_data(req, struct jt_founding);
	uint64_t revision = 0;
	enum jt_store_result result = jt_store_put_recv(req, &revision);

	talloc_free(req);
	attempt_finish(founding, result == JT_STORE_OK);
}

/* Writes the founder record if it is still at @revision: founds a cell,
 * replaces a stale record or renews it. */
static void record_write(struct jt_founding *founding, uint64_t revision)
{
	const struct jt_cell_state *state = jt_core_state(founding->node->core);
	struct tevent_req *req;
	char text[32];

	if (state != NULL)
		founding->cell = state->cell;
	else
		randombytes_buf(&founding->cell, sizeof(founding->cell));
	snprintf(text, sizeof(text), "%016" PRIx64, founding->cell);
	req = jt_store_put_send(founding, founding->store, founding->key, text,
				revision);
	if (req == NULL)
		attempt_finish(founding, false);
	else
		tevent_req_set_callback(req, on_record_put, founding);
}

static bool record_is_stale(struct jt_founding *founding, uint64_t revision)
{
	uint64_t now = jt_clock_ms();

	if (founding->unchanged_since_ms == 0 ||
	    founding->record_revision != revision) {
		founding->unchanged_since_ms = now;
		founding->record_revision = revision;
	}
	return now >= founding->unchanged_since_ms + RECORD_STALE_MS;
}

static void record_evaluate(struct jt_founding *founding,
			    const struct jt_store_value *value)
{
	const struct jt_cell_state *state = jt_core_state(founding->node->core);
	uint64_t record_cell =
		value->present ? strtoull(value->value, NULL, 16) : 0;

	if (!value->present) {
		record_write(founding, 0);
	} else if (state == NULL && record_cell == founding->cell) {
		attempt_finish(founding,
			       true); /* the response to the put was lost */
	} else if (state == NULL) {
		if (record_is_stale(founding, value->mod_revision))
			record_write(founding, value->mod_revision);
		else
			attempt_finish(founding, false);
	} else if (record_cell == state->cell) {
		record_write(founding, value->mod_revision);
	} else {
		jt_log_line(founding->node->log, LOG_ERR,
			    "event=foreign_cell cell=%016" PRIx64, record_cell);
		attempt_finish(founding, false);
	}
}

static void on_record_get(struct tevent_req *req)
{
	struct jt_founding *founding =
		tevent_req_callback_data(req, struct jt_founding);
	TALLOC_CTX *frame = talloc_new(founding);
	struct jt_store_value value;
	enum jt_store_result result = jt_store_get_recv(req, frame, &value);

	talloc_free(req);
	if (result == JT_STORE_OK) {
		record_evaluate(founding, &value);
	} else {
		founding->unchanged_since_ms = 0;
		attempt_finish(founding, false);
	}
	talloc_free(frame);
}

void jt_founding_tick(struct jt_founding *founding)
{
	const struct jt_cell_state *state = jt_core_state(founding->node->core);
	uint64_t now = jt_clock_ms();
	struct tevent_req *req;

	if (state != NULL)
		founding->unchanged_since_ms = 0;
	if (founding->request_pending || now < founding->due_ms ||
	    founding->node->draining)
		return;
	if (state == NULL &&
	    (now < founding->node->started_ms + FOUND_DELAY_MS ||
	     jt_node_newest_document(founding->node) == NULL))
		return;
	if (state != NULL && !jt_core_coordinator(founding->node->core))
		return;
	if (!jt_store_budget_consume(founding->budget))
		return;
	req = jt_store_get_send(founding, founding->store, founding->key);
	if (req == NULL)
		return;
	founding->request_pending = true;
	tevent_req_set_callback(req, on_record_get, founding);
}
