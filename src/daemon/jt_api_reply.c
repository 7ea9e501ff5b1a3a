#include "jt_api_reply.h"

#include <stdlib.h>

static const char json_content_type[] = "application/json";

void jt_api_reply_json(struct jt_http_request *request, unsigned status,
		       json_t *body)
{
	char *text = json_dumps(body, JSON_INDENT(2));

	jt_http_reply(request, status, json_content_type, text ? text : "{}");
	free(text);
	json_decref(body);
}

void jt_api_reply_error(struct jt_http_request *request, unsigned status,
			const char *reason)
{
	jt_api_reply_json(request, status, json_pack("{s:s}", "error", reason));
}

void jt_api_reply_wrong(struct jt_http_request *request, unsigned status,
			const struct jt_resource_error *error)
{
	jt_api_reply_json(request, status,
			  json_pack("{s:s,s:s,s:s}", "error", error->reason,
				    "resource", error->resource, "field",
				    error->field));
}

void jt_api_reply_outcome(struct jt_http_request *request, const char *id,
			  enum jt_write_outcome outcome, uint64_t revision,
			  const struct jt_resource_error *error)
{
	switch (outcome) {
	case JT_WRITE_ACCEPTED:
		jt_api_reply_json(request, 200,
				  json_pack("{s:s,s:I,s:s}", "outcome",
					    "accepted", "revision",
					    (json_int_t)revision, "id", id));
		break;
	case JT_WRITE_STORED:
		jt_api_reply_json(
			request, 202,
			json_pack("{s:s,s:I,s:s,s:s}", "outcome", "stored",
				  "revision", (json_int_t)revision, "error",
				  "stored, not active in the cell yet; "
				  "query /v1/writes/ID",
				  "id", id));
		break;
	case JT_WRITE_CONFLICT:
		jt_api_reply_wrong(request, 409, error);
		break;
	case JT_WRITE_ABSENT:
		jt_api_reply_wrong(request, 404, error);
		break;
	case JT_WRITE_INVALID:
		jt_api_reply_wrong(request, 422, error);
		break;
	case JT_WRITE_FORBIDDEN:
		jt_api_reply_wrong(request, 403, error);
		break;
	case JT_WRITE_NOT_RUN:
		jt_api_reply_json(request, 503,
				  json_pack("{s:s,s:s,s:s}", "outcome",
					    "not run", "error",
					    "the store is unreachable", "id",
					    id));
		break;
	case JT_WRITE_UNKNOWN:
		jt_api_reply_json(request, 202,
				  json_pack("{s:s,s:s,s:s}", "outcome",
					    "unknown", "error",
					    "no answer from the store; query "
					    "/v1/writes/ID",
					    "id", id));
		break;
	case JT_WRITE_BUSY:
		jt_api_reply_error(request, 429, "too many changes, try later");
		break;
	}
}
