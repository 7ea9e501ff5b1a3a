/* Pure functions on the agreed cell state. */
#ifndef JASPERTRACK_CELL_H
#define JASPERTRACK_CELL_H

#include "jaspertrack/cell-t.h"

/*
 * Creates the state that follows from applying @proposal to @base with
 * @config; @base is NULL for a cell's first state. The result depends on the
 * arguments only. It refers to @config. Returns NULL if out of memory.
 */
struct jt_cell_state *jt_cell_apply(TALLOC_CTX *mem_ctx, uint64_t cell,
				    const struct jt_cell_state *base,
				    const jt_wire_proposal *proposal,
				    const struct jt_config *config,
				    unsigned injected_faults);

/* Encodes @state as a message body, allocated below @mem_ctx. Returns 0, or
 * -1 if out of memory. */
int jt_cell_to_wire(TALLOC_CTX *mem_ctx, const struct jt_cell_state *state,
		    jt_wire_state *wire);
/* Decodes a state that refers to @config. Returns NULL if it is invalid or if
 * out of memory. */
struct jt_cell_state *jt_cell_from_wire(TALLOC_CTX *mem_ctx,
					const jt_wire_state *wire,
					const struct jt_config *config);

/* Return the index, or JT_NO_MEMBER / JT_NO_ENDPOINT if there is none. */
uint16_t jt_cell_member(const struct jt_cell_state *state, uint64_t id);
uint16_t jt_cell_endpoint(const struct jt_cell_state *state, uint32_t id);
/* Returns the table of a service, or NULL. */
const struct jt_table *jt_cell_table(const struct jt_cell_state *state,
				     uint32_t service_id);
/* Computes the owner and the replica of @key by rendezvous hashing. */
void jt_cell_owners(const struct jt_cell_state *state, uint64_t key,
		    uint16_t *owner, uint16_t *replica);

/* Returns the virtual address that a flow is sent to, or NULL if unknown. */
const struct jt_address_config *
jt_config_address(const struct jt_config *config,
		  const struct jt_flow_key *key);
/* Returns the service with this id, or NULL. */
const struct jt_service_config *
jt_config_service(const struct jt_config *config, uint32_t service_id);
/* Returns the bucket that the 5-tuple is hashed to. */
uint16_t jt_flow_bucket(const struct jt_flow_key *key);
/* Returns true if flows of the bucket are always placed by load. */
bool jt_bucket_is_load_placed(size_t bucket, uint32_t load_placed_permille);

static inline bool jt_bit_get(const uint8_t *bitmap, size_t bit)
{
	return (bitmap[bit / 8] >> (bit % 8)) & 1;
}

static inline void jt_bit_set(uint8_t *bitmap, size_t bit, bool value)
{
	uint8_t mask = (uint8_t)(1u << (bit % 8));

	if (value)
		bitmap[bit / 8] |= mask;
	else
		bitmap[bit / 8] &= (uint8_t)~mask;
}

#endif
