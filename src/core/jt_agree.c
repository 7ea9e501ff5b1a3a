/*
 * Agreement on the cell state of the next epoch: single-decree Paxos
 * (Lamport, "Paxos made simple", 2001) among the members of the current
 * epoch. Any member may propose; normally only the coordinator does.
 */
#include "jt_core_private.h"

#include <string.h>
#include <xxhash.h>

static int ballot_compare(struct jt_ballot a, struct jt_ballot b)
{
	if (a.round != b.round)
		return a.round < b.round ? -1 : 1;
	return (a.node > b.node) - (a.node < b.node);
}

static struct jt_ballot ballot_from_wire(const jt_wire_ballot *wire)
{
	return (struct jt_ballot){wire->round, wire->node};
}

static jt_wire_ballot ballot_to_wire(struct jt_ballot ballot)
{
	return (jt_wire_ballot){ballot.round, ballot.node};
}

uint64_t jt_accepted_epoch(const struct jt_core *core)
{
	if (core->accepted_state != NULL)
		return core->accepted_state->epoch;
	return core->current ? core->current->epoch : 0;
}

jt_wire_proposal *jt_proposal_copy(TALLOC_CTX *mem_ctx,
				   const jt_wire_proposal *from)
{
	jt_wire_proposal *copy = talloc_memdup(mem_ctx, from, sizeof(*from));

	if (copy == NULL)
		return NULL;
	copy->members.members_val = talloc_memdup(
		copy, from->members.members_val,
		sizeof(jt_wire_member) * from->members.members_len);
	copy->endpoints.endpoints_val = talloc_memdup(
		copy, from->endpoints.endpoints_val,
		sizeof(jt_wire_endpoint) * from->endpoints.endpoints_len);
	copy->clean_buckets.clean_buckets_val = talloc_memdup(
		copy, from->clean_buckets.clean_buckets_val,
		sizeof(jt_wire_bucket) * from->clean_buckets.clean_buckets_len);
	if (copy->members.members_val == NULL ||
	    copy->endpoints.endpoints_val == NULL ||
	    copy->clean_buckets.clean_buckets_val == NULL) {
		talloc_free(copy);
		return NULL;
	}
	return copy;
}

static size_t majority_of(const struct jt_core *core)
{
	if (core->options.injected_faults & JT_FAULT_SINGLE_VOTE)
		return 1;
	return core->current->member_count / 2 + 1;
}

/* Returns true if the store votes as a witness: with an even member count. */
static bool witness_votes(const struct jt_core *core)
{
	return core->current->member_count % 2 == 0;
}

static size_t answered_count(const struct jt_core *core)
{
	size_t count = witness_votes(core) && core->proposer.witness_answered;

	for (size_t i = 0; i < core->current->member_count; i++)
		count += core->proposer.answered[i] != 0;
	return count;
}

static void proposer_stop(struct jt_core *core)
{
	talloc_free(core->proposer.proposal);
	talloc_free(core->proposer.answered);
	memset(&core->proposer, 0, sizeof(core->proposer));
}

void jt_agree_reset(struct jt_core *core)
{
	proposer_stop(core);
	talloc_free(core->accepted);
	core->accepted = NULL;
	core->accepted_ballot = (struct jt_ballot){0, 0};
	core->promised = (struct jt_ballot){0, 0};
}

/* Acceptor */

static void acceptor_promise(struct jt_core *core,
			     const jt_wire_prepare *prepare,
			     TALLOC_CTX *mem_ctx, jt_wire_promise *promise)
{
	struct jt_ballot ballot = ballot_from_wire(&prepare->ballot);

	if (ballot_compare(ballot, core->promised) > 0)
		core->promised = ballot;
	promise->ballot = ballot_to_wire(core->promised);
	promise->epoch = prepare->epoch;
	promise->accepted_ballot = ballot_to_wire(core->accepted_ballot);
	if (core->accepted != NULL)
		promise->accepted = jt_proposal_copy(mem_ctx, core->accepted);
}

static bool config_available(struct jt_core *core, uint64_t from,
			     uint64_t revision, struct jt_actions *actions)
{
	const struct jt_core_peer *peer = jt_peer_find(core, from);

	if (jt_core_config(core, revision) != NULL)
		return true;
	if (peer != NULL)
		jt_core_request_config(core, actions, peer->member.address,
				       revision);
	return false;
}

