/*
 * Admission control: decides which new flows a service accepts under overload.
 *
 * It applies to services whose routes have different priorities and a target
 * response time (controlled services). Their response times and the requests in
 * flight through this node are measured. When responses take too long, a
 * concurrency limit applies (jt_concurrency_limit.h): new flows of the most
 * urgent routes may use all of it, those of other routes a part. New flows
 * beyond it are refused at once. A floor admits a small rate of new flows of
 * each priority regardless of the limit.
 *
 * Only flows without an endpoint are refused. Requests on open flows are
 * counted but never refused.
 */
#ifndef JT_ADMISSION_H
#define JT_ADMISSION_H

#include "jaspertrack/director-t.h"
#include "jt_endpoint_table.h"

struct jt_admission;

/* Result of an admission request for a new flow. */
struct jt_admission_decision {
	bool admitted;
	struct jt_admission_state state;
};

/* State of a controlled service, for metrics and log lines. */
struct jt_admission_view {
	uint32_t service_id;
	uint32_t limit; /* 0: no limit */
	uint32_t in_flight;
	uint32_t delay_ms;
	uint32_t allowed_ms;
	uint32_t offered_per_s;
};

/* First packets of a controlled service, by priority of the route. */
struct jt_admission_counts {
	uint32_t service_id;
	uint32_t priority;
	uint64_t admitted;
	uint64_t refused;
};

/* Returns NULL if out of memory. */
struct jt_admission *
jt_admission_create(TALLOC_CTX *mem_ctx,
		    const struct jt_director_options *options);
/* Applies a new routing, which determines the controlled services. */
void jt_admission_routing(struct jt_admission *admission,
			  const struct jt_routing *routing);

/* Decides if a new flow of the route is admitted. */
struct jt_admission_decision
jt_admission_request(struct jt_admission *admission,
		     const struct jt_route *route, uint64_t now_ms);
/* Records that a first packet was assigned to an endpoint of the service. */
void jt_admission_assigned(struct jt_admission *admission, uint32_t service_id,
			   uint64_t now_ms);
/* Records that the flow assigned at @assigned_ms opened or was discarded. */
void jt_admission_opened(struct jt_admission *admission, uint32_t service_id,
			 uint64_t assigned_ms, uint64_t now_ms);
/* Records that a request was forwarded. */
void jt_admission_requested(struct jt_admission *admission, uint32_t service_id,
			    uint64_t now_ms);
/* Records that the first @bytes of the response to a request were acknowledged.
 * @assigned: it was the first request of a flow that this node assigned, so
 * that its response time applies to new flows; later requests are bound to
 * their flow's endpoint. */
void jt_admission_answered(struct jt_admission *admission, uint32_t service_id,
			   uint64_t requested_ms, uint32_t bytes, bool assigned,
			   uint64_t now_ms);
/* Records that no response to the request is expected any more. */
void jt_admission_abandoned(struct jt_admission *admission, uint32_t service_id,
			    uint64_t requested_ms, uint64_t now_ms);

/* Called when the concurrency limit of a service begins or ends. */
typedef void (*jt_admission_changed)(const struct jt_admission_view *view,
				     void *private_data);

/* Updates the concurrency limits; call it regularly. */
void jt_admission_tick(struct jt_admission *admission,
		       const struct jt_endpoint_table *endpoints,
		       uint64_t nodes, uint64_t now_ms,
		       jt_admission_changed changed, void *private_data);

/* Gets the state of the controlled service at @index; returns false past the
 * last. */
bool jt_admission_view_at(const struct jt_admission *admission, size_t index,
			  struct jt_admission_view *view);
/* Gets the counts of one priority of a controlled service, by an index over all
 * of them; returns false past the last. */
bool jt_admission_counts_at(const struct jt_admission *admission, size_t index,
			    struct jt_admission_counts *counts);

#endif
