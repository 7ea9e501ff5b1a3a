/*
 * The protocol between jaspertrack nodes (XDR, RFC 4506).
 *
 * Generated code is committed; regenerate with `make proto`.
 * Units: *_ms milliseconds of the sender's monotonic clock. Addresses are
 * IPv4 in host order.
 */

const JT_MAX_MEMBERS = 512;
const JT_MAX_ENDPOINTS = 4096;
const JT_MAX_RECORDS = 64;
const JT_MAX_BUCKETS = 1024;
const JT_MAX_SERVICES = 256;
const JT_MAX_CONFIG = 1048576;
const JT_MAX_PACKET = 9000;

struct jt_wire_member {
	unsigned hyper id;
	unsigned int zone;
	unsigned int address;
	unsigned int port;
};

struct jt_wire_endpoint {
	unsigned int id;
	unsigned int service_id;
	unsigned int address;
	unsigned int port_state;
	unsigned int capacity;
};

/* A bucket without remaining flow records, whose sticky bit may be cleared. */
struct jt_wire_bucket {
	unsigned int service_id;
	unsigned int bucket;
};

/* A change of the cell state, applied to the state of the previous epoch. */
struct jt_wire_proposal {
	unsigned hyper epoch;
	unsigned hyper config_revision;
	jt_wire_member members<JT_MAX_MEMBERS>;
	jt_wire_endpoint endpoints<JT_MAX_ENDPOINTS>;
	jt_wire_bucket clean_buckets<JT_MAX_BUCKETS>;
};

struct jt_wire_ballot {
	unsigned int round;
	unsigned hyper node;
};

/*
 * Sent to every peer several times a second. To keep it small, epochs and
 * revisions that are usually equal are sent as differences.
 */
struct jt_wire_heartbeat {
	unsigned int cell;              /* low half of the cell's id */
	unsigned hyper epoch;
	unsigned int accepted_ahead;    /* accepted epoch minus epoch */
	bool transferred;               /* handover of the epoch's records is done */
	unsigned hyper config_revision; /* newest known */
	/* config_revision minus the revision that is active at all members */
	unsigned int revision_behind_active;
	unsigned int sent_ms;           /* low half of the sender's clock */
	unsigned int echo_ms;           /* last sent_ms received from the peer */
	bool leaving;
	bool activated;                 /* the epoch is active at the sender */
	unsigned hyper suspects<JT_MAX_MEMBERS>;
};

/* A health report of an endpoint, identified by its index in the cell state. */
struct jt_wire_report {
	unsigned int position_flags; /* endpoint << 16 | incarnation << 8 |
	                                JT_REPORT_* */
	unsigned int load;
};

/*
 * Flow counts and health reports of a node; soft state. Endpoints are in the
 * order of the epoch's cell state, shares in that of its configuration.
 */
struct jt_wire_counts {
	unsigned hyper epoch;
	unsigned int endpoints<JT_MAX_ENDPOINTS>;
	unsigned int shares<JT_MAX_ENDPOINTS>;
	jt_wire_report reports<JT_MAX_ENDPOINTS>;
	jt_wire_bucket clean_buckets<JT_MAX_BUCKETS>;
};

struct jt_wire_join {
	jt_wire_member member;
	/* From a member without a lease, which only asks for the current
	 * state. */
	bool lease_lost;
};

struct jt_wire_prepare {
	jt_wire_ballot ballot;
	unsigned hyper epoch;
};

struct jt_wire_promise {
	jt_wire_ballot ballot;
	unsigned hyper epoch;
	jt_wire_ballot accepted_ballot;
	jt_wire_proposal *accepted;
};

struct jt_wire_accept {
	jt_wire_ballot ballot;
	jt_wire_proposal proposal;
};

struct jt_wire_accepted {
	jt_wire_ballot ballot;
	unsigned hyper epoch;
};

struct jt_wire_commit {
	unsigned hyper epoch;
	jt_wire_ballot ballot;
};