/*
 * Returns true if the proposal removes this node although it isn't leaving.
 * This node then rejects it, because the proposer may be partitioned; a
 * majority can still accept it.
 */
static bool removes_self(const struct jt_core *core, uint64_t from,
			 const jt_wire_proposal *proposal)
{
	if (core->leaving || from == core->options.node_id ||
	    jt_core_own_index(core, core->current) == JT_NO_MEMBER)
		return false;
	for (u_int i = 0; i < proposal->members.members_len; i++) {
		if (proposal->members.members_val[i].id ==
		    core->options.node_id)
			return false;
	}
	return true;
}

static bool acceptor_accept(struct jt_core *core, uint64_t from,
			    const jt_wire_accept *accept,
			    struct jt_actions *actions)
{
	struct jt_ballot ballot = ballot_from_wire(&accept->ballot);
	const jt_wire_proposal *proposal = &accept->proposal;
	struct jt_cell_state *state;

	if (ballot_compare(ballot, core->promised) < 0)
		return false;
	if (core->accepted != NULL &&
	    ballot_compare(ballot, core->accepted_ballot) == 0)
		return true;
	if (removes_self(core, from, proposal))
		return false;
	if (!config_available(core, from, proposal->config_revision, actions))
		return false;
	state = jt_cell_apply(core, core->current->cell, core->current,
			      proposal,
			      jt_core_config(core, proposal->config_revision),
			      core->options.injected_faults);
	if (state == NULL)
		return false;
	talloc_free(core->accepted);
	core->accepted = jt_proposal_copy(core, proposal);
	core->accepted_ballot = ballot;
	core->promised = ballot;
	core->accepted_ms = core->now_ms;
	jt_activate_set_accepted(core, state);
	jt_core_publish(actions);
	return true;
}

/* Proposer */

static void proposer_send(struct jt_core *core, size_t member,
			  struct jt_actions *actions)
{
	const struct jt_member *to = &core->current->members[member];
	jt_wire_proposal *copy;
	jt_wire_body *body;

	if (core->proposer.phase == JT_PHASE_PREPARE) {
		body = jt_core_send(core, actions, to, JT_WIRE_PREPARE);
		body->jt_wire_body_u.prepare.ballot =
			ballot_to_wire(core->proposer.ballot);
		body->jt_wire_body_u.prepare.epoch = core->current->epoch + 1;
		return;
	}
	body = jt_core_send(core, actions, to, JT_WIRE_ACCEPT);
	body->jt_wire_body_u.accept.ballot =
		ballot_to_wire(core->proposer.ballot);
	/* The message may be sent after the proposer has freed its copy. */
	copy = jt_proposal_copy(actions->messages, core->proposer.proposal);
	if (copy == NULL)
		actions->count--;
	else
		body->jt_wire_body_u.accept.proposal = *copy;
}

static void proposer_send_all(struct jt_core *core, struct jt_actions *actions)
{
	core->proposer.sent_ms = core->now_ms;
	for (size_t i = 0; i < core->current->member_count; i++) {
		if (core->proposer.answered[i] ||
		    core->current->members[i].id == core->options.node_id)
			continue;
		proposer_send(core, i, actions);
	}
}

static void proposer_commit(struct jt_core *core, struct jt_actions *actions)
{
	const jt_wire_proposal *proposal = core->proposer.proposal;
	jt_wire_ballot ballot = ballot_to_wire(core->proposer.ballot);
	uint64_t epoch = proposal->epoch;
	struct jt_cell_state *state;

	/* This node may have accepted a higher ballot since. */
	if (ballot_compare(core->proposer.ballot, core->accepted_ballot) != 0)
		return;
	state = core->accepted_state;
	if (state == NULL)
		return;
	for (size_t i = 0; i < core->current->member_count; i++) {
		const struct jt_member *to = &core->current->members[i];
		jt_wire_body *body;

		if (to->id == core->options.node_id)
			continue;
		body = jt_core_send(core, actions, to, JT_WIRE_COMMIT);
		body->jt_wire_body_u.commit.epoch = epoch;
		body->jt_wire_body_u.commit.ballot = ballot;
	}
	core->accepted_state = NULL;
	jt_activate_commit(core, state, actions);
}

