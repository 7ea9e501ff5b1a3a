/* JSON responses of the resource API. */
#ifndef JT_API_REPLY_H
#define JT_API_REPLY_H

#include "jt_config_sync.h"
#include "jt_http_server.h"

/* Sends @body and takes ownership of it. */
void jt_api_reply_json(struct jt_http_request *request, unsigned status,
		       json_t *body);
/* Sends {"error": @reason}. */
void jt_api_reply_error(struct jt_http_request *request, unsigned status,
			const char *reason);
/* Sends an error of a resource, with its name and field. */
void jt_api_reply_wrong(struct jt_http_request *request, unsigned status,
			const struct jt_resource_error *error);
/* Sends the outcome of the write @id; @error describes a rejected write. */
void jt_api_reply_outcome(struct jt_http_request *request, const char *id,
			  enum jt_write_outcome outcome, uint64_t revision,
			  const struct jt_resource_error *error);

#endif
