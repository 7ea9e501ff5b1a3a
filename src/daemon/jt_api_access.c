#include "jt_api_access.h"

#include <sodium.h>
#include <string.h>

const struct jt_token *jt_api_find_token(const struct jt_settings *settings,
					 const struct jt_http_request *request)
{
	static const char scheme[] = "Bearer ";
	const char *header = jt_http_header(request, "Authorization");

	if (header == NULL || strncmp(header, scheme, strlen(scheme)) != 0)
		return NULL;
	header += strlen(scheme);
	for (size_t i = 0; i < settings->token_count; i++) {
		const struct jt_token *token = &settings->tokens[i];
		size_t length = strlen(token->token);

		if (strlen(header) == length &&
		    sodium_memcmp(header, token->token, length) == 0)
			return token;
	}
	return NULL;
}

bool jt_api_change_allowed(const struct jt_token *token,
			   const struct jt_change *change)
{
	const json_t *group;

	if (token->role == JT_ROLE_ADMIN)
		return true;
	if (token->role != JT_ROLE_OPERATE)
		return false;
	/* The operator of a group may change its addresses only; shares are
	 * reserved for administrators. */
	if (change->kind != JT_RESOURCE_ADDRESS || change->resource == NULL)
		return false;
	group = json_object_get(change->resource, "group");
	return json_is_string(group) &&
	       strcmp(json_string_value(group), token->group) == 0;
}

bool jt_api_deletion_cuts(const struct jt_core *core,
			  const struct jt_change *change,
			  struct jt_resource_error *error)
{
	const struct jt_cell_state *state = jt_core_state(core);
	const struct jt_config *config = state ? state->config : NULL;
	uint32_t open_flows = 0;

	if (change->resource != NULL || config == NULL ||
	    change->kind == JT_RESOURCE_ENDPOINT ||
	    change->kind == JT_RESOURCE_GROUP)
		return false;
	for (size_t i = 0; i < config->share_count; i++) {
		const struct jt_service_config *service =
			&config->services[config->shares[i].service];
		const struct jt_group_config *group =
			&config->groups[config->shares[i].group];
		char share[2 * JT_NAME_SIZE];
		bool affected = false;

		snprintf(share, sizeof(share), "%s/%s", service->name,
			 group->name);
		if (change->kind == JT_RESOURCE_SHARE)
			affected = strcmp(share, change->name) == 0;
		if (change->kind == JT_RESOURCE_SERVICE)
			affected = strcmp(service->name, change->name) == 0;
		for (size_t a = 0; change->kind == JT_RESOURCE_ADDRESS &&
				   a < config->address_count;
		     a++) {
			const struct jt_address_config *address =
				&config->addresses[a];

			affected |=
				strcmp(address->name, change->name) == 0 &&
				address->service == config->shares[i].service &&
				address->group == config->shares[i].group;
		}
		if (affected)
			open_flows += jt_core_share_open(core, service->id,
							 group->id);
	}
	if (open_flows == 0)
		return false;
	snprintf(error->resource, sizeof(error->resource), "%s/%.127s",
		 jt_resource_kind_name(change->kind), change->name);
	error->field[0] = '\0';
	snprintf(error->reason, sizeof(error->reason), "has %u open flows",
		 open_flows);
	return true;
}
