/*
 * Fuzzes messages of an authenticated peer: no XDR body may crash a node of a
 * running cell.
 */
#include "jt_cluster.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static struct jt_core *core;
static struct jt_actions *actions;

static void core_start(void)
{
	struct jt_config *config = talloc_zero(NULL, struct jt_config);
	struct jt_event event = {.kind = JT_EVENT_CONFIG, .now_ms = 1000};
	struct jt_core_options options;

	config->revision = 1;
	config->services = talloc_zero(config, struct jt_service_config);
	config->services[0].id = 1;
	config->service_count = 1;
	config->endpoints = talloc_zero(config, struct jt_endpoint_config);
	config->endpoints[0].id = 1;
	config->endpoints[0].connections = 10;
	config->endpoint_count = 1;
	jt_core_options_init(&options);
	options.node_id = 1;
	core = jt_core_create(NULL, &options);
	actions = jt_actions_create(NULL);
	event.u.config = config;
	jt_core_handle(core, &event, actions);
	event.kind = JT_EVENT_FOUND;
	event.u.cell = 1;
	jt_core_handle(core, &event, actions);
}

static void handle_body(const uint8_t *data, size_t size, uint64_t now_ms)
{
	struct jt_event event = {.kind = JT_EVENT_MESSAGE, .now_ms = now_ms};
	jt_wire_message message;
	XDR xdr;

	memset(&message, 0, sizeof(message));
	xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
	if (xdr_jt_wire_message(&xdr, &message)) {
		event.u.message = &message;
		jt_core_handle(core, &event, actions);
		event.kind = JT_EVENT_TICK;
		jt_core_handle(core, &event, actions);
		jt_actions_clear(actions);
	}
	xdr_destroy(&xdr);
	xdr_free((xdrproc_t)xdr_jt_wire_message, (char *)&message);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct jt_address address = {1, 1};
	static uint64_t now_ms = 2000;
	struct jt_keys keys = {.count = 1};
	uint8_t framed[1024];
	jt_wire_message message;
	uint64_t sequence;

	if (core == NULL)
		core_start();
	if (size > sizeof(framed) - 16)
		return 0;
	if (jt_codec_decode(&keys, address, data, size, &sequence, &message) ==
	    JT_CODEC_OK)
		abort(); /* an unauthenticated message was accepted */
	handle_body(data, size, now_ms++);
	/* Handle the same bytes as the body of each message kind. */
	for (uint8_t kind = 1; kind <= JT_WIRE_DETOUR; kind++) {
		memset(framed, 0, 16);
		framed[7] = size > 0 && data[0] & 1 ? 2 : 3;
		framed[15] = kind;
		memcpy(framed + 16, data, size);
		handle_body(framed, size + 16, now_ms++);
	}
	return 0;
}
