#include "jt_reader.h"

enum {
	/* The jitter is at most this part of the limit. */
	JITTER_PART = 4,
	/* A peer that knew no more so lately speaks for the others. */
	AS_OLD_MS = 1000,
	/* Where the store is away from all, one node tries in that time: 40
	 * tries a second see it back soon, and hardly load it. */
	TRY_SHARE_MS = 25,
	/* No node tries again sooner, on the average, than in half of it. */
	TRY_LEAST_MS = 1600,
	/* Knowledge is fresh again when it is younger than this part. */
	FRESH_PART = 2,
	/* A node that has begun to read does so for a while, and one whose
	 * watch fails watches on for as long. */
	HOLD_MS = 1000,
	/* What a list costs at the least, in thousandths of a core times
	 * milliseconds, and how long it may take before waiting pays. */
	LIST_COST = 10 * 1000,
	LIST_MS = 100,
	START_WAIT_MOST_MS = 1000,
	/* A node that knows some endpoints by peers places flows already: peers
	 * have that long to list the rest and tell it. */
	PEERS_LIST_MS = 1500,
	/* A live peer has answered by then. */
	PEER_ANSWER_MS = 15,
	/* Nobody sends packets yet when the whole system starts: seeds have
	 * that long to list, then the others do so one after the other. */
	FIRST_START_SEEDS_MS = 1000,
	FIRST_START_MS = 2000,
	/* A node knows enough of its peers to be the one that watches. Longer,
	 * and changes just after all were restarted would come late; where all
	 * start for the first time, there is time. */
	WATCH_AFTER_MS = 300,
	WATCH_AFTER_FIRST_START_MS = 2500,
};

/* A new jitter for each time that this node steps in. */
static void jitter_draw(struct jt_reader *reader)
{
	reader->jitter_ms = jt_random_next(&reader->random) %
			    (reader->limit_ms / JITTER_PART + 1);
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

void jt_reader_heard(struct jt_reader *reader, uint64_t as_of_ms, uint64_t from)
{
	if (as_of_ms <= reader->heard_ms)
		return;
	reader->heard_ms = as_of_ms;
	reader->heard_from = from;
}

void jt_reader_told(struct jt_reader *reader, uint64_t as_of_ms, uint64_t from,
		    uint64_t now_ms)
{
	if (as_of_ms <= reader->heard_ms)
		reader->as_old_ms = now_ms;
	jt_reader_heard(reader, as_of_ms, from);
}

/* Whether peers lately knew no more of the store than this node does. */
static bool peers_as_old(const struct jt_reader *reader, uint64_t now_ms)
{
	return reader->as_old_ms != 0 && now_ms - reader->as_old_ms < AS_OLD_MS;
}

void jt_reader_failed(struct jt_reader *reader, size_t nodes, uint64_t now_ms)
{
	uint64_t spread_ms = (uint64_t)nodes * TRY_SHARE_MS;

	/* Not long ago somebody could read it: this node goes on as it is for a
	 * while, whoever has the turn now. A store that drops its history ends
	 * all watches, and its cheap checks are seconds behind meanwhile: only
	 * another watch shows that. */
	if (now_ms - reader->heard_ms <= reader->limit_ms) {
		reader->hold_until_ms = now_ms + HOLD_MS;
		return;
	}
	if (!peers_as_old(reader, now_ms))
		return;
	if (spread_ms < TRY_LEAST_MS)
		spread_ms = TRY_LEAST_MS;
	reader->try_after_ms =
		now_ms + jt_random_next(&reader->random) % spread_ms;
}

static bool wanted(const struct jt_reader *reader, enum jt_reading_turn turn,
		   bool started, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - reader->heard_ms;

	if (turn != JT_TURN_NONE || !started)
		return true;
	if (now_ms < reader->try_after_ms && peers_as_old(reader, now_ms))
		return false;
	if (reader->reading == JT_READING_NOT)
		return age_ms > reader->limit_ms + reader->jitter_ms;
	return age_ms > reader->limit_ms / FRESH_PART ||
	       now_ms - reader->began_ms < HOLD_MS;
}

enum jt_reading jt_reader_decide(struct jt_reader *reader,
				 enum jt_reading_turn turn, bool started,
				 uint64_t now_ms)
{
	if (reader->reading == JT_READING_WATCHES &&
	    now_ms < reader->hold_until_ms)
		return reader->reading;
	if (!wanted(reader, turn, started, now_ms)) {
		reader->reading = JT_READING_NOT;
		return reader->reading;
	}
	if (reader->reading == JT_READING_NOT) {
		reader->began_ms = now_ms;
		jitter_draw(reader);
	}
	reader->reading = JT_READING_CHECKS;
	if (turn == JT_TURN_OF_ALL &&
	    now_ms - reader->began_ms >= reader->watch_after_ms)
		reader->reading = JT_READING_WATCHES;
	return reader->reading;
}

uint64_t jt_reader_start_wait_ms(uint32_t weight)
{
	uint64_t list_ms = LIST_COST / (weight ? weight : 1);

	if (list_ms <= LIST_MS)
		return 0;
	if (list_ms - LIST_MS > START_WAIT_MOST_MS)
		return START_WAIT_MOST_MS;
	return list_ms - LIST_MS;
}

uint64_t jt_reader_first_wait_ms(struct jt_reader *reader, uint32_t weight,
				 bool first_start, bool is_seed)
{
	uint64_t wait_ms = jt_reader_start_wait_ms(weight);

	if (wait_ms < PEER_ANSWER_MS)
		wait_ms = PEER_ANSWER_MS;
	if (!first_start)
		return wait_ms;
	reader->watch_after_ms = WATCH_AFTER_FIRST_START_MS;
	if (is_seed)
		return wait_ms;
	return wait_ms + FIRST_START_SEEDS_MS +
	       jt_random_next(&reader->random) % FIRST_START_MS;
}

bool jt_reader_list_waits(struct jt_reader *reader, size_t nodes,
			  uint64_t now_ms)
{
	uint64_t spread_ms = (uint64_t)nodes * TRY_SHARE_MS;

	if (reader->list_after_ms == 0)
		reader->list_after_ms = now_ms + PEERS_LIST_MS;
	if (now_ms >= reader->list_after_ms && !reader->list_spread) {
		reader->list_spread = true;
		reader->list_after_ms =
			now_ms +
			jt_random_next(&reader->random) % (spread_ms + 1);
	}
	return now_ms < reader->list_after_ms;
}

uint64_t jt_reader_as_of(const struct jt_reader *reader, uint64_t own_id,
			 uint64_t *from)
{
	if (reader->own_ms >= reader->heard_ms) {
		*from = own_id;
		return reader->own_ms;
	}
	*from = reader->heard_from;
	return reader->heard_ms;
}

const char *jt_reading_name(enum jt_reading reading)
{
	static const char *const names[] = {
		[JT_READING_NOT] = "not",
		[JT_READING_CHECKS] = "checks",
		[JT_READING_WATCHES] = "watches",
	};

	return names[reading];
}
