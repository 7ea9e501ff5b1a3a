/* Access checks of the resource API. */
#ifndef JT_API_ACCESS_H
#define JT_API_ACCESS_H

#include "jaspertrack/core.h"
#include "jt_change.h"
#include "jt_http_server.h"
#include "jt_settings.h"

/* Returns the configured token that matches the bearer token of the request,
 * or NULL. */
const struct jt_token *jt_api_find_token(const struct jt_settings *settings,
					 const struct jt_http_request *request);
/* Returns true if the role of @token allows the change. */
bool jt_api_change_allowed(const struct jt_token *token,
			   const struct jt_change *change);
/* Returns true, with @error set, if the change deletes a resource that has open
 * flows; the deletion would break them. */
bool jt_api_deletion_cuts(const struct jt_core *core,
			  const struct jt_change *change,
			  struct jt_resource_error *error);

#endif
