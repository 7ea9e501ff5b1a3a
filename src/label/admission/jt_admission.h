/*
 * Admission: which new flows a service takes when there is too little room.
 *
 * A service whose routes differ in priority, and say in which time they want
 * answers, is watched: how long requests take, and how many are in flight
 * through this node. Once answers wait too long, a limit holds
 * (jt_concurrency_limit.h): new flows of the most urgent routes may fill it,
 * those of others a part of it. What finds no room is refused at once. A floor
 * lets a small part of each priority pass whatever the others want.
 *
 * Only flows that have no endpoint yet are refused. Requests on open flows
 * count, but nothing happens to them.
 */
#ifndef JT_ADMISSION_H
#define JT_ADMISSION_H

#include "jaspertrack/director-t.h"
#include "jt_endpoint_table.h"

struct jt_admission;

/* Why a new flow was admitted or not. */
struct jt_admission_verdict {
	bool admitted;
	struct jt_director_room room;
};

/* How a service stands, for metrics and log lines. */
struct jt_admission_view {
	uint32_t service_id;
	uint32_t limit; /* 0: none */
	uint32_t in_flight;
	uint32_t delay_ms;
	uint32_t allowed_ms;
	uint32_t offered_per_s;
};

/* What a service's first packets met, by the route's priority. */
struct jt_admission_counts {
	uint32_t service_id;
	uint32_t priority;
	uint64_t admitted;
	uint64_t refused;
};

struct jt_admission *
jt_admission_create(TALLOC_CTX *mem_ctx,
		    const struct jt_director_options *options);
/* Another routing is in force: it says which services are watched. */
void jt_admission_routing(struct jt_admission *admission,
			  const struct jt_routing *routing);

/* Whether a new flow of the route may be placed. */
struct jt_admission_verdict jt_admission_ask(struct jt_admission *admission,
					     const struct jt_route *route,
					     uint64_t now_ms);
/* A first packet was placed at an endpoint of the service. */
void jt_admission_placed(struct jt_admission *admission, uint32_t service_id,
			 uint64_t now_ms);
/* That flow has opened, or is forgotten. */
void jt_admission_opened(struct jt_admission *admission, uint32_t service_id,
			 uint64_t placed_ms, uint64_t now_ms);
/* A request was passed on. */
void jt_admission_requested(struct jt_admission *admission, uint32_t service_id,
			    uint64_t now_ms);
/* The first @bytes of its answer were acknowledged. @placed: it was the first
 * request of a flow that this node placed, and tells what a new flow meets;
 * later ones are bound to their flow's endpoint. */
void jt_admission_answered(struct jt_admission *admission, uint32_t service_id,
			   uint64_t requested_ms, uint32_t bytes, bool placed,
			   uint64_t now_ms);
/* It never will be, as far as this node sees. */
void jt_admission_given_up(struct jt_admission *admission, uint32_t service_id,
			   uint64_t requested_ms, uint64_t now_ms);

/* A service has a limit from now on, or has none any more. */
typedef void (*jt_admission_changed)(const struct jt_admission_view *view,
				     void *private_data);

/* Some time has passed. */
void jt_admission_tick(struct jt_admission *admission,
		       const struct jt_endpoint_table *endpoints,
		       uint64_t nodes, uint64_t now_ms,
		       jt_admission_changed changed, void *private_data);

/* The @index-th watched service; false past the last. */
bool jt_admission_view_at(const struct jt_admission *admission, size_t index,
			  struct jt_admission_view *view);
/* The @index-th priority of a watched service; false past the last. */
bool jt_admission_counts_at(const struct jt_admission *admission, size_t index,
			    struct jt_admission_counts *counts);

#endif