static void proposer_advance(struct jt_core *core, struct jt_actions *actions)
{
	struct jt_proposer *proposer = &core->proposer;
	jt_wire_accept accept;

	if (answered_count(core) < majority_of(core))
		return;
	if (proposer->phase == JT_PHASE_ACCEPT) {
		proposer_commit(core, actions);
		return;
	}
	memset(proposer->answered, 0, core->current->member_count);
	proposer->witness_answered = false;
	proposer->witness_requested_ms = 0;
	proposer->phase = JT_PHASE_ACCEPT;
	accept.ballot = ballot_to_wire(proposer->ballot);
	accept.proposal = *proposer->proposal;
	if (!acceptor_accept(core, core->options.node_id, &accept, actions)) {
		proposer_stop(core);
		return;
	}
	proposer->answered[jt_core_own_index(core, core->current)] = 1;
	proposer_send_all(core, actions);
	if (answered_count(core) >= majority_of(core))
		proposer_commit(core, actions);
}

/* Adopts the accepted proposal with the highest ballot, as Paxos requires. */
static void proposer_adopt(struct jt_core *core, const jt_wire_promise *promise)
{
	struct jt_ballot ballot = ballot_from_wire(&promise->accepted_ballot);

	if (promise->accepted == NULL ||
	    ballot_compare(ballot, core->proposer.adopted) <= 0)
		return;
	talloc_free(core->proposer.proposal);
	core->proposer.proposal = jt_proposal_copy(core, promise->accepted);
	core->proposer.adopted = ballot;
}

static void proposer_promise(struct jt_core *core, uint64_t from,
			     const jt_wire_promise *promise,
			     struct jt_actions *actions)
{
	struct jt_ballot ballot = ballot_from_wire(&promise->ballot);
	uint16_t member = jt_cell_member(core->current, from);

	if (ballot.round > core->highest_round)
		core->highest_round = ballot.round;
	if (core->proposer.phase != JT_PHASE_PREPARE ||
	    member == JT_NO_MEMBER ||
	    promise->epoch != core->current->epoch + 1 ||
	    ballot_compare(ballot, core->proposer.ballot) != 0)
		return;
	proposer_adopt(core, promise);
	if (core->proposer.proposal == NULL) {
		proposer_stop(core);
		return;
	}
	core->proposer.answered[member] = 1;
	proposer_advance(core, actions);
}

static void proposer_accepted(struct jt_core *core, uint64_t from,
			      const jt_wire_accepted *accepted,
			      struct jt_actions *actions)
{
	uint16_t member = jt_cell_member(core->current, from);

	if (core->proposer.phase != JT_PHASE_ACCEPT || member == JT_NO_MEMBER ||
	    accepted->epoch != core->current->epoch + 1 ||
	    ballot_compare(ballot_from_wire(&accepted->ballot),
			   core->proposer.ballot) != 0)
		return;
	core->proposer.answered[member] = 1;
	proposer_advance(core, actions);
}

/* Compares the request's epoch and ballot with the promised ones of @record:
 * positive if newer, 0 if equal, negative if older. */
static int record_compare(const struct jt_witness_record *record,
			  const struct jt_witness_request *request)
{
	struct jt_ballot promised = {record->promised_round,
				     record->promised_node};
	struct jt_ballot requested = {request->round, request->node};

	if (record->epoch != request->epoch)
		return record->epoch < request->epoch ? 1 : -1;
	return ballot_compare(requested, promised);
}

bool jt_witness_apply(struct jt_witness_record *record,
		      const struct jt_witness_request *request)
{
	if (record_compare(record, request) < 0)
		return false;
	if (record->epoch != request->epoch)
		*record = (struct jt_witness_record){.epoch = request->epoch};
	record->promised_round = request->round;
	record->promised_node = request->node;
	if (!request->accept)
		return true;
	record->accepted_round = request->round;
	record->accepted_node = request->node;
	record->accepted = (jt_wire_proposal *)request->proposal;
	return true;
}

/* Requests the store's vote if exactly half of the members have answered
 * within a time limit. */
static void witness_request_vote(struct jt_core *core,
				 struct jt_actions *actions)
{
	struct jt_proposer *proposer = &core->proposer;
	struct jt_witness_request *request;

