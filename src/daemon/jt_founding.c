#include "jt_founding.h"
#include "jt_net.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>

enum {
	FOUND_AFTER_MS = 3000, /* peers get this long to answer */
	FOUNDER_INTERVAL_MS = 10000,
	FOUNDER_POLL_MS = 3000,	   /* while this node has no cell */
	FOUNDER_SILENT_MS = 60000, /* a mark unrenewed so long is dead */
};

struct jt_founding {
	struct jt_node *node;
	struct jt_store *store;
	struct jt_store_budget *budget;
	char *key; /* of the mark */
	uint64_t due_ms;
	bool busy;
	uint64_t mark_revision;	   /* as last seen */
	uint64_t mark_observed_ms; /* since when it has stood still; 0: no */
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

static void founder_done(struct jt_founding *founding, bool founded)
{
	struct jt_event event = {.kind = JT_EVENT_FOUND};
	bool member = jt_core_state(founding->node->core) != NULL;

	founding->busy = false;
	founding->due_ms =
		jt_clock_ms() +
		jt_store_jitter(member ? FOUNDER_INTERVAL_MS : FOUNDER_POLL_MS);
	if (!founded || member)
		return;
	event.u.cell = founding->cell;
	jt_log_line(founding->node->log, LOG_NOTICE,
		    "event=cell_founded cell=%016" PRIx64, founding->cell);
	jt_node_event(founding->node, &event);
}

static void on_founder_put(struct tevent_req *req)
{
	struct jt_founding *founding =
		tevent_req_callback_data(req, struct jt_founding);
	uint64_t revision = 0;
	enum jt_store_result result = jt_store_put_recv(req, &revision);

	talloc_free(req);
	founder_done(founding, result == JT_STORE_OK);
}

/* Write the mark if it is still at @revision: found, take over or renew. */
static void founder_mark(struct jt_founding *founding, uint64_t revision)
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
		founder_done(founding, false);
	else
		tevent_req_set_callback(req, on_founder_put, founding);
}

static bool mark_is_dead(struct jt_founding *founding, uint64_t revision)
{
	uint64_t now = jt_clock_ms();

	if (founding->mark_observed_ms == 0 ||
	    founding->mark_revision != revision) {
		founding->mark_observed_ms = now;
		founding->mark_revision = revision;
	}
	return now >= founding->mark_observed_ms + FOUNDER_SILENT_MS;
}

static void founder_read(struct jt_founding *founding,
			 const struct jt_store_value *value)
{
	const struct jt_cell_state *state = jt_core_state(founding->node->core);
	uint64_t found = value->present ? strtoull(value->value, NULL, 16) : 0;

	if (!value->present) {
		founder_mark(founding, 0);
	} else if (state == NULL && found == founding->cell) {
		founder_done(founding,
			     true); /* the answer to our put was lost */
	} else if (state == NULL) {
		if (mark_is_dead(founding, value->mod_revision))
			founder_mark(founding, value->mod_revision);
		else
			founder_done(founding, false);
	} else if (found == state->cell) {
		founder_mark(founding, value->mod_revision);
	} else {
		jt_log_line(founding->node->log, LOG_ERR,
			    "event=foreign_cell cell=%016" PRIx64, found);
		founder_done(founding, false);
	}
}

static void on_founder_get(struct tevent_req *req)
{
	struct jt_founding *founding =
		tevent_req_callback_data(req, struct jt_founding);
	TALLOC_CTX *frame = talloc_new(founding);
	struct jt_store_value value;
	enum jt_store_result result = jt_store_get_recv(req, frame, &value);

	talloc_free(req);
	if (result == JT_STORE_OK) {
		founder_read(founding, &value);
	} else {
		founding->mark_observed_ms = 0;
		founder_done(founding, false);
	}
	talloc_free(frame);
}

void jt_founding_tick(struct jt_founding *founding)
{
	const struct jt_cell_state *state = jt_core_state(founding->node->core);
	uint64_t now = jt_clock_ms();
	struct tevent_req *req;

	if (state != NULL)
		founding->mark_observed_ms = 0;
	if (founding->busy || now < founding->due_ms ||
	    founding->node->draining)
		return;
	if (state == NULL &&
	    (now < founding->node->started_ms + FOUND_AFTER_MS ||
	     jt_node_newest(founding->node) == NULL))
		return;
	if (state != NULL && !jt_core_coordinator(founding->node->core))
		return;
	if (!jt_store_budget_take(founding->budget))
		return;
	req = jt_store_get_send(founding, founding->store, founding->key);
	if (req == NULL)
		return;
	founding->busy = true;
	tevent_req_set_callback(req, on_founder_get, founding);
}
