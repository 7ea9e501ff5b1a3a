#include "jt_reader.h"

enum {
	/* The jitter is at most the limit divided by this. */
	JITTER_DIVISOR = 4,
	/* Time for which one report of no newer state stands for all peers. */
	PEERS_NO_NEWER_MS = 1000,
	/* While the store is unreachable for all nodes, one node on average
	 * retries per interval of this length: 40 retries a second find it
	 * soon when it is back, and hardly load it. */
	RETRY_INTERVAL_MS = 25,
	/* Minimum range of the random retry delay of a node. */
	RETRY_MIN_MS = 1600,
	/* State is fresh again when it is younger than the limit divided by
	 * this. */
	FRESH_DIVISOR = 2,
	/* Minimum time for which a node reads, and for which it keeps watching
	 * after a failed watch. */
	MIN_READING_MS = 1000,
	/* Minimum cost of a full listing, in thousandths of a core times
	 * milliseconds, and the longest listing for which a node doesn't wait
	 * for peers. */
	LISTING_COST = 10 * 1000,
	LISTING_MS = 100,
	MAX_START_WAIT_MS = 1000,
	/* Time for peers to list the store and send the rest to a node that
	 * knows some endpoints and already accepts new flows. */
	PEERS_LISTING_MS = 1500,
	/* Time within which a live peer answers. */
	PEER_RESPONSE_MS = 15,
	/* There is no traffic yet when the whole system starts: the seeds have
	 * this long to list the store, then the others do so at random
	 * times. */
	FIRST_START_SEEDS_MS = 1000,
	FIRST_START_MS = 2000,
	/* Time after which a node knows enough of its peers to watch. If it
	 * were longer, changes just after a restart of all nodes would come
	 * late. It is longer on the first start, when there are no changes to
	 * deliver yet. */
	WATCH_AFTER_MS = 300,
	WATCH_AFTER_FIRST_START_MS = 2500,
};

/* Draws a new jitter, once for each time that this node begins to read. */
static void jitter_draw(struct jt_reader *reader)
{
	reader->jitter_ms = jt_random_next(&reader->random) %
			    (reader->limit_ms / JITTER_DIVISOR + 1);
}

void jt_reader_init(struct jt_reader *reader, uint64_t limit_ms, uint64_t seed)
{
	*reader = (struct jt_reader){
		.limit_ms = limit_ms,
		.watch_after_ms = WATCH_AFTER_MS,
		.random = {.seed = seed},
	};
	jitter_draw(reader);
}

void jt_reader_read(struct jt_reader *reader, uint64_t as_of_ms)
{
	if (as_of_ms > reader->own_ms)
		reader->own_ms = as_of_ms;
}

void jt_reader_record_peer(struct jt_reader *reader, uint64_t as_of_ms,
			   uint64_t from)
{
	if (as_of_ms <= reader->peers_as_of_ms)
		return;
	reader->peers_as_of_ms = as_of_ms;
	reader->peers_reader = from;
}

void jt_reader_record_report(struct jt_reader *reader, uint64_t as_of_ms,
			     uint64_t from, uint64_t now_ms)
{
	if (now_ms < reader->stalled_until_ms)
		return;
	if (as_of_ms <= reader->peers_as_of_ms)
		reader->peers_no_newer_ms = now_ms;
	jt_reader_record_peer(reader, as_of_ms, from);
}

void jt_reader_stalled(struct jt_reader *reader, uint64_t until_ms)
{
	reader->stalled_until_ms = until_ms;
}

/* Returns true if peers recently reported no newer state than this node has. */
static bool peers_are_no_newer(const struct jt_reader *reader, uint64_t now_ms)
{
	return reader->peers_no_newer_ms != 0 &&
	       now_ms - reader->peers_no_newer_ms < PEERS_NO_NEWER_MS;
}

void jt_reader_failed(struct jt_reader *reader, size_t nodes, uint64_t now_ms)
{
	uint64_t spread_ms = (uint64_t)nodes * RETRY_INTERVAL_MS;

	/* The store was read not long ago: keep the current mode for a while,
	 * whichever node is preferred now. A store that compacts its history
	 * ends all watches. */
	if (now_ms - reader->peers_as_of_ms <= reader->limit_ms) {
		reader->hold_until_ms = now_ms + MIN_READING_MS;
		return;
	}
	if (!peers_are_no_newer(reader, now_ms))
		return;
	if (spread_ms < RETRY_MIN_MS)
		spread_ms = RETRY_MIN_MS;
	reader->try_after_ms =
		now_ms + jt_random_next(&reader->random) % spread_ms;
}

