/*
 * Checked reading of libconfig files: each error names file, line, key and the
 * allowed values. Used for the daemon's settings and the lab's scenarios.
 *
 * Functions that return int return 0, or -1 with an error.
 */
#ifndef JT_SETTINGS_READER_H
#define JT_SETTINGS_READER_H

#include "jaspertrack/types-t.h"

#include <libconfig.h>
#include <stdbool.h>
#include <talloc.h>

/* Context of reading one file. */
struct jt_settings_reader {
	const char *file;
	TALLOC_CTX *error_ctx;	/* owns *error */
	TALLOC_CTX *values_ctx; /* owns the strings that are read */
	char **error;
};

/*
 * Parses the file into @config, which the calling function destroys in either
 * case. Returns the root, or NULL with an error.
 */
const config_setting_t *jt_settings_parse(const struct jt_settings_reader *r,
					  config_t *config);

/* Sets the error to "FILE:LINE: KEY: PROBLEM" and returns -1. */
int jt_settings_wrong(const struct jt_settings_reader *r,
		      const config_setting_t *setting, const char *key,
		      const char *problem);

/* Checks that each key of @group is in the NULL-terminated array @known. */
int jt_settings_check_keys(const struct jt_settings_reader *r,
			   const config_setting_t *group,
			   const char *const *known);

/*
 * Reads a non-empty string. If the key is absent, *@text stays unchanged, which
 * is an error if it is @required.
 */
int jt_settings_read_text(const struct jt_settings_reader *r,
			  const config_setting_t *group, const char *key,
			  bool required, const char **text);

/* Reads an integer from @min to @max; @default_value if the key is absent. */
int jt_settings_read_number(const struct jt_settings_reader *r,
			    const config_setting_t *group, const char *key,
			    int min, int max, uint32_t default_value,
			    uint32_t *number);

/* Reads a number from @min to @max; @default_value if the key is absent. */
int jt_settings_read_real(const struct jt_settings_reader *r,
			  const config_setting_t *group, const char *key,
			  double min, double max, double default_value,
			  double *number);

/* Reads a boolean; false if the key is absent. */
int jt_settings_read_bool(const struct jt_settings_reader *r,
			  const config_setting_t *group, const char *key,
			  bool *value);
/* Reads a required address "IPV4:PORT". */
int jt_settings_read_address(const struct jt_settings_reader *r,
			     const config_setting_t *group, const char *key,
			     struct jt_address *address);

/* Reads a list of up to @limit addresses; empty if the key is absent. */
int jt_settings_read_addresses(const struct jt_settings_reader *r,
			       const config_setting_t *group, const char *key,
			       struct jt_address *addresses, size_t limit,
			       size_t *count);

/* Returns a required group { ... }, or NULL with an error. */
const config_setting_t *
jt_settings_need_group(const struct jt_settings_reader *r,
		       const config_setting_t *root, const char *key);

#endif
