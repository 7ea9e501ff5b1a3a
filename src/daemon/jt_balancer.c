#include "jt_balancer.h"
#include "jt_api.h"
#include "jt_config_sync.h"
#include "jt_health_probe.h"
#include "jt_net.h"
#include "jt_witness.h"

#include <errno.h>
#include <string.h>

struct jt_balancer {
	struct jt_node *node;
	struct jt_config_sync *sync;
	struct jt_health_probe *probe;
	struct jt_witness *witness;
	struct jt_api *api;
	void (*left)(void *private_data);
	void *private_data;
};

static void on_tick(void *private_data)
{
	struct jt_balancer *balancer = private_data;

	jt_config_sync_tick(balancer->sync);
	jt_health_probe_tick(balancer->probe);
	jt_api_tick(balancer->api);
}

static void on_changed(void *private_data)
{
	struct jt_balancer *balancer = private_data;

	/* The node may change before the API is created. */
	if (balancer->api != NULL)
		jt_api_changed(balancer->api);
}

static void on_witness(const struct jt_witness_request *request,
		       void *private_data)
{
	struct jt_balancer *balancer = private_data;

	jt_witness_ask(balancer->witness, request);
}

static void on_left(void *private_data)
{
	struct jt_balancer *balancer = private_data;

	balancer->left(balancer->private_data);
}

static struct jt_node *node_create(struct jt_balancer *balancer,
				   const struct jt_balancer_options *options,
				   char **error)
{
	const struct jt_node_handler handler = {
		.tick = on_tick,
		.changed = on_changed,
		.witness = on_witness,
		.left = on_left,
		.private_data = balancer,
	};

	return jt_node_create(balancer, options->loop, options->log,
			      options->settings, &handler, error);
}

struct jt_balancer *
jt_balancer_create(TALLOC_CTX *mem_ctx,
		   const struct jt_balancer_options *options, char **error)
{
	struct jt_balancer *balancer = talloc_zero(mem_ctx, struct jt_balancer);
	struct jt_address api = options->settings->api;
	char text[JT_ADDRESS_TEXT];
	char *node_error = NULL;

	balancer->left = options->left;
	balancer->private_data = options->private_data;
	balancer->node = node_create(balancer, options, &node_error);
	if (balancer->node == NULL) {
		*error = talloc_steal(mem_ctx, node_error);
		goto fail;
	}
	balancer->sync = jt_config_sync_create(balancer, balancer->node);
	balancer->probe = jt_health_probe_create(balancer, balancer->node);
	if (balancer->sync == NULL || balancer->probe == NULL) {
		*error = talloc_strdup(mem_ctx, "out of memory");
		goto fail;
	}
	balancer->witness =
		jt_witness_create(balancer, balancer->node, balancer->sync);
	if (balancer->witness == NULL) {
		*error = talloc_strdup(mem_ctx, "out of memory");
		goto fail;
	}
	balancer->api = jt_api_create(balancer, balancer->node, balancer->sync);
	if (balancer->api == NULL) {
		*error = talloc_asprintf(mem_ctx, "listen.api %s: %s",
					 jt_address_format(api, text),
					 strerror(errno));
		goto fail;
	}
	return balancer;
fail:
	talloc_free(balancer);
	return NULL;
}

struct jt_node *jt_balancer_node(struct jt_balancer *balancer)
{
	return balancer->node;
}