struct jt_wire_state_request {
	unsigned hyper epoch;
};

struct jt_wire_table {
	unsigned int service_id;
	opaque defaults<2048>; /* 16-bit endpoint indices, 0xffff: none */
	opaque sticky<128>;
};

struct jt_wire_state {
	unsigned hyper cell;
	unsigned hyper epoch;
	unsigned hyper config_revision;
	jt_wire_member members<JT_MAX_MEMBERS>;
	jt_wire_endpoint endpoints<JT_MAX_ENDPOINTS>;
	jt_wire_table tables<JT_MAX_SERVICES>;
};

struct jt_wire_record {
	unsigned int source;
	unsigned int destination;
	unsigned int ports;
	unsigned int endpoint_id;
	unsigned int bucket_protocol_flags;
	unsigned int idle_s;
};

struct jt_wire_records {
	unsigned hyper epoch;
	unsigned int sequence;
	bool handover;
	jt_wire_record records<JT_MAX_RECORDS>;
};

struct jt_wire_records_ack {
	unsigned hyper epoch;
	unsigned int sequence;
};

struct jt_wire_relay {
	unsigned int hops;
	opaque packet<JT_MAX_PACKET>;
};

struct jt_wire_config_request {
	unsigned hyper revision;
};

struct jt_wire_config {
	unsigned hyper revision;
	opaque document<JT_MAX_CONFIG>;
};

/* A message relayed through a third member, since the sender can't reach the
 * receiver directly. */
struct jt_wire_relayed {
	unsigned hyper to;
	struct jt_wire_message *message;
};

enum jt_wire_kind {
	JT_WIRE_HEARTBEAT = 1,
	JT_WIRE_COUNTS = 2,
	JT_WIRE_JOIN = 3,
	JT_WIRE_PREPARE = 4,
	JT_WIRE_PROMISE = 5,
	JT_WIRE_ACCEPT = 6,
	JT_WIRE_ACCEPTED = 7,
	JT_WIRE_COMMIT = 8,
	JT_WIRE_STATE_REQUEST = 9,
	JT_WIRE_STATE = 10,
	JT_WIRE_RECORDS = 11,
	JT_WIRE_RECORDS_ACK = 12,
	JT_WIRE_RELAY = 13,
	JT_WIRE_CONFIG_REQUEST = 14,
	JT_WIRE_CONFIG = 15,
	JT_WIRE_RELAYED = 16
};

union jt_wire_body switch (jt_wire_kind kind) {
case JT_WIRE_HEARTBEAT:
	jt_wire_heartbeat heartbeat;
case JT_WIRE_COUNTS:
	jt_wire_counts counts;
case JT_WIRE_JOIN:
	jt_wire_join join;
case JT_WIRE_PREPARE:
	jt_wire_prepare prepare;
case JT_WIRE_PROMISE:
	jt_wire_promise promise;
case JT_WIRE_ACCEPT:
	jt_wire_accept accept;
case JT_WIRE_ACCEPTED:
	jt_wire_accepted accepted;
case JT_WIRE_COMMIT:
	jt_wire_commit commit;
case JT_WIRE_STATE_REQUEST:
	jt_wire_state_request state_request;
case JT_WIRE_STATE:
	jt_wire_state state;
case JT_WIRE_RECORDS:
	jt_wire_records records;
case JT_WIRE_RECORDS_ACK:
	jt_wire_records_ack records_ack;
case JT_WIRE_RELAY:
	jt_wire_relay relay;
case JT_WIRE_CONFIG_REQUEST:
	jt_wire_config_request config_request;
case JT_WIRE_CONFIG:
	jt_wire_config config;
case JT_WIRE_RELAYED:
	jt_wire_relayed relayed;
};

/*
 * Messages name their receiver, so that a process that reuses the address of a
 * dead one ignores messages to its predecessor.
 */
struct jt_wire_message {
	unsigned hyper from;
	unsigned int to; /* low half of the receiver's id; 0: any receiver */
	jt_wire_body body;
};
