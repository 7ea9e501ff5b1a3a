#include "jt_split.h"
#include "jt_routing.h"

#include <math.h>
#include <string.h>

enum {
	/* Counts are halved when their sum reaches this, so that older flows
	 * weigh less. */
	COUNTS_SUM_MAX = 4096,
};

struct jt_splits *jt_splits_create(TALLOC_CTX *mem_ctx)
{
	return talloc_zero(mem_ctx, struct jt_splits);
}

struct jt_split *jt_splits_find(struct jt_splits *splits,
				const struct jt_route *route)
{
	struct jt_split *split;
	struct jt_address address;

	memset(&address, 0, sizeof(address));
	address.ip = route->address.ip;
	address.port = route->address.port;
	HASH_FIND(hh, splits->routes, &address, sizeof(address), split);
	if (split == NULL) {
		split = talloc_zero(splits, struct jt_split);
		if (split == NULL)
			return NULL;
		split->address = address;
		split->route = *route;
		HASH_ADD(hh, splits->routes, address, sizeof(address), split);
	}
	if (!jt_route_same_parts(&split->route, route)) {
		split->route = *route;
		memset(split->given, 0, sizeof(split->given));
		memset(split->usual, 0, sizeof(split->usual));
	}
	return split;
}

void jt_split_give(struct jt_split *split, size_t part)
{
	uint64_t sum = 0;

	split->given[part]++;
	for (size_t i = 0; i < split->route.part_count; i++)
		sum += split->given[i];
	if (sum < COUNTS_SUM_MAX)
		return;
	for (size_t i = 0; i < split->route.part_count; i++)
		split->given[i] /= 2;
}

void jt_splits_count(struct jt_splits *splits, const struct jt_route *route,
		     uint32_t service_id)
{
	struct jt_split *split;

	if (route->part_count < 2)
		return;
	split = jt_splits_find(splits, route);
	if (split == NULL)
		return;
	for (size_t i = 0; i < route->part_count; i++) {
		if (route->parts[i].service_id == service_id)
			jt_split_give(split, i);
	}
}

struct jt_usual *jt_split_usual(struct jt_split *split, uint32_t service_id)
{
	for (size_t i = 0; i < split->route.part_count; i++) {
		if (split->route.parts[i].service_id == service_id)
			return &split->usual[i];
	}
	return NULL;
}

void jt_splits_prune(struct jt_splits *splits, const struct jt_routing *routing)
{
	struct jt_split *split, *next;

	for (split = splits->routes; split != NULL; split = next) {
		struct jt_flow_key key = {
			.destination = split->address.ip,
			.destination_port = split->address.port,
		};

		next = split->hh.next;
		if (jt_routing_route(routing, &key) != NULL)
			continue;
		HASH_DEL(splits->routes, split);
		talloc_free(split);
	}
}

int jt_split_next(const struct jt_split *split, unsigned tried)
{
	const struct jt_route *route = &split->route;
	double lowest = INFINITY;
	int next = -1;

	for (size_t i = 0; i < route->part_count; i++) {
		double relative_count;

		if (route->parts[i].weight == 0 || tried >> i & 1)
			continue;
		relative_count = ((double)split->given[i] + 0.5) /
				 route->parts[i].weight;
		if (relative_count < lowest) {
			lowest = relative_count;
			next = (int)i;
		}
	}
	return next;
}
