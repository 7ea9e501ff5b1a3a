#include "jt_config_sync.h"
#include "jt_document_text.h"
#include "jt_founding.h"
#include "jt_net.h"
#include "jt_store.h"
#include "jt_store_budget.h"

#include <string.h>

enum {
	RETRY_MIN_MS = 300,
	RETRY_MAX_MS = 8000,
	WRITE_RESPONSE_TIMEOUT_MS = 4000, /* limit for answering the request */
	WRITE_RETRY_LIMIT_MS = 60000,	  /* limit for retries of a write */
	WRITE_RETRY_MS = 300,
};

enum write_step { STEP_GET, STEP_PUT, STEP_WAIT, STEP_ACTIVATE };

struct pending_write {
	struct pending_write *next;
	struct jt_config_sync *sync;
	char *id;
	struct jt_change *changes; /* NULL: queries the outcome only */
	size_t count;
	json_t *posted;
	jt_write_callback callback;
	void *private_data;
	uint64_t started_ms;
	uint64_t retry_ms;
	enum write_step step;
	bool sent;		  /* a put was sent, its outcome is unknown */
	uint64_t put_revision;	  /* the revision that the put compares */
	uint64_t stored_revision; /* the revision that contains the write */
	char *put_text;
};

struct jt_config_sync {
	struct jt_node *node;
	struct jt_store *store;
	char *key;
	struct jt_store_budget budget;
	struct jt_founding *founding;
	uint64_t read_due_ms;
	uint32_t backoff_ms;
	struct tevent_req *reading;
	struct tevent_req *watching;
	bool watch_stale; /* a change may have been missed */
	bool store_up;
	struct pending_write *writes;
};

static void retry_schedule(struct jt_config_sync *sync)
{
	sync->read_due_ms = jt_clock_ms() + jt_store_jitter(sync->backoff_ms);
	sync->backoff_ms *= 2;
	if (sync->backoff_ms > RETRY_MAX_MS)
		sync->backoff_ms = RETRY_MAX_MS;
}

static void store_state_set(struct jt_config_sync *sync, bool up)
{
	if (sync->store_up == up)
		return;
	sync->store_up = up;
	jt_log_line(sync->node->log, up ? LOG_NOTICE : LOG_WARNING,
		    "event=store_%s", up ? "up" : "down");
}

struct jt_config_sync *jt_config_sync_create(TALLOC_CTX *mem_ctx,
					     struct jt_node *node)
{
	struct jt_config_sync *sync =
		talloc_zero(mem_ctx, struct jt_config_sync);

	if (sync == NULL)
		return NULL;
	sync->node = node;
	sync->store =
		jt_store_create(sync, node->loop, node->settings->store_url);
	sync->key = talloc_asprintf(sync, "/jaspertrack/%s/resources",
				    node->settings->cell);
	sync->backoff_ms = RETRY_MIN_MS;
	jt_store_budget_init(&sync->budget, node);
	sync->read_due_ms = jt_clock_ms() + jt_store_jitter(RETRY_MIN_MS);
	if (sync->store != NULL)
		sync->founding = jt_founding_create(sync, node, sync->store,
						    &sync->budget);
	if (sync->store == NULL || sync->key == NULL || sync->founding == NULL)
		TALLOC_FREE(sync);
	return sync;
}

/* Reading */

static bool is_reader(const struct jt_config_sync *sync)
{
	return jt_core_is_store_reader(sync->node->core) ||
	       jt_core_coordinator(sync->node->core);
}

static void on_change(const struct jt_store_value *value, void *private_data)
{
	struct jt_config_sync *sync = private_data;

	store_state_set(sync, true);
	jt_node_add_document(sync->node, value->mod_revision, value->value);
}

static void on_watch_end(struct tevent_req *req)
{
	struct jt_config_sync *sync =
		tevent_req_callback_data(req, struct jt_config_sync);

	jt_store_watch_recv(req);
	TALLOC_FREE(sync->watching);
	retry_schedule(sync);
}

static void on_read(struct tevent_req *req)
{
	struct jt_config_sync *sync =
		tevent_req_callback_data(req, struct jt_config_sync);
	TALLOC_CTX *frame = talloc_new(sync);
	struct jt_store_value value;
	enum jt_store_result result = jt_store_get_recv(req, frame, &value);

	TALLOC_FREE(sync->reading);
	if (result != JT_STORE_OK) {
		store_state_set(sync, false);
		retry_schedule(sync);
		talloc_free(frame);
		return;
	}
	store_state_set(sync, true);
	sync->backoff_ms = RETRY_MIN_MS;
	if (value.present)
		jt_node_add_document(sync->node, value.mod_revision,
				     value.value);
	talloc_free(frame);
	sync->watching = jt_store_watch_send(
		sync, sync->store, sync->key,
		value.present ? value.mod_revision + 1 : 1, on_change, sync);
	if (sync->watching != NULL)
		tevent_req_set_callback(sync->watching, on_watch_end, sync);
}

