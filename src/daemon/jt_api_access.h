/* Who may change what by the resource API, and what no one may. */
#ifndef JT_API_ACCESS_H
#define JT_API_ACCESS_H

#include "jaspertrack/core.h"
#include "jt_change.h"
#include "jt_http_server.h"
#include "jt_settings.h"

/* The token that the request bears, NULL where it bears none of ours. */
const struct jt_token *jt_api_find_token(const struct jt_settings *settings,
					 const struct jt_http_request *request);
bool jt_api_change_allowed(const struct jt_token *token,
			   const struct jt_change *change);
/* Whether the change deletes what has open flows, which would cut them off;
 * @error then says which. */
bool jt_api_deletion_cuts(const struct jt_core *core,
			  const struct jt_change *change,
			  struct jt_resource_error *error);

#endif
