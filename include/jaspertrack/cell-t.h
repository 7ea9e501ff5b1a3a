/*
 * The cell state on which all nodes of a cell agree; each epoch has one.
 */
#ifndef JASPERTRACK_CELL_T_H
#define JASPERTRACK_CELL_T_H

#include "jaspertrack/core-t.h"

enum { JT_NO_MEMBER = 0xffff, JT_NO_ENDPOINT = 0xffff };

struct jt_member {
	uint64_t id;
	uint32_t zone;
	struct jt_address address;
};

struct jt_cell_endpoint {
	uint32_t id;
	uint32_t service_id;
	struct jt_address address;
	enum jt_endpoint_state state;
	uint32_t capacity; /* connections or slots, depending on the service */
};

/*
 * Placement table of one service.
 *
 * A flow without a record is forwarded to the default endpoint of its
 * bucket. A bucket is exceptional if its flows may have records that name
 * another endpoint; its packets pass through the bucket's owner.
 */
struct jt_table {
	uint32_t service_id;
	uint32_t defaults[JT_BUCKETS];	    /* endpoint ids; 0: none */
	uint16_t default_index[JT_BUCKETS]; /* into jt_cell_state.endpoints */
	uint16_t owner[JT_BUCKETS];	    /* into jt_cell_state.members */
	uint16_t replica[JT_BUCKETS];
	/* Buckets that stay exceptional until they are declared clean. */
	uint8_t sticky[JT_BUCKET_BITMAP];
	uint8_t exceptional[JT_BUCKET_BITMAP];
};

struct jt_cell_state {
	uint64_t cell;
	uint64_t epoch;
	const struct jt_config *config;
	struct jt_member *members; /* sorted by id */
	size_t member_count;
	struct jt_cell_endpoint *endpoints; /* sorted by id */
	size_t endpoint_count;
	struct jt_table *tables; /* one for each service of the config */
	size_t table_count;
};

#endif
