/* The list `keys` of a settings file: what frames between nodes are made with.
 */
#ifndef JT_SETTINGS_KEYS_H
#define JT_SETTINGS_KEYS_H

#include "jt_codec.h"
#include "jt_settings_reader.h"

/* One or two keys with different ids. 0, or -1 with an error. */
int jt_settings_read_keys(const struct jt_settings_reader *r,
			  const config_setting_t *root, struct jt_keys *into);

#endif
