/*
 * Interface to the environment that a director node runs in. An environment
 * translates packets and stored data; it makes no decisions.
 */
#ifndef JT_ENVIRONMENT_H
#define JT_ENVIRONMENT_H

#include "jaspertrack/director-t.h"
#include "jt_follower.h"
#include "jt_http_client.h"

enum {
	JT_DATAGRAM_MAX = 2048,
	JT_HEADROOM_MAX = 64, /* bytes that a codec may prepend to a packet */
	JT_RESET_MAX = 64,
};

/* Wire format of packets. */
struct jt_packet_codec {
	/* Returns false if @data is not a valid packet. */
	bool (*parse)(const uint8_t *data, size_t length,
		      struct jt_label_packet *packet);
	/*
	 * Prepares @data for an endpoint, using up to JT_HEADROOM_MAX bytes
	 * before it. Returns the number of bytes prepended.
	 */
	size_t (*wrap)(uint8_t *data, uint64_t endpoint_id, uint32_t label);
	/* Writes a reset from the flow's destination to its source. Returns
	 * its length. */
	size_t (*reset)(const struct jt_flow_key *key, uint32_t sequence,
			uint8_t data[JT_RESET_MAX]);
	/* Copies the id of the request that begins in @data. Leaves @id
	 * unchanged if there is none, or if it does not fit. */
	void (*request_id)(const uint8_t *data, size_t length, char *id,
			   size_t size);
	/* Returns the address at which the flow's client receives datagrams.
	 * @own is this node's address for packets. */
	struct jt_address (*caller)(const struct jt_flow_key *key,
				    struct jt_address own);
};

/* A change in the store. */
enum jt_directory_change_kind {
	JT_DIRECTORY_CHANGE_ROUTING,
	JT_DIRECTORY_CHANGE_ENDPOINT,
	/* Sets only endpoint.id and endpoint.revision. */
	JT_DIRECTORY_CHANGE_REMOVED,
	JT_DIRECTORY_CHANGE_ZONE, /* a zone drain began or ended */
	JT_DIRECTORY_CHANGE_INVALID,
};

struct jt_directory_change {
	enum jt_directory_change_kind kind;
	uint64_t revision;
	struct jt_routing *routing; /* talloc child of the response */
	struct jt_endpoint_entry endpoint;
	struct jt_zone_drain zone;
	const char *key;   /* JT_DIRECTORY_CHANGE_INVALID: key of the item */
	const char *field; /* and the invalid field */
	const char *reason;
};

/* The response to a list, watch or check. */
struct jt_kv_response {
	enum jt_kv_status status;
	uint64_t revision;
	bool more;
	const char *last_key; /* of this page; the next page starts after it */
	bool zones_complete;  /* all zone drains are in the pages so far */
	struct jt_directory_change *changes;
	size_t change_count;
};

/* What a check of the store shows. */
enum jt_check_kind {
	JT_CHECK_ANSWERS,  /* only that the store answers */
	JT_CHECK_REVISION, /* a revision that the store had after the call */
};

/* Calls to the store that holds routing and endpoints. */
struct jt_directory {
	/* Requests the page of all items after @after_key (NULL: the first).
	 * All calls time out after @timeout_ms. */
	struct tevent_req *(*list_send)(TALLOC_CTX *mem_ctx,
					struct jt_http_client *client,
					struct jt_address store,
					const char *after_key,
					uint32_t timeout_ms);
	/* Requests the changes after @revision; the store waits for one up to
	 * @wait_ms. */
	struct tevent_req *(*watch_send)(TALLOC_CTX *mem_ctx,
					 struct jt_http_client *client,
					 struct jt_address store,
					 uint64_t revision, uint32_t wait_ms,
					 uint32_t timeout_ms);
	/* Requests only the store's revision. JT_CHECK_ANSWERS is cheaper than
	 * JT_CHECK_REVISION, but the revision may be seconds old. */
	struct tevent_req *(*check_send)(TALLOC_CTX *mem_ctx,
					 struct jt_http_client *client,
					 struct jt_address store,
					 enum jt_check_kind kind,
					 uint32_t timeout_ms);
	/* Returns the response to any of these calls, a talloc child of
	 * @mem_ctx; NULL only if memory runs out. */
	struct jt_kv_response *(*recv)(struct tevent_req *req,
				       TALLOC_CTX *mem_ctx);
};

/* Queries the identity of an endpoint. */
struct jt_identity {
	/* Sends a request to the endpoint's health page. */
	struct tevent_req *(*send)(TALLOC_CTX *mem_ctx,
				   struct jt_http_client *client,
				   struct jt_address endpoint,
				   const char *health_path,
				   uint32_t timeout_ms);
	/* Returns the id of the incarnation that answered, 0 if none did. */
	uint64_t (*recv)(struct tevent_req *req);
};

/* An environment, selected by its name in the settings. */
struct jt_environment {
	const char *name;
	const struct jt_packet_codec *codec;
	const struct jt_directory *directory;
	const struct jt_identity *identity;
};

/* Returns NULL if this build has no environment of that name. */
const struct jt_environment *jt_environment_find(const char *name);

#endif
