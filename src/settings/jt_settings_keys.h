/* The list `keys` of a settings file: secrets for the frames between nodes. */
#ifndef JT_SETTINGS_KEYS_H
#define JT_SETTINGS_KEYS_H

#include "jt_codec.h"
#include "jt_settings_reader.h"

/* Reads one or two keys with different ids. Returns 0, or -1 with an error. */
int jt_settings_read_keys(const struct jt_settings_reader *r,
			  const config_setting_t *root, struct jt_keys *into);

#endif