	if (!witness_votes(core) || proposer->witness_answered ||
	    answered_count(core) * 2 != core->current->member_count ||
	    core->now_ms < proposer->started_ms + JT_WITNESS_DELAY_MS ||
	    core->now_ms <
		    proposer->witness_requested_ms + JT_WITNESS_INTERVAL_MS)
		return;
	proposer->witness_requested_ms = core->now_ms;
	request = &jt_core_add_action(actions, JT_ACTION_WITNESS)->witness;
	request->accept = proposer->phase == JT_PHASE_ACCEPT;
	request->epoch = core->current->epoch + 1;
	request->round = proposer->ballot.round;
	request->node = proposer->ballot.node;
	request->proposal =
		jt_proposal_copy(actions->messages, proposer->proposal);
}

void jt_agree_witness(struct jt_core *core,
		      const struct jt_witness_reply *reply,
		      struct jt_actions *actions)
{
	const struct jt_witness_record *record = &reply->record;
	struct jt_proposer *proposer = &core->proposer;
	bool accept_phase = proposer->phase == JT_PHASE_ACCEPT;
	jt_wire_promise promise = {
		.accepted_ballot = {record->accepted_round,
				    record->accepted_node},
		.accepted = record->accepted,
	};

	if (record->promised_round > core->highest_round &&
	    core->current != NULL && record->epoch == core->current->epoch + 1)
		core->highest_round = record->promised_round;
	if (core->current == NULL || proposer->phase == JT_PHASE_IDLE ||
	    !reply->granted || reply->request.accept != accept_phase ||
	    reply->request.epoch != core->current->epoch + 1 ||
	    reply->request.round != proposer->ballot.round ||
	    reply->request.node != proposer->ballot.node)
		return;
	if (!accept_phase)
		proposer_adopt(core, &promise);
	if (proposer->proposal == NULL) {
		proposer_stop(core);
		return;
	}
	proposer->witness_answered = true;
	proposer_advance(core, actions);
}

void jt_agree_propose(struct jt_core *core, jt_wire_proposal *proposal,
		      struct jt_actions *actions)
{
	struct jt_proposer *proposer = &core->proposer;
	jt_wire_prepare prepare;
	jt_wire_promise promise = {0};
	TALLOC_CTX *frame = talloc_new(core);

	proposer_stop(core);
	proposer->answered =
		talloc_zero_array(core, uint8_t, core->current->member_count);
	proposer->proposal = talloc_steal(core, proposal);
	proposer->ballot.round = ++core->highest_round;
	proposer->ballot.node = core->options.node_id;
	proposer->phase = JT_PHASE_PREPARE;
	proposer->started_ms = core->now_ms;
	core->counters.proposals++;
	prepare.ballot = ballot_to_wire(proposer->ballot);
	prepare.epoch = core->current->epoch + 1;
	acceptor_promise(core, &prepare, frame, &promise);
	proposer_send_all(core, actions);
	proposer_promise(core, core->options.node_id, &promise, actions);
	talloc_free(frame);
}

/* Messages */

/* Returns the backoff before this node proposes again, in ms. Its jitter keeps
 * proposers from preempting each other forever. */
static uint64_t proposer_backoff_ms(const struct jt_core *core)
{
	uint64_t input[2] = {core->options.node_id, core->highest_round};

	return JT_PROPOSER_BACKOFF_MS +
	       XXH64(input, sizeof(input), 0) % JT_PROPOSER_BACKOFF_MS;
}

static void agree_prepare(struct jt_core *core, const struct jt_member *to,
			  const jt_wire_prepare *prepare,
			  struct jt_actions *actions)
{
	jt_wire_body *body;

	if (prepare->epoch != core->current->epoch + 1)
		return;
	if (prepare->ballot.round > core->highest_round)
		core->highest_round = prepare->ballot.round;
	core->propose_after_ms = core->now_ms + proposer_backoff_ms(core);
	body = jt_core_send(core, actions, to, JT_WIRE_PROMISE);
	acceptor_promise(core, prepare, actions->messages,
			 &body->jt_wire_body_u.promise);
}

static void agree_accept(struct jt_core *core, uint64_t from,
			 const struct jt_member *to,
			 const jt_wire_accept *accept,
			 struct jt_actions *actions)
{
	jt_wire_body *body;

	if (accept->proposal.epoch != core->current->epoch + 1)
		return;
	if (accept->ballot.round > core->highest_round)
		core->highest_round = accept->ballot.round;
	if (!acceptor_accept(core, from, accept, actions))
		return;
	body = jt_core_send(core, actions, to, JT_WIRE_ACCEPTED);
	body->jt_wire_body_u.accepted.ballot = accept->ballot;
	body->jt_wire_body_u.accepted.epoch = accept->proposal.epoch;
	core->heartbeat_due_ms = 0;
}

