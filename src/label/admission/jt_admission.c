#include "jt_admission.h"
#include "jt_concurrency_limit.h"
#include "jt_group_shares.h"
#include "jt_in_flight.h"
#include "jt_mechanism.h"

#include <math.h>
#include <uthash.h>

enum {
	/* Priorities of one service that are told apart. */
	PRIORITIES_MOST = 8,
	/* A flow that opens has done so before its caller sends a copy. */
	OPENING_MS = 200,
	/* A priority without new flows for so long keeps nothing free. */
	ACTIVE_MS = 5000,
	/* Endpoints' slots are counted anew that often. */
	SLOTS_MS = 1000,
	PERMILLE = 1000,
};

/* The least urgent leave so much of the limit to others: more than the flows
 * in flight vary by from one moment to the next. */
#define RESERVE_PART 0.3

struct admission_priority {
	uint32_t priority;
	bool routed;   /* a route in force has it */
	double credit; /* flows that it may open by the floor */
	uint64_t asked_ms;
	struct jt_group_shares *shares;
	uint64_t admitted;
	uint64_t refused;
};

struct admission_service {
	uint32_t service_id;
	bool watched;
	uint32_t target_ms; /* the shortest of its routes */
	struct admission_priority priorities[PRIORITIES_MOST];
	size_t priority_count; /* most urgent first */
	struct jt_in_flight opening;
	struct jt_in_flight requests;
	struct jt_concurrency_limit limit;
	uint64_t slots;
	uint64_t slots_ms; /* when they were counted */
	UT_hash_handle hh;
};

struct jt_admission {
	struct admission_service *services;
	double floor; /* part of the answers */
	bool on;
};

