#include "jt_admission.h"
#include "jt_concurrency_limit.h"
#include "jt_group_shares.h"
#include "jt_in_flight.h"
#include "jt_feature.h"

#include <math.h>
#include <uthash.h>

enum {
	/* Priorities distinguished per service. */
	PRIORITIES_MAX = 8,
	/* Horizon for flows being opened; a flow that opens does so before the
	 * client retransmits. */
	OPENING_HORIZON_MS = 200,
	/* A priority without new flows for this time reserves no capacity. */
	ACTIVE_MS = 5000,
	/* Interval between counts of the endpoints' slots. */
	SLOTS_COUNT_INTERVAL_MS = 1000,
	PERMILLE = 1000,
};

/* Part of the limit that the least urgent priority leaves to the others.
 * Exceeds short-term fluctuations of the flows in flight. */
#define RESERVE_PART 0.3

struct admission_priority {
	uint32_t priority;
	/* Used by a route of the current routing. */
	bool in_routing;
	double floor_credit; /* flows that the floor admits now */
	uint64_t last_flow_ms;
	struct jt_group_shares *shares;
	uint64_t admitted;
	uint64_t refused;
};

struct admission_service {
	uint32_t service_id;
	bool controlled;
	uint32_t target_ms; /* lowest of its routes */
	struct admission_priority priorities[PRIORITIES_MAX];
	size_t priority_count; /* most urgent first */
	struct jt_in_flight opening;
	struct jt_in_flight requests;
	struct jt_concurrency_limit limit;
	uint64_t slots;
	uint64_t slots_ms; /* when the slots were counted */
	UT_hash_handle hh;
};

struct jt_admission {
	struct admission_service *services;
	double floor; /* flows admitted per response */
	bool enabled;
};

struct jt_admission *
jt_admission_create(TALLOC_CTX *mem_ctx,
		    const struct jt_director_options *options)
{
	struct jt_admission *admission =
		talloc_zero(mem_ctx, struct jt_admission);

	if (admission == NULL)
		return NULL;
	admission->enabled = jt_feature_enabled(options->disabled_features,
						JT_FEATURE_ADMISSION_CONTROL);
	admission->floor = (double)options->admission_floor_permille / PERMILLE;
	return admission;
}

static struct admission_service *
service_find(const struct jt_admission *admission, uint32_t service_id)
{
	struct admission_service *service;

	HASH_FIND(hh, admission->services, &service_id, sizeof(service_id),
		  service);
	return service;
}

/* Returns the service if it is controlled, otherwise NULL. */
static struct admission_service *
service_controlled(const struct jt_admission *admission, uint32_t service_id)
{
	struct admission_service *service = service_find(admission, service_id);

	return service != NULL && service->controlled ? service : NULL;
}

/* Returns the service that gets most of the route's new flows. */
static uint32_t route_service(const struct jt_route *route)
{
	size_t largest = 0;

	for (size_t i = 1; i < route->part_count; i++) {
		if (route->parts[i].weight > route->parts[largest].weight)
			largest = i;
	}
	return route->parts[largest].service_id;
}

/* Routing */

static struct admission_service *service_ensure(struct jt_admission *admission,
						uint32_t service_id)
{
	struct admission_service *service = service_find(admission, service_id);

	if (service != NULL)
		return service;
	service = talloc_zero(admission, struct admission_service);
	if (service == NULL)
		return NULL;
	service->service_id = service_id;
	jt_in_flight_init(&service->opening, OPENING_HORIZON_MS);
	HASH_ADD(hh, admission->services, service_id, sizeof(service_id),
		 service);
	return service;
}

/* Returns the index of the priority, or of the first less urgent one. */
static size_t priority_index(const struct admission_service *service,
			     uint32_t priority)
{
	size_t index = 0;

	while (index < service->priority_count &&
	       service->priorities[index].priority < priority)
		index++;
	return index;
}

static void priority_ensure(struct jt_admission *admission,
			    struct admission_service *service,
			    uint32_t priority)
{
	size_t index = priority_index(service, priority);
	struct jt_group_shares *shares;

	if (index < service->priority_count &&
	    service->priorities[index].priority == priority) {
		service->priorities[index].in_routing = true;
		return;
	}
	if (service->priority_count == PRIORITIES_MAX)
		return;
	shares = talloc_zero(admission, struct jt_group_shares);
	if (shares == NULL)
		return;
	for (size_t i = service->priority_count; i > index; i--)
		service->priorities[i] = service->priorities[i - 1];
	service->priorities[index] = (struct admission_priority){
		.priority = priority, .in_routing = true, .shares = shares};
	service->priority_count++;
}

static void route_apply(struct jt_admission *admission,
			const struct jt_route *route)
{
	struct admission_service *service;

	if (route->target_ms == 0 || route->part_count == 0)
		return;
	service = service_ensure(admission, route_service(route));
	if (service == NULL)
		return;
	if (service->target_ms == 0 || route->target_ms < service->target_ms)
		service->target_ms = route->target_ms;
	priority_ensure(admission, service, route->priority);
}

