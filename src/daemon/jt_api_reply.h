/* Answers of the resource API, as JSON. */
#ifndef JT_API_REPLY_H
#define JT_API_REPLY_H

#include "jt_config_sync.h"
#include "jt_http_server.h"

/* @body is taken over. */
void jt_api_reply_json(struct jt_http_request *request, unsigned status,
		       json_t *body);
void jt_api_reply_error(struct jt_http_request *request, unsigned status,
			const char *reason);
/* What is wrong with a resource. */
void jt_api_reply_wrong(struct jt_http_request *request, unsigned status,
			const struct jt_resource_error *error);
/* What became of the write @id; @error where it was refused. */
void jt_api_reply_outcome(struct jt_http_request *request, const char *id,
			  enum jt_write_outcome outcome, uint64_t revision,
			  const struct jt_resource_error *error);

#endif
