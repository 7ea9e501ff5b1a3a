#include "jt_witness.h"
#include "jt_store.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum { PROPOSAL_LIMIT_BYTES = 60000 };

struct jt_witness {
	struct jt_node *node;
	struct jt_config_sync *sync;
	char *key;
	struct witness_call *call; /* the pending call; NULL: none */
};

struct witness_call {
	struct jt_witness *witness;
	struct jt_witness_reply reply;
};

struct jt_witness *jt_witness_create(TALLOC_CTX *mem_ctx, struct jt_node *node,
				     struct jt_config_sync *sync)
{
	struct jt_witness *witness = talloc_zero(mem_ctx, struct jt_witness);

	if (witness == NULL)
		return NULL;
	witness->node = node;
	witness->sync = sync;
	witness->key = talloc_asprintf(witness, "/jaspertrack/%s/witness",
				       node->settings->cell);
	if (witness->key == NULL)
		TALLOC_FREE(witness);
	return witness;
}

/* Formats a record as "EPOCH ROUND NODE ROUND NODE HEX.": the promised and the
 * accepted ballot, then the accepted proposal in XDR. */
static char *record_to_text(TALLOC_CTX *mem_ctx,
			    const struct jt_witness_record *record)
{
	uint8_t *bytes = talloc_array(mem_ctx, uint8_t, PROPOSAL_LIMIT_BYTES);
	char *hex =
		talloc_zero_array(mem_ctx, char, 2 * PROPOSAL_LIMIT_BYTES + 1);
	size_t length = 0;
	XDR xdr;

	if (bytes == NULL || hex == NULL)
		return NULL;
	if (record->accepted != NULL) {
		xdrmem_create(&xdr, (char *)bytes, PROPOSAL_LIMIT_BYTES,
			      XDR_ENCODE);
		if (xdr_jt_wire_proposal(&xdr, record->accepted))
			length = xdr_getpos(&xdr);
		xdr_destroy(&xdr);
		if (length == 0)
			return NULL;
	}
	sodium_bin2hex(hex, 2 * PROPOSAL_LIMIT_BYTES + 1, bytes, length);
	return talloc_asprintf(
		mem_ctx, "%" PRIu64 " %u %" PRIu64 " %u %" PRIu64 " %s.",
		record->epoch, record->promised_round, record->promised_node,
		record->accepted_round, record->accepted_node, hex);
}

static jt_wire_proposal *proposal_from_hex(TALLOC_CTX *mem_ctx, const char *hex,
					   size_t length)
{
	uint8_t *bytes = talloc_array(mem_ctx, uint8_t, length / 2 + 1);
	jt_wire_proposal decoded = {0};
	jt_wire_proposal *proposal = NULL;
	size_t size = 0;
	XDR xdr;

	if (bytes == NULL || length == 0 ||
	    sodium_hex2bin(bytes, length / 2, hex, length, NULL, &size, NULL) !=
		    0)
		return NULL;
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_DECODE);
	if (xdr_jt_wire_proposal(&xdr, &decoded))
		proposal = jt_proposal_copy(mem_ctx, &decoded);
	xdr_destroy(&xdr);
	xdr_free((xdrproc_t)xdr_jt_wire_proposal, (char *)&decoded);
	return proposal;
}

/* Returns false if the text is not a valid record. */
static bool record_from_text(TALLOC_CTX *mem_ctx, const char *text,
			     struct jt_witness_record *record)
{
	const char *hex;
	int consumed = 0;

	memset(record, 0, sizeof(*record));
	if (sscanf(text, "%" SCNu64 " %u %" SCNu64 " %u %" SCNu64 " %n",
		   &record->epoch, &record->promised_round,
		   &record->promised_node, &record->accepted_round,
		   &record->accepted_node, &consumed) != 5 ||
	    consumed == 0)
		return false;
	hex = text + consumed;
	if (strcmp(hex, ".") == 0)
		return true;
	record->accepted = proposal_from_hex(mem_ctx, hex, strcspn(hex, "."));
	return record->accepted != NULL;
}

static void call_finish(struct witness_call *call, bool replied)
{
	struct jt_witness *witness = call->witness;
	struct jt_event event = {.kind = JT_EVENT_WITNESS};

	witness->call = NULL;
	if (replied) {
		event.u.witness = &call->reply;
		jt_node_event(witness->node, &event);
	}
	talloc_free(call);
}

static void on_put(struct tevent_req *req)
{
	struct witness_call *call =
		tevent_req_callback_data(req, struct witness_call);
	uint64_t revision;
	enum jt_store_result result = jt_store_put_recv(req, &revision);

	talloc_free(req);
	call_finish(call, result == JT_STORE_OK);
}

static void on_get(struct tevent_req *req)
{
	struct witness_call *call =
		tevent_req_callback_data(req, struct witness_call);
	struct jt_witness *witness = call->witness;
	struct jt_witness_reply *reply = &call->reply;
	struct jt_store_value value;
	enum jt_store_result result = jt_store_get_recv(req, call, &value);
	char *text = NULL;

	talloc_free(req);
	if (result != JT_STORE_OK ||
	    (value.present &&
	     !record_from_text(call, value.value, &reply->record))) {
		call_finish(call, false);
		return;
	}
	reply->granted = jt_witness_apply(&reply->record, &reply->request);
	if (reply->granted)
		text = record_to_text(call, &reply->record);
	if (text == NULL) {
		call_finish(call, !reply->granted);
		return;
	}
	req = jt_store_put_send(call, jt_config_sync_store(witness->sync),
				witness->key, text, value.mod_revision);
	if (req == NULL)
		call_finish(call, false);
	else
		tevent_req_set_callback(req, on_put, call);
}

void jt_witness_ask(struct jt_witness *witness,
		    const struct jt_witness_request *request)
{
	struct jt_config_sync *sync = witness->sync;
	struct witness_call *call;
	struct tevent_req *req;

	if (witness->call != NULL || request->proposal == NULL ||
	    !jt_config_sync_take(sync))
		return;
	call = talloc_zero(witness, struct witness_call);
	if (call == NULL)
		return;
	call->witness = witness;
	call->reply.request = *request;
	call->reply.request.proposal =
		jt_proposal_copy(call, request->proposal);
	req = jt_store_get_send(call, jt_config_sync_store(sync), witness->key);
	if (call->reply.request.proposal == NULL || req == NULL) {
		talloc_free(call);
		return;
	}
	witness->call = call;
	tevent_req_set_callback(req, on_get, call);
}