/* Updates the controlled flag of the service. Priorities without a route keep
 * their counts. */
static void service_controlled_update(struct admission_service *service)
{
	size_t routed_count = 0;
	bool controlled;

	for (size_t i = 0; i < service->priority_count; i++)
		routed_count += service->priorities[i].in_routing;
	controlled = routed_count > 1;
	if (controlled && !service->controlled) {
		jt_in_flight_init(&service->requests, service->target_ms);
		service->limit = (struct jt_concurrency_limit){0};
		service->slots_ms = 0;
	}
	service->controlled = controlled;
}

static void service_routes_clear(struct admission_service *service)
{
	service->target_ms = 0;
	for (size_t i = 0; i < service->priority_count; i++)
		service->priorities[i].in_routing = false;
}

void jt_admission_routing(struct jt_admission *admission,
			  const struct jt_routing *routing)
{
	struct admission_service *service;

	if (!admission->enabled)
		return;
	for (service = admission->services; service != NULL;
	     service = service->hh.next)
		service_routes_clear(service);
	for (size_t i = 0; i < routing->route_count; i++)
		route_apply(admission, &routing->routes[i]);
	for (service = admission->services; service != NULL;
	     service = service->hh.next)
		service_controlled_update(service);
}

/* Admission */

static uint32_t service_in_flight(struct admission_service *service,
				  uint64_t now_ms)
{
	return jt_in_flight_count(&service->opening, now_ms) +
	       jt_in_flight_count(&service->requests, now_ms);
}

static bool priority_active(const struct admission_priority *priority,
			    uint64_t now_ms)
{
	return priority->last_flow_ms != 0 &&
	       now_ms - priority->last_flow_ms < ACTIVE_MS;
}

/* Returns the part of the concurrency limit available to the priority at
 * @index. */
static double priority_limit(const struct admission_service *service,
			     size_t index, uint64_t now_ms)
{
	size_t more_urgent = 0, active = 0;

	for (size_t i = 0; i < service->priority_count; i++) {
		if (!priority_active(&service->priorities[i], now_ms))
			continue;
		active++;
		more_urgent += i < index;
	}
	if (active < 2)
		return service->limit.limit;
	return service->limit.limit *
	       (1 - RESERVE_PART * (double)more_urgent / (double)(active - 1));
}

static struct jt_admission_state
state_describe(struct admission_service *service, size_t index, uint64_t now_ms)
{
	return (struct jt_admission_state){
		.priority = service->priorities[index].priority,
		.limit = (uint32_t)ceil(priority_limit(service, index, now_ms)),
		.in_flight = service_in_flight(service, now_ms),
		.delay_ms = (uint32_t)service->limit.delay_ms,
		.allowed_ms = (uint32_t)service->limit.allowed_ms,
	};
}

/* Returns true if the limit, and the group's share of it, allow one more
 * flow. */
static bool below_limit(const struct admission_service *service,
			const struct jt_admission_state *state, size_t index,
			const struct jt_group *group, uint64_t now_ms)
{
	if (service->limit.limit == 0)
		return true;
	if (state->in_flight >= state->limit)
		return false;
	return group == NULL ||
	       jt_group_shares_admit(service->priorities[index].shares, group,
				     state->in_flight, state->limit, now_ms);
}

/* Uses one flow of the priority's floor credit; returns false if there is
 * none. */
static bool floor_credit_use(struct admission_priority *priority)
{
	if (priority->floor_credit < 1)
		return false;
	priority->floor_credit -= 1;
	return true;
}

struct jt_admission_decision
jt_admission_request(struct jt_admission *admission,
		     const struct jt_route *route, uint64_t now_ms)
{
	struct jt_admission_decision decision = {.admitted = true};
	struct admission_service *service =
		service_controlled(admission, route_service(route));
	struct admission_priority *priority;
	struct jt_group *group;
	size_t index;
	bool has_capacity;

	if (service == NULL || route->target_ms == 0)
		return decision;
	index = priority_index(service, route->priority);
	if (index == service->priority_count)
		index--;
	priority = &service->priorities[index];
	priority->last_flow_ms = now_ms;
	group = jt_group_shares_request(priority->shares, route->address,
					now_ms);
	decision.state = state_describe(service, index, now_ms);
	decision.state.route = route->name;
	has_capacity =
		below_limit(service, &decision.state, index, group, now_ms);
	if (!floor_credit_use(priority) && !has_capacity) {
		decision.admitted = false;
		priority->refused++;
		jt_concurrency_limit_refused(&service->limit, now_ms);
		return decision;
	}
	priority->admitted++;
	if (group != NULL)
		jt_group_admitted(group, now_ms);
	return decision;
}

/* Flow and request events */

void jt_admission_assigned(struct jt_admission *admission, uint32_t service_id,
			   uint64_t now_ms)
{
	struct admission_service *service =
		service_controlled(admission, service_id);

	if (service != NULL)
		jt_in_flight_begin(&service->opening, now_ms);
}

