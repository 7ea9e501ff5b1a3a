#include "jt_settings_reader.h"
#include "jt_net.h"

#include <string.h>

const config_setting_t *jt_settings_parse(const struct jt_settings_reader *r,
					  config_t *config)
{
	config_init(config);
	if (config_read_file(config, r->file) == CONFIG_TRUE)
		return config_root_setting(config);
	*r->error = talloc_asprintf(r->error_ctx, "%s:%d: %s", r->file,
				    config_error_line(config),
				    config_error_text(config));
	return NULL;
}

int jt_settings_wrong(const struct jt_settings_reader *r,
		      const config_setting_t *at, const char *key,
		      const char *problem)
{
	*r->error = talloc_asprintf(r->error_ctx, "%s:%d: %s: %s", r->file,
				    at ? config_setting_source_line(at) : 0,
				    key, problem);
	return -1;
}

int jt_settings_check_keys(const struct jt_settings_reader *r,
			   const config_setting_t *group,
			   const char *const *known)
{
	for (int i = 0; i < config_setting_length(group); i++) {
		const config_setting_t *child =
			config_setting_get_elem(group, (unsigned)i);
		const char *name = config_setting_name(child);
		const char *const *k = known;

		while (*k != NULL && strcmp(*k, name) != 0)
			k++;
		if (*k == NULL)
			return jt_settings_wrong(r, child, name, "unknown key");
	}
	return 0;
}

int jt_settings_read_text(const struct jt_settings_reader *r,
			  const config_setting_t *group, const char *key,
			  bool needed, const char **text)
{
	const config_setting_t *at = config_setting_get_member(group, key);

	if (at == NULL)
		return needed ? jt_settings_wrong(r, group, key, "is missing")
			      : 0;
	if (config_setting_type(at) != CONFIG_TYPE_STRING)
		return jt_settings_wrong(r, at, key, "must be a string");
	if (config_setting_get_string(at)[0] == '\0')
		return jt_settings_wrong(r, at, key, "must not be empty");
	*text = talloc_strdup(r->values_ctx, config_setting_get_string(at));
	return 0;
}

int jt_settings_read_bool(const struct jt_settings_reader *r,
			  const config_setting_t *group, const char *key,
			  bool *value)
{
	const config_setting_t *at = config_setting_get_member(group, key);

	*value = false;
	if (at == NULL)
		return 0;
	if (config_setting_type(at) != CONFIG_TYPE_BOOL)
		return jt_settings_wrong(r, at, key, "must be true or false");
	*value = config_setting_get_bool(at) == CONFIG_TRUE;
	return 0;
}

int jt_settings_read_number(const struct jt_settings_reader *r,
			    const config_setting_t *group, const char *key,
			    int least, int most, uint32_t fallback,
			    uint32_t *number)
{
	const config_setting_t *at = config_setting_get_member(group, key);
	int found;

	*number = fallback;
	if (at == NULL)
		return 0;
	if (config_setting_type(at) != CONFIG_TYPE_INT)
		return jt_settings_wrong(r, at, key, "must be a whole number");
	found = config_setting_get_int(at);
	if (found < least || found > most)
		return jt_settings_wrong(
			r, at, key,
			talloc_asprintf(r->error_ctx,
					"is %d, allowed are %d to %d", found,
					least, most));
	*number = (uint32_t)found;
	return 0;
}

int jt_settings_read_address(const struct jt_settings_reader *r,
			     const config_setting_t *group, const char *key,
			     struct jt_address *address)
{
	const config_setting_t *at = config_setting_get_member(group, key);
	const char *text;

	if (at == NULL)
		return jt_settings_wrong(r, group, key, "is missing");
	text = config_setting_get_string(at);
	if (text == NULL || jt_address_parse(text, address) != 0)
		return jt_settings_wrong(r, at, key, "must be \"IPV4:PORT\"");
	return 0;
}

const config_setting_t *
jt_settings_need_group(const struct jt_settings_reader *r,
		       const config_setting_t *root, const char *key)
{
	const config_setting_t *at = config_setting_get_member(root, key);

	if (at == NULL || !config_setting_is_group(at)) {
		jt_settings_wrong(r, at ? at : root, key,
				  "must be a group { ... }");
		return NULL;
	}
	return at;
}

int jt_settings_read_addresses(const struct jt_settings_reader *r,
			       const config_setting_t *group, const char *key,
			       struct jt_address *addresses, size_t limit,
			       size_t *count)
{
	const config_setting_t *list = config_setting_get_member(group, key);
	int length;

	*count = 0;
	if (list == NULL)
		return 0;
	if (!config_setting_is_list(list) && !config_setting_is_array(list))
		return jt_settings_wrong(r, list, key,
					 "must be a list of addresses");
	length = config_setting_length(list);
	if ((size_t)length > limit)
		return jt_settings_wrong(r, list, key,
					 talloc_asprintf(r->error_ctx,
							 "has more than %zu "
							 "entries",
							 limit));
	for (int i = 0; i < length; i++) {
		const char *text = config_setting_get_string_elem(list, i);

		if (text == NULL || jt_address_parse(text, &addresses[i]) != 0)
			return jt_settings_wrong(r, list, key,
						 "each must be \"IPV4:PORT\"");
		(*count)++;
	}
	return 0;
}

int jt_settings_read_real(const struct jt_settings_reader *r,
			  const config_setting_t *group, const char *key,
			  double least, double most, double fallback,
			  double *number)
{
	const config_setting_t *at = config_setting_get_member(group, key);

	*number = fallback;
	if (at == NULL)
		return 0;
	switch (config_setting_type(at)) {
	case CONFIG_TYPE_INT:
	case CONFIG_TYPE_INT64:
		*number = (double)config_setting_get_int64(at);
		break;
	case CONFIG_TYPE_FLOAT:
		*number = config_setting_get_float(at);
		break;
	default:
		return jt_settings_wrong(r, at, key, "must be a number");
	}
	if (*number >= least && *number <= most)
		return 0;
	return jt_settings_wrong(r, at, key,
				 talloc_asprintf(r->error_ctx,
						 "is %g, allowed are %g to %g",
						 *number, least, most));
}
