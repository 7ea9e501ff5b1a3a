/*
 * Checked reading of libconfig files: every error names file, line, key and
 * what is allowed. Shared by the daemon's settings and the lab's scenarios.
 */
#ifndef JT_SETTINGS_READER_H
#define JT_SETTINGS_READER_H

#include "jaspertrack/types-t.h"

#include <libconfig.h>
#include <stdbool.h>
#include <talloc.h>

struct jt_settings_reader {
	const char *file;
	TALLOC_CTX *error_ctx;	/* owns *error */
	TALLOC_CTX *values_ctx; /* owns the texts that are read */
	char **error;
};

/*
 * Parse the file into @config, which the caller destroys in either case.
 * The root, or NULL with an error.
 */
const config_setting_t *jt_settings_parse(const struct jt_settings_reader *r,
					  config_t *config);

/* Fill in the error "FILE:LINE: KEY: PROBLEM"; always -1. */
int jt_settings_wrong(const struct jt_settings_reader *r,
		      const config_setting_t *at, const char *key,
		      const char *problem);

/* Every key of @group must be in the NULL-ended @known. 0, or -1. */
int jt_settings_check_keys(const struct jt_settings_reader *r,
			   const config_setting_t *group,
			   const char *const *known);

/*
 * A text that is not empty. One that is not @needed may be missing, which
 * leaves *@text as it is. 0, or -1.
 */
int jt_settings_read_text(const struct jt_settings_reader *r,
			  const config_setting_t *group, const char *key,
			  bool needed, const char **text);

/* A whole number from @least to @most; @fallback when it is missing. */
int jt_settings_read_number(const struct jt_settings_reader *r,
			    const config_setting_t *group, const char *key,
			    int least, int most, uint32_t fallback,
			    uint32_t *number);

/* A number, whole or not, from @least to @most. */
int jt_settings_read_real(const struct jt_settings_reader *r,
			  const config_setting_t *group, const char *key,
			  double least, double most, double fallback,
			  double *number);

/* A key that is true or false, false when it is absent. */
int jt_settings_read_bool(const struct jt_settings_reader *r,
			  const config_setting_t *group, const char *key,
			  bool *value);
/* An address "IPV4:PORT" that must be there. */
int jt_settings_read_address(const struct jt_settings_reader *r,
			     const config_setting_t *group, const char *key,
			     struct jt_address *address);

/* A list of addresses, which may be missing. */
int jt_settings_read_addresses(const struct jt_settings_reader *r,
			       const config_setting_t *group, const char *key,
			       struct jt_address *addresses, size_t limit,
			       size_t *count);

/* A group { ... } that must be there, or NULL with an error. */
const config_setting_t *
jt_settings_need_group(const struct jt_settings_reader *r,
		       const config_setting_t *root, const char *key);

#endif