static void read_tick(struct jt_config_sync *sync)
{
	uint64_t now = jt_clock_ms();

	if (!is_reader(sync)) {
		TALLOC_FREE(sync->watching);
		return;
	}
	if (sync->watching != NULL || sync->reading != NULL ||
	    now < sync->read_due_ms || !jt_store_budget_consume(&sync->budget))
		return;
	sync->reading = jt_store_get_send(sync, sync->store, sync->key);
	if (sync->reading != NULL)
		tevent_req_set_callback(sync->reading, on_read, sync);
}

/* Writing */

static int write_destructor(struct pending_write *write)
{
	json_decref(write->posted);
	return 0;
}

static void write_report(struct pending_write *write,
			 enum jt_write_outcome outcome, uint64_t revision,
			 const struct jt_resource_error *error)
{
	static const struct jt_resource_error none;
	jt_write_callback callback = write->callback;

	write->callback = NULL;
	if (callback != NULL)
		callback(outcome, revision, error ? error : &none,
			 write->private_data);
}

static void write_finish(struct pending_write *write,
			 enum jt_write_outcome outcome, uint64_t revision,
			 const struct jt_resource_error *error)
{
	struct pending_write **link = &write->sync->writes;

	write_report(write, outcome, revision, error);
	while (*link != write)
		link = &(*link)->next;
	*link = write->next;
	talloc_free(write);
}

static void write_retry_schedule(struct pending_write *write)
{
	write->step = STEP_WAIT;
	write->retry_ms = jt_clock_ms() + jt_store_jitter(2 * WRITE_RETRY_MS);
}

/* Returns true if the cell has activated the stored revision; before that, the
 * other side of a network partition may not have received it. Without a cell,
 * storing it is sufficient. */
static bool write_active(const struct pending_write *write)
{
	const struct jt_cell_state *state =
		jt_core_state(write->sync->node->core);

	return state == NULL ||
	       state->config->revision >= write->stored_revision;
}

static void write_stored(struct pending_write *write, uint64_t revision)
{
	write->stored_revision = revision;
	write->step = STEP_ACTIVATE;
	if (write_active(write))
		write_finish(write, JT_WRITE_ACCEPTED, revision, NULL);
}

static void write_get(struct pending_write *write);

static void on_write_put(struct tevent_req *req)
{
	struct pending_write *write =
		tevent_req_callback_data(req, struct pending_write);
	struct jt_config_sync *sync = write->sync;
	uint64_t revision = 0;
	enum jt_store_result result = jt_store_put_recv(req, &revision);

	talloc_free(req);
	switch (result) {
	case JT_STORE_OK:
		store_state_set(sync, true);
		jt_node_add_document(sync->node, revision, write->put_text);
		write_stored(write, revision);
		break;
	case JT_STORE_FAILED_COMPARE:
		/* Another node wrote, or the response to an earlier put was
		 * lost: reads the store to find out. */
		write_get(write);
		break;
	case JT_STORE_REFUSED:
		write_retry_schedule(write);
		break;
	case JT_STORE_LOST:
	case JT_STORE_BAD_RESPONSE:
		store_state_set(sync, false);
		write->sent = true;
		write_retry_schedule(write);
		break;
	}
}

static void write_put(struct pending_write *write)
{
	struct tevent_req *req;

	write->step = STEP_PUT;
	req = jt_store_put_send(write, write->sync->store, write->sync->key,
				write->put_text, write->put_revision);
	if (req == NULL) {
		write_retry_schedule(write);
		return;
	}
	tevent_req_set_callback(req, on_write_put, write);
}

