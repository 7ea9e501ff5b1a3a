/*
 * What a director node needs of the world it runs in. An environment only
 * translates: every decision is the product's.
 */
#ifndef JT_ENVIRONMENT_H
#define JT_ENVIRONMENT_H

#include "jaspertrack/director-t.h"
#include "jt_follower.h"
#include "jt_http_client.h"

enum {
	JT_DATAGRAM_MAX = 2048,
	JT_HEADROOM_MAX = 64, /* bytes that a codec may put before a packet */
	JT_RESET_MAX = 64,
};

/* How packets look on the wire. */
struct jt_packet_codec {
	/* False when @data is no packet. */
	bool (*parse)(const uint8_t *data, size_t length,
		      struct jt_label_packet *packet);
	/*
	 * Make @data ready for an endpoint, using up to JT_HEADROOM_MAX bytes
	 * before it. Returns how many bytes were put before.
	 */
	size_t (*wrap)(uint8_t *data, uint64_t endpoint_id, uint32_t label);
	/* A reset from the flow's destination to its source; its length. */
	size_t (*reset)(const struct jt_flow_key *key, uint32_t sequence,
			uint8_t data[JT_RESET_MAX]);
	/* The id of the request that begins in @data, if its bytes show it;
	 * left as it is otherwise. */
	void (*request)(const uint8_t *data, size_t length, char *id,
			size_t size);
	/* Where the caller of a flow takes datagrams; @own is this node's
	 * address for packets. */
	struct jt_address (*caller)(const struct jt_flow_key *key,
				    struct jt_address own);
};

/* One change of the store, in the product's terms. */
enum jt_change_kind {
	JT_CHANGE_ROUTING,
	JT_CHANGE_ENDPOINT,
	JT_CHANGE_GONE, /* only endpoint.id and endpoint.revision */
	JT_CHANGE_ZONE, /* the drain of a zone began or ended */
	JT_CHANGE_INVALID,
};

struct jt_change {
	enum jt_change_kind kind;
	uint64_t revision;
	struct jt_routing *routing; /* talloc child of the answer */
	struct jt_endpoint_entry endpoint;
	struct jt_zone_drain zone;
	const char *key;   /* JT_CHANGE_INVALID: where */
	const char *field; /* and which field */
	const char *reason;
};

struct jt_kv_answer {
	enum jt_kv_status status;
	uint64_t revision;
	bool more;
	const char *last_key; /* of a page, for the next one */
	bool zones_told; /* this page or earlier ones have all drains of zones
			  */
	struct jt_change *changes;
	size_t change_count;
};

/* The store that holds routing and endpoints. */
struct jt_directory {
	struct tevent_req *(*list_send)(TALLOC_CTX *mem_ctx,
					struct jt_http_client *client,
					struct jt_address store,
					const char *after_key,
					uint32_t timeout_ms);
	struct tevent_req *(*watch_send)(TALLOC_CTX *mem_ctx,
					 struct jt_http_client *client,
					 struct jt_address store,
					 uint64_t revision, uint32_t wait_ms,
					 uint32_t timeout_ms);
	/* A cheap call that tells only the store's revision, which may be
	 * somewhat old. */
	struct tevent_req *(*check_send)(TALLOC_CTX *mem_ctx,
					 struct jt_http_client *client,
					 struct jt_address store,
					 uint32_t timeout_ms);
	/* Never NULL unless memory runs out. */
	struct jt_kv_answer *(*recv)(struct tevent_req *req,
				     TALLOC_CTX *mem_ctx);
};

/* Asks an endpoint who it is. */
struct jt_identity {
	struct tevent_req *(*send)(TALLOC_CTX *mem_ctx,
				   struct jt_http_client *client,
				   struct jt_address endpoint,
				   const char *health_path,
				   uint32_t timeout_ms);
	/* The id of the incarnation that answered, 0 when none did. */
	uint64_t (*recv)(struct tevent_req *req);
};

struct jt_environment {
	const char *name;
	const struct jt_packet_codec *codec;
	const struct jt_directory *directory;
	const struct jt_identity *identity;
};

/* NULL when this build has no environment of that name. */
const struct jt_environment *jt_environment_find(const char *name);

#endif