struct jt_admission *
jt_admission_create(TALLOC_CTX *mem_ctx,
		    const struct jt_director_options *options)
{
	struct jt_admission *admission =
		talloc_zero(mem_ctx, struct jt_admission);

	if (admission == NULL)
		return NULL;
	admission->on =
		jt_mechanism_on(options->without, JT_MECHANISM_ADMISSION);
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

/* One that is watched, or NULL. */
static struct admission_service *
service_watched(const struct jt_admission *admission, uint32_t service_id)
{
	struct admission_service *service = service_find(admission, service_id);

	return service != NULL && service->watched ? service : NULL;
}

/* Where most of the route's new flows go. */
static uint32_t route_service(const struct jt_route *route)
{
	size_t most = 0;

	for (size_t i = 1; i < route->part_count; i++) {
		if (route->parts[i].weight > route->parts[most].weight)
			most = i;
	}
	return route->parts[most].service_id;
}

/* Routing */

static struct admission_service *service_need(struct jt_admission *admission,
					      uint32_t service_id)
{
	struct admission_service *service = service_find(admission, service_id);

	if (service != NULL)
		return service;
	service = talloc_zero(admission, struct admission_service);
	if (service == NULL)
		return NULL;
	service->service_id = service_id;
	jt_in_flight_init(&service->opening, OPENING_MS);
	HASH_ADD(hh, admission->services, service_id, sizeof(service_id),
		 service);
	return service;
}

/* The place of the priority, or of the first that is less urgent. */
static size_t priority_place(const struct admission_service *service,
			     uint32_t priority)
{
	size_t place = 0;

	while (place < service->priority_count &&
	       service->priorities[place].priority < priority)
		place++;
	return place;
}

static void priority_need(struct jt_admission *admission,
			  struct admission_service *service, uint32_t priority)
{
	size_t place = priority_place(service, priority);
	struct jt_group_shares *shares;

	if (place < service->priority_count &&
	    service->priorities[place].priority == priority) {
		service->priorities[place].routed = true;
		return;
	}
	if (service->priority_count == PRIORITIES_MOST)
		return;
	shares = talloc_zero(admission, struct jt_group_shares);
	if (shares == NULL)
		return;
	for (size_t i = service->priority_count; i > place; i--)
		service->priorities[i] = service->priorities[i - 1];
	service->priorities[place] = (struct admission_priority){
		.priority = priority, .routed = true, .shares = shares};
	service->priority_count++;
}

static void route_note(struct jt_admission *admission,
		       const struct jt_route *route)
{
	struct admission_service *service;

	if (route->target_ms == 0 || route->part_count == 0)
		return;
	service = service_need(admission, route_service(route));
	if (service == NULL)
		return;
	if (service->target_ms == 0 || route->target_ms < service->target_ms)
		service->target_ms = route->target_ms;
	priority_need(admission, service, route->priority);
}

/* Priorities stay known with their counts, also when no route has them. */
static void service_settle(struct admission_service *service)
{
	size_t routed = 0;
	bool watched;

	for (size_t i = 0; i < service->priority_count; i++)
		routed += service->priorities[i].routed;
	watched = routed > 1;
	if (watched && !service->watched) {
		jt_in_flight_init(&service->requests, service->target_ms);
		service->limit = (struct jt_concurrency_limit){0};
		service->slots_ms = 0;
	}
	service->watched = watched;
}

static void service_reset(struct admission_service *service)
{
	service->target_ms = 0;
	for (size_t i = 0; i < service->priority_count; i++)
		service->priorities[i].routed = false;
}

void jt_admission_routing(struct jt_admission *admission,
			  const struct jt_routing *routing)
{
	struct admission_service *service;

	if (!admission->on)
		return;
	for (service = admission->services; service != NULL;
	     service = service->hh.next)
		service_reset(service);
	for (size_t i = 0; i < routing->route_count; i++)
		route_note(admission, &routing->routes[i]);
	for (service = admission->services; service != NULL;
	     service = service->hh.next)
		service_settle(service);
}

/* Asking */

static uint32_t service_in_flight(struct admission_service *service,
				  uint64_t now_ms)
{
	return jt_in_flight_count(&service->opening, now_ms) +
	       jt_in_flight_count(&service->requests, now_ms);
}

static bool priority_active(const struct admission_priority *priority,
			    uint64_t now_ms)
{
	return priority->asked_ms != 0 &&
	       now_ms - priority->asked_ms < ACTIVE_MS;
}

/* What of the limit the priority at @place may fill. */
static double priority_limit(const struct admission_service *service,
			     size_t place, uint64_t now_ms)
{
	size_t before = 0, active = 0;

	for (size_t i = 0; i < service->priority_count; i++) {
		if (!priority_active(&service->priorities[i], now_ms))
			continue;
		active++;
		before += i < place;
	}
	if (active < 2)
		return service->limit.limit;
	return service->limit.limit *
	       (1 - RESERVE_PART * (double)before / (double)(active - 1));
}

static struct jt_director_room room_of(struct admission_service *service,
				       size_t place, uint64_t now_ms)
{
	return (struct jt_director_room){
		.priority = service->priorities[place].priority,
		.limit = (uint32_t)ceil(priority_limit(service, place, now_ms)),
		.in_flight = service_in_flight(service, now_ms),
		.delay_ms = (uint32_t)service->limit.delay_ms,
		.allowed_ms = (uint32_t)service->limit.allowed_ms,
	};
}

/* Whether the limit, and the group's share of it, leave room for one more. */
static bool has_room(const struct admission_service *service,
		     const struct jt_director_room *room, size_t place,
		     const struct jt_group *group, uint64_t now_ms)
{
	if (service->limit.limit == 0)
		return true;
	if (room->in_flight >= room->limit)
		return false;
	return group == NULL ||
	       jt_group_shares_admit(service->priorities[place].shares, group,
				     room->in_flight, room->limit, now_ms);
}

/* Use up what the priority may open by its floor; false: nothing is left. */
static bool floor_use(struct admission_priority *priority)
{
	if (priority->credit < 1)
		return false;
	priority->credit -= 1;
	return true;
}

struct jt_admission_verdict jt_admission_ask(struct jt_admission *admission,
					     const struct jt_route *route,
					     uint64_t now_ms)
{
	struct jt_admission_verdict verdict = {.admitted = true};
	struct admission_service *service =
		service_watched(admission, route_service(route));
	struct admission_priority *priority;
	struct jt_group *group;
	size_t place;
	bool fits;

	if (service == NULL || route->target_ms == 0)
		return verdict;
	place = priority_place(service, route->priority);
	if (place == service->priority_count)
		place--;
	priority = &service->priorities[place];
	priority->asked_ms = now_ms;
	group = jt_group_shares_ask(priority->shares, route->address, now_ms);
	verdict.room = room_of(service, place, now_ms);
	verdict.room.route = route->name;
	fits = has_room(service, &verdict.room, place, group, now_ms);
	if (!floor_use(priority) && !fits) {
		verdict.admitted = false;
		priority->refused++;
		jt_concurrency_limit_refused(&service->limit, now_ms);
		return verdict;
	}
	priority->admitted++;
	if (group != NULL)
		jt_group_admitted(group, now_ms);
	return verdict;
}

/* What becomes of flows */

void jt_admission_placed(struct jt_admission *admission, uint32_t service_id,
			 uint64_t now_ms)
{
	struct admission_service *service =
		service_watched(admission, service_id);

	if (service != NULL)
		jt_in_flight_begin(&service->opening, now_ms);
}

void jt_admission_opened(struct jt_admission *admission, uint32_t service_id,
			 uint64_t placed_ms, uint64_t now_ms)
{
	struct admission_service *service =
		service_watched(admission, service_id);

	if (service != NULL)
		jt_in_flight_end(&service->opening, placed_ms, now_ms);
}

void jt_admission_requested(struct jt_admission *admission, uint32_t service_id,
			    uint64_t now_ms)
{
	struct admission_service *service =
		service_watched(admission, service_id);

	if (service == NULL)
		return;
	jt_in_flight_begin(&service->requests, now_ms);
	jt_concurrency_limit_begun(&service->limit);
}

void jt_admission_answered(struct jt_admission *admission, uint32_t service_id,
			   uint64_t requested_ms, uint32_t bytes, bool placed,
			   uint64_t now_ms)
{
	struct admission_service *service =
		service_watched(admission, service_id);

	if (service == NULL)
		return;
	jt_in_flight_end(&service->requests, requested_ms, now_ms);
	if (!placed) {
		jt_concurrency_limit_bound(&service->limit);
		return;
	}
	if (!jt_concurrency_limit_answered(&service->limit,
					   now_ms - requested_ms, bytes))
		return;
	for (size_t i = 0; i < service->priority_count; i++) {
		struct admission_priority *priority = &service->priorities[i];

		priority->credit = fmin(1, priority->credit + admission->floor);
	}
}

void jt_admission_given_up(struct jt_admission *admission, uint32_t service_id,
			   uint64_t requested_ms, uint64_t now_ms)
{
	struct admission_service *service =
		service_watched(admission, service_id);

	if (service != NULL)
		jt_in_flight_end(&service->requests, requested_ms, now_ms);
}

/* Time */

static void slots_count(struct admission_service *service,
			const struct jt_endpoint_table *endpoints,
			uint64_t now_ms)
{
	const struct jt_service_pool *pool =
		jt_endpoint_table_pool(endpoints, service->service_id);
	size_t members = pool != NULL ? pool->count : 0;

	if (service->slots_ms != 0 && now_ms - service->slots_ms < SLOTS_MS)
		return;
	service->slots_ms = now_ms;
	service->slots = 0;
	for (size_t i = 0; i < members; i++) {
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
		struct jt_limit_service limits = {
			.target_ms = service->target_ms, .nodes = nodes};
		struct jt_admission_view view;

		if (!service->watched)
			continue;
		slots_count(service, endpoints, now_ms);
		limits.slots = service->slots;
		if (jt_concurrency_limit_step(&service->limit, &limits,
					      now_ms) == JT_LIMIT_SAME)
			continue;
		view = view_of(service);
		changed(&view, private_data);
	}
}

/* Views */

bool jt_admission_view_at(const struct jt_admission *admission, size_t index,
			  struct jt_admission_view *view)
{
	const struct admission_service *service;

	for (service = admission->services; service != NULL;
	     service = service->hh.next) {
		if (!service->watched)
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

		if (!service->watched)
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