static void write_prepare(struct pending_write *write, const json_t *document,
			  uint64_t revision)
{
	static const enum jt_write_outcome outcomes[] = {
		[JT_CHANGE_CONFLICT] = JT_WRITE_CONFLICT,
		[JT_CHANGE_NOT_FOUND] = JT_WRITE_ABSENT,
		[JT_CHANGE_INVALID] = JT_WRITE_INVALID,
		[JT_CHANGE_FORBIDDEN] = JT_WRITE_FORBIDDEN,
	};
	struct jt_resource_error error = {0};
	enum jt_change_result result;
	json_t *new_document;
	char *text;

	result = jt_change_apply(document, write->changes, write->count,
				 write->id, &new_document, &error);
	if (result != JT_CHANGE_OK) {
		write_finish(write, outcomes[result], 0, &error);
		return;
	}
	text = json_dumps(new_document, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(new_document);
	talloc_free(write->put_text);
	write->put_text = talloc_strdup(write, text);
	free(text);
	write->put_revision = revision;
	write->sent = false;
	write_put(write);
}

static void write_evaluate(struct pending_write *write,
			   const struct jt_store_value *value)
{
	bool replaced;
	json_t *document =
		value->present ? jt_document_text_parse(value->value, &replaced)
			       : json_object();
	uint64_t revision = value->present ? value->mod_revision : 0;

	if (document == NULL) {
		write_retry_schedule(write);
		return;
	}
	if (jt_change_has_write_id(document, write->id)) {
		jt_node_add_document(write->sync->node, revision, value->value);
		write_stored(write, revision);
	} else if (write->changes == NULL) {
		write_finish(write, JT_WRITE_ABSENT, 0, NULL);
	} else if (write->sent && revision == write->put_revision) {
		/* The earlier put may still arrive; both compare the same
		 * revision, so that at most one takes effect. */
		write_put(write);
	} else {
		write_prepare(write, document, revision);
	}
	json_decref(document);
}

static void on_write_get(struct tevent_req *req)
{
	struct pending_write *write =
		tevent_req_callback_data(req, struct pending_write);
	TALLOC_CTX *frame = talloc_new(write->sync);
	struct jt_store_value value;
	enum jt_store_result result = jt_store_get_recv(req, frame, &value);

	talloc_free(req);
	store_state_set(write->sync, result == JT_STORE_OK);
	if (result == JT_STORE_OK)
		write_evaluate(write, &value);
	else
		write_retry_schedule(write);
	talloc_free(frame);
}

static void write_get(struct pending_write *write)
{
	struct tevent_req *req;

	write->step = STEP_GET;
	req = jt_store_get_send(write, write->sync->store, write->sync->key);
	if (req == NULL) {
		write_retry_schedule(write);
		return;
	}
	tevent_req_set_callback(req, on_write_get, write);
}

static void write_tick(struct pending_write *write)
{
	uint64_t now = jt_clock_ms();

	if (write->step == STEP_ACTIVATE) {
		if (write_active(write))
			write_finish(write, JT_WRITE_ACCEPTED,
				     write->stored_revision, NULL);
		else if (now >= write->started_ms + WRITE_RESPONSE_TIMEOUT_MS)
			write_finish(write, JT_WRITE_STORED,
				     write->stored_revision, NULL);
		return;
	}

	if (now >= write->started_ms + WRITE_RESPONSE_TIMEOUT_MS &&
	    write->callback != NULL) {
		if (!write->sent && write->step == STEP_WAIT) {
			write_finish(write, JT_WRITE_NOT_RUN, 0, NULL);
			return;
		}
		if (write->sent)
			write_report(write, JT_WRITE_UNKNOWN, 0, NULL);
	}
	if (write->step != STEP_WAIT || now < write->retry_ms)
		return;
	if (now >= write->started_ms + WRITE_RETRY_LIMIT_MS) {
		write_finish(write, JT_WRITE_UNKNOWN, 0, NULL);
		return;
	}
	if (jt_store_budget_consume(&write->sync->budget))
		write_get(write);
}

static struct pending_write *write_add(struct jt_config_sync *sync,
				       const char *write_id,
				       jt_write_callback callback,
				       void *private_data)
{
	struct pending_write *write = talloc_zero(sync, struct pending_write);

	if (write == NULL)
		return NULL;
	talloc_set_destructor(write, write_destructor);
	write->sync = sync;
	write->id = talloc_strdup(write, write_id);
	write->callback = callback;
	write->private_data = private_data;
	write->started_ms = jt_clock_ms();
	write->step = STEP_WAIT;
	write->next = sync->writes;
	sync->writes = write;
	return write;
}

void jt_config_write(struct jt_config_sync *sync, const char *write_id,
		     struct jt_change *changes, size_t count, json_t *posted,
		     jt_write_callback callback, void *private_data)
{
	struct pending_write *write =
		write_add(sync, write_id, callback, private_data);

	if (write == NULL) {
		json_decref(posted);
		return;
	}
	write->changes = talloc_steal(write, changes);
	write->count = count;
	write->posted = posted;
}

void jt_config_write_cancel_callback(struct jt_config_sync *sync,
				     void *private_data)
{
	for (struct pending_write *w = sync->writes; w; w = w->next) {
		if (w->private_data == private_data)
			w->callback = NULL;
	}
}

void jt_config_write_query(struct jt_config_sync *sync, const char *write_id,
			   jt_write_callback callback, void *private_data)
{
	/* A write that is pending here is not absent. */
	for (struct pending_write *w = sync->writes; w; w = w->next) {
		if (w->changes != NULL && strcmp(w->id, write_id) == 0) {
			callback(JT_WRITE_UNKNOWN, 0, NULL, private_data);
			return;
		}
	}
	(void)write_add(sync, write_id, callback, private_data);
}

void jt_config_sync_tick(struct jt_config_sync *sync)
{
	struct pending_write *write, *next;

	read_tick(sync);
	jt_founding_tick(sync->founding);
	for (write = sync->writes; write != NULL; write = next) {
		next = write->next;
		write_tick(write);
	}
}

struct jt_store *jt_config_sync_store(struct jt_config_sync *sync)
{
	return sync->store;
}

bool jt_config_sync_consume_operation(struct jt_config_sync *sync)
{
	return jt_store_budget_consume(&sync->budget);
}

uint64_t jt_config_sync_store_bytes(const struct jt_config_sync *sync)
{
	return jt_store_bytes(sync->store);
}

uint64_t jt_config_sync_store_operations(const struct jt_config_sync *sync)
{
	return jt_store_operations(sync->store);
}

bool jt_config_sync_store_reachable(const struct jt_config_sync *sync)
{
	return sync->store_up;
}