static bool should_read(const struct jt_reader *reader,
			enum jt_reader_rank rank, bool started, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - reader->peers_as_of_ms;

	if (rank != JT_READER_RANK_NONE || !started)
		return true;
	if (now_ms < reader->try_after_ms && peers_are_no_newer(reader, now_ms))
		return false;
	if (reader->read_mode == JT_READ_MODE_NONE)
		return age_ms > reader->limit_ms + reader->jitter_ms;
	return age_ms > reader->limit_ms / FRESH_DIVISOR ||
	       now_ms - reader->began_ms < MIN_READING_MS;
}

enum jt_read_mode jt_reader_decide(struct jt_reader *reader,
				   enum jt_reader_rank rank, bool started,
				   uint64_t now_ms)
{
	if (reader->read_mode == JT_READ_MODE_WATCH &&
	    now_ms < reader->hold_until_ms)
		return reader->read_mode;
	if (!should_read(reader, rank, started, now_ms)) {
		reader->read_mode = JT_READ_MODE_NONE;
		return reader->read_mode;
	}
	if (reader->read_mode == JT_READ_MODE_NONE) {
		reader->began_ms = now_ms;
		jitter_draw(reader);
	}
	reader->read_mode = JT_READ_MODE_CHECK;
	if (rank == JT_READER_RANK_WATCHER &&
	    now_ms - reader->began_ms >= reader->watch_after_ms)
		reader->read_mode = JT_READ_MODE_WATCH;
	return reader->read_mode;
}

uint64_t jt_reader_start_wait_ms(uint32_t cpu_permille)
{
	uint64_t listing_ms = LISTING_COST / (cpu_permille ? cpu_permille : 1);

	if (listing_ms <= LISTING_MS)
		return 0;
	if (listing_ms - LISTING_MS > MAX_START_WAIT_MS)
		return MAX_START_WAIT_MS;
	return listing_ms - LISTING_MS;
}

uint64_t jt_reader_first_wait_ms(struct jt_reader *reader,
				 uint32_t cpu_permille, bool first_start,
				 bool is_seed)
{
	uint64_t wait_ms = jt_reader_start_wait_ms(cpu_permille);

	if (wait_ms < PEER_RESPONSE_MS)
		wait_ms = PEER_RESPONSE_MS;
	if (!first_start)
		return wait_ms;
	reader->watch_after_ms = WATCH_AFTER_FIRST_START_MS;
	if (is_seed)
		return wait_ms;
	return wait_ms + FIRST_START_SEEDS_MS +
	       jt_random_next(&reader->random) % FIRST_START_MS;
}

bool jt_reader_waits_for_listing(struct jt_reader *reader, size_t nodes,
				 uint64_t now_ms)
{
	uint64_t spread_ms = (uint64_t)nodes * RETRY_INTERVAL_MS;

	if (reader->list_after_ms == 0)
		reader->list_after_ms = now_ms + PEERS_LISTING_MS;
	if (now_ms >= reader->list_after_ms && !reader->listing_staggered) {
		reader->listing_staggered = true;
		reader->list_after_ms =
			now_ms +
			jt_random_next(&reader->random) % (spread_ms + 1);
	}
	return now_ms < reader->list_after_ms;
}

uint64_t jt_reader_as_of(const struct jt_reader *reader, uint64_t own_id,
			 uint64_t *from)
{
	if (reader->own_ms >= reader->peers_as_of_ms) {
		*from = own_id;
		return reader->own_ms;
	}
	*from = reader->peers_reader;
	return reader->peers_as_of_ms;
}

const char *jt_read_mode_name(enum jt_read_mode mode)
{
	static const char *const names[] = {
		[JT_READ_MODE_NONE] = "not",
		[JT_READ_MODE_CHECK] = "checks",
		[JT_READ_MODE_WATCH] = "watches",
	};

	return names[mode];
}
