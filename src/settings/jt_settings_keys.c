#include "jt_settings_keys.h"

#include <sodium.h>
#include <string.h>

static int read_key(const struct jt_settings_reader *r,
		    const config_setting_t *entry, struct jt_key *key)
{
	static const char *const known[] = {"id", "secret", NULL};
	const char *secret = NULL;
	uint32_t id = 0;
	size_t length;

	if (!config_setting_is_group(entry))
		return jt_settings_wrong(r, entry, "keys",
					 "each entry must be a group");
	if (jt_settings_check_keys(r, entry, known) != 0 ||
	    jt_settings_read_number(r, entry, "id", 1, 255, 0, &id) != 0 ||
	    jt_settings_read_text(r, entry, "secret", true, &secret) != 0)
		return -1;
	if (id == 0 || secret == NULL)
		return jt_settings_wrong(r, entry, "id", "is missing");
	key->id = (uint8_t)id;
	if (sodium_hex2bin(key->bytes, JT_KEY_BYTES, secret, strlen(secret),
			   NULL, &length, NULL) != 0 ||
	    length != JT_KEY_BYTES ||
	    strlen(secret) != (size_t)2 * JT_KEY_BYTES)
		return jt_settings_wrong(r, entry, "secret",
					 "must be 64 hexadecimal digits");
	return 0;
}

int jt_settings_read_keys(const struct jt_settings_reader *r,
			  const config_setting_t *root, struct jt_keys *into)
{
	const config_setting_t *keys = config_setting_get_member(root, "keys");

	if (keys == NULL || !config_setting_is_list(keys) ||
	    config_setting_length(keys) < 1 ||
	    config_setting_length(keys) > JT_KEY_LIMIT)
		return jt_settings_wrong(r, keys ? keys : root, "keys",
					 "must be a list of 1 or 2 groups");
	for (int i = 0; i < config_setting_length(keys); i++) {
		if (read_key(r, config_setting_get_elem(keys, (unsigned)i),
			     &into->keys[i]) != 0)
			return -1;
		into->count++;
	}
	if (into->count == 2 && into->keys[0].id == into->keys[1].id)
		return jt_settings_wrong(r, keys, "keys",
					 "two keys have the same id");
	return 0;
}