void jt_admission_opened(struct jt_admission *admission, uint32_t service_id,
			 uint64_t assigned_ms, uint64_t now_ms)
{
	struct admission_service *service =
		service_controlled(admission, service_id);

	if (service != NULL)
		jt_in_flight_end(&service->opening, assigned_ms, now_ms);
}

void jt_admission_requested(struct jt_admission *admission, uint32_t service_id,
			    uint64_t now_ms)
{
	struct admission_service *service =
		service_controlled(admission, service_id);

	if (service == NULL)
		return;
	jt_in_flight_begin(&service->requests, now_ms);
	jt_concurrency_limit_begun(&service->limit);
}

void jt_admission_answered(struct jt_admission *admission, uint32_t service_id,
			   uint64_t requested_ms, uint32_t bytes, bool assigned,
			   uint64_t now_ms)
{
	struct admission_service *service =
		service_controlled(admission, service_id);

	if (service == NULL)
		return;
	jt_in_flight_end(&service->requests, requested_ms, now_ms);
	if (!assigned) {
		jt_concurrency_limit_open_flow_answered(&service->limit);
		return;
	}
	if (!jt_concurrency_limit_answered(&service->limit,
					   now_ms - requested_ms, bytes))
		return;
	for (size_t i = 0; i < service->priority_count; i++) {
		struct admission_priority *priority = &service->priorities[i];

		priority->floor_credit =
			fmin(1, priority->floor_credit + admission->floor);
	}
}

void jt_admission_abandoned(struct jt_admission *admission, uint32_t service_id,
			    uint64_t requested_ms, uint64_t now_ms)
{
	struct admission_service *service =
		service_controlled(admission, service_id);

	if (service != NULL)
		jt_in_flight_end(&service->requests, requested_ms, now_ms);
}

/* Periodic update */

static void slots_count(struct admission_service *service,
			const struct jt_endpoint_table *endpoints,
			uint64_t now_ms)
{
	const struct jt_service_pool *pool =
		jt_endpoint_table_pool(endpoints, service->service_id);
	size_t member_count = pool != NULL ? pool->count : 0;

	if (service->slots_ms != 0 &&
	    now_ms - service->slots_ms < SLOTS_COUNT_INTERVAL_MS)
		return;
	service->slots_ms = now_ms;
	service->slots = 0;
	for (size_t i = 0; i < member_count; i++) {
		const struct jt_incarnation *in = pool->members[i];

		if (in->state == JT_INCARNATION_READY)
			service->slots += jt_incarnation_slots(in);
	}
}

static struct jt_admission_view view_of(const struct admission_service *service)
{
	return (struct jt_admission_view){
		.service_id = service->service_id,
		.limit = (uint32_t)ceil(service->limit.limit),
		.in_flight = service->opening.total + service->requests.total,
		.delay_ms = (uint32_t)service->limit.delay_ms,
		.allowed_ms = (uint32_t)service->limit.allowed_ms,
		.offered_per_s = (uint32_t)service->limit.offered_per_s,
	};
}

void jt_admission_tick(struct jt_admission *admission,
		       const struct jt_endpoint_table *endpoints,
		       uint64_t nodes, uint64_t now_ms,
		       jt_admission_changed changed, void *private_data)
{
	struct admission_service *service;

	for (service = admission->services; service != NULL;
	     service = service->hh.next) {
		struct jt_limit_service limit_inputs = {
			.target_ms = service->target_ms, .nodes = nodes};
		struct jt_admission_view view;

		if (!service->controlled)
			continue;
		slots_count(service, endpoints, now_ms);
		limit_inputs.slots = service->slots;
		if (jt_concurrency_limit_step(&service->limit, &limit_inputs,
					      now_ms) == JT_LIMIT_SAME)
			continue;
		view = view_of(service);
		changed(&view, private_data);
	}
}

/* State and counts */

bool jt_admission_view_at(const struct jt_admission *admission, size_t index,
			  struct jt_admission_view *view)
{
	const struct admission_service *service;

	for (service = admission->services; service != NULL;
	     service = service->hh.next) {
		if (!service->controlled)
			continue;
		if (index-- == 0) {
			*view = view_of(service);
			return true;
		}
	}
	return false;
}

bool jt_admission_counts_at(const struct jt_admission *admission, size_t index,
			    struct jt_admission_counts *counts)
{
	const struct admission_service *service;

	for (service = admission->services; service != NULL;
	     service = service->hh.next) {
		const struct admission_priority *priority;

		if (!service->controlled)
			continue;
		if (index >= service->priority_count) {
			index -= service->priority_count;
			continue;
		}
		priority = &service->priorities[index];
		*counts = (struct jt_admission_counts){
			.service_id = service->service_id,
			.priority = priority->priority,
			.admitted = priority->admitted,
			.refused = priority->refused,
		};
		return true;
	}
	return false;
}