static void agree_commit(struct jt_core *core, const jt_wire_commit *commit,
			 struct jt_actions *actions)
{
	struct jt_cell_state *state = core->accepted_state;

	if (state == NULL || commit->epoch != state->epoch ||
	    ballot_compare(ballot_from_wire(&commit->ballot),
			   core->accepted_ballot) != 0)
		return; /* heartbeats will report the epoch */
	core->accepted_state = NULL;
	jt_activate_commit(core, state, actions);
}

static void agree_state_request(struct jt_core *core,
				const struct jt_member *to,
				const jt_wire_state_request *request,
				struct jt_actions *actions)
{
	jt_wire_body *body;

	if (request->epoch >= core->current->epoch)
		return;
	body = jt_core_send(core, actions, to, JT_WIRE_STATE);
	if (jt_cell_to_wire(actions->messages, core->current,
			    &body->jt_wire_body_u.state) != 0)
		actions->count--;
}

static void agree_state(struct jt_core *core, uint64_t from,
			const jt_wire_state *wire, struct jt_actions *actions)
{
	struct jt_cell_state *state;

	if (core->current != NULL && (wire->cell != core->current->cell ||
				      wire->epoch <= core->current->epoch))
		return;
	if (wire->members.members_len == 0 ||
	    wire->members.members_len > JT_MAX_MEMBERS)
		return;
	if (jt_core_config(core, wire->config_revision) == NULL) {
		struct jt_address to = {
			wire->members.members_val[0].address,
			(uint16_t)wire->members.members_val[0].port,
		};

		for (u_int i = 0; i < wire->members.members_len; i++) {
			if (wire->members.members_val[i].id != from)
				continue;
			to.ip = wire->members.members_val[i].address;
			to.port = (uint16_t)wire->members.members_val[i].port;
		}
		jt_core_request_config(core, actions, to,
				       wire->config_revision);
		return;
	}
	state = jt_cell_from_wire(core, wire,
				  jt_core_config(core, wire->config_revision));
	if (state == NULL)
		return;
	talloc_free(core->accepted_state);
	core->accepted_state = NULL;
	core->transfer_target = 0;
	jt_activate_commit(core, state, actions);
}

void jt_agree_message(struct jt_core *core, uint64_t from,
		      const jt_wire_body *body, struct jt_actions *actions)
{
	const struct jt_core_peer *peer = jt_peer_find(core, from);
	const struct jt_member *to;

	if (body->kind == JT_WIRE_STATE) {
		agree_state(core, from, &body->jt_wire_body_u.state, actions);
		return;
	}
	if (core->current == NULL || peer == NULL)
		return;
	to = &peer->member;
	switch (body->kind) {
	case JT_WIRE_PREPARE:
		agree_prepare(core, to, &body->jt_wire_body_u.prepare, actions);
		break;
	case JT_WIRE_PROMISE:
		proposer_promise(core, from, &body->jt_wire_body_u.promise,
				 actions);
		break;
	case JT_WIRE_ACCEPT:
		agree_accept(core, from, to, &body->jt_wire_body_u.accept,
			     actions);
		break;
	case JT_WIRE_ACCEPTED:
		proposer_accepted(core, from, &body->jt_wire_body_u.accepted,
				  actions);
		break;
	case JT_WIRE_COMMIT:
		agree_commit(core, &body->jt_wire_body_u.commit, actions);
		break;
	case JT_WIRE_STATE_REQUEST:
		agree_state_request(
			core, to, &body->jt_wire_body_u.state_request, actions);
		break;
	default:
		break;
	}
}

void jt_agree_tick(struct jt_core *core, struct jt_actions *actions)
{
	struct jt_proposer *proposer = &core->proposer;

	if (core->current == NULL || proposer->phase == JT_PHASE_IDLE)
		return;
	if (core->now_ms >= proposer->started_ms + JT_BALLOT_TIMEOUT_MS) {
		proposer_stop(core);
		core->propose_after_ms =
			core->now_ms + proposer_backoff_ms(core);
		return;
	}
	if (core->now_ms >= proposer->sent_ms + JT_RETRANSMIT_MS)
		proposer_send_all(core, actions);
	witness_request_vote(core, actions);
}
