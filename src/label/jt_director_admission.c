#include "jt_director_admission.h"

bool jt_director_admits(struct jt_director *director,
			const struct jt_label_packet *packet,
			const struct jt_route *route, uint64_t now_ms,
			struct jt_admission_state *admission)
{
	struct jt_admission_decision decision;

	/* In a SYN this field is the number of the retransmission. */
	if (packet->acknowledged != 0)
		return true;
	decision = jt_admission_request(director->admission, route, now_ms);
	*admission = decision.state;
	return decision.admitted;
}

static void limit_changed(const struct jt_admission_view *view,
			  void *private_data)
{
	struct jt_director_actions *actions = private_data;
	enum jt_director_action_kind kind = view->limit > 0
						    ? JT_DIRECTOR_SERVICE_FULL
						    : JT_DIRECTOR_SERVICE_FREE;
	struct jt_director_action *action =
		jt_director_action_add(actions, kind, 0);

	if (action == NULL)
		return;
	action->service_id = view->service_id;
	action->admission = (struct jt_admission_state){
		.limit = view->limit,
		.in_flight = view->in_flight,
		.delay_ms = view->delay_ms,
		.allowed_ms = view->allowed_ms,
	};
}

void jt_director_admission_tick(struct jt_director *director, uint64_t now_ms,
				struct jt_director_actions *actions)
{
	jt_admission_tick(director->admission, director->endpoints,
			  director->nodes, now_ms, limit_changed, actions);
}
