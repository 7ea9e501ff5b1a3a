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
		      const config_setting_t *setting, const char *key,
		      const char *problem)
{
	*r->error = talloc_asprintf(
		r->error_ctx, "%s:%d: %s: %s", r->file,
		setting ? config_setting_source_line(setting) : 0, key,
		problem);
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
			  bool required, const char **text)
{
	const config_setting_t *setting = config_setting_get_member(group, key);

	if (setting == NULL)
		return required ? jt_settings_wrong(r, group, key, "is missing")
				: 0;
	if (config_setting_type(setting) != CONFIG_TYPE_STRING)
		return jt_settings_wrong(r, setting, key, "must be a string");
	if (config_setting_get_string(setting)[0] == '\0')
		return jt_settings_wrong(r, setting, key, "must not be empty");
	*text = talloc_strdup(r->values_ctx,
			      config_setting_get_string(setting));
	return 0;
}

int jt_settings_read_bool(const struct jt_settings_reader *r,
			  const config_setting_t *group, const char *key,
			  bool *value)
{
	const config_setting_t *setting = config_setting_get_member(group, key);

	*value = false;
	if (setting == NULL)
		return 0;
	if (config_setting_type(setting) != CONFIG_TYPE_BOOL)
		return jt_settings_wrong(r, setting, key,
					 "must be true or false");
	*value = config_setting_get_bool(setting) == CONFIG_TRUE;
	return 0;
}

int jt_settings_read_number(const struct jt_settings_reader *r,
			    const config_setting_t *group, const char *key,
			    int min, int max, uint32_t default_value,
			    uint32_t *number)
{
	const config_setting_t *setting = config_setting_get_member(group, key);
	int value;

	*number = default_value;
	if (setting == NULL)
		return 0;
	if (config_setting_type(setting) != CONFIG_TYPE_INT)
		return jt_settings_wrong(r, setting, key,
					 "must be a whole number");
	value = config_setting_get_int(setting);
	if (value < min || value > max)
		return jt_settings_wrong(
			r, setting, key,
			talloc_asprintf(r->error_ctx,
					"is %d, allowed are %d to %d", value,
					min, max));
	*number = (uint32_t)value;
	return 0;
}

int jt_settings_read_address(const struct jt_settings_reader *r,
			     const config_setting_t *group, const char *key,
			     struct jt_address *address)
{
	const config_setting_t *setting = config_setting_get_member(group, key);
	const char *text;

	if (setting == NULL)
		return jt_settings_wrong(r, group, key, "is missing");
	text = config_setting_get_string(setting);
	if (text == NULL || jt_address_parse(text, address) != 0)
		return jt_settings_wrong(r, setting, key,
					 "must be \"IPV4:PORT\"");
	return 0;
}

const config_setting_t *
jt_settings_need_group(const struct jt_settings_reader *r,
		       const config_setting_t *root, const char *key)
{
	const config_setting_t *setting = config_setting_get_member(root, key);

	if (setting == NULL || !config_setting_is_group(setting)) {
		jt_settings_wrong(r, setting ? setting : root, key,
				  "must be a group { ... }");
		return NULL;
	}
	return setting;
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
			  double min, double max, double default_value,
			  double *number)
{
	const config_setting_t *setting = config_setting_get_member(group, key);

	*number = default_value;
	if (setting == NULL)
		return 0;
	switch (config_setting_type(setting)) {
	case CONFIG_TYPE_INT:
	case CONFIG_TYPE_INT64:
		*number = (double)config_setting_get_int64(setting);
		break;
	case CONFIG_TYPE_FLOAT:
		*number = config_setting_get_float(setting);
		break;
	default:
		return jt_settings_wrong(r, setting, key, "must be a number");
	}
	if (*number >= min && *number <= max)
		return 0;
	return jt_settings_wrong(r, setting, key,
				 talloc_asprintf(r->error_ctx,
						 "is %g, allowed are %g to %g",
						 *number, min, max));
}
