#include "jt_prober.h"
#include "jt_net.h"
#include "jt_timer.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	/* A timer this late shows that this process was delayed: the lack of
	 * a response may be its own fault. */
	TIMER_LATE_MS = 100,
};

struct probe_state {
	struct tevent_req *req;
	int fd;
	struct tevent_fd *watch;
	struct jt_timer *timer;
	uint64_t deadline_ms;
	enum jt_probe_outcome outcome;
};

static void probe_close(struct probe_state *state)
{
	TALLOC_FREE(state->timer);
	TALLOC_FREE(state->watch);
	if (state->fd >= 0)
		close(state->fd);
	state->fd = -1;
}

static void probe_cleanup(struct tevent_req *req,
			  enum tevent_req_state req_state)
{
	(void)req_state;
	probe_close(tevent_req_data(req, struct probe_state));
}

static void probe_finish(struct probe_state *state,
			 enum jt_probe_outcome outcome)
{
	state->outcome = outcome;
	tevent_req_done(state->req);
}

/* Returns what an error of connect() shows about the endpoint. */
static enum jt_probe_outcome error_outcome(int error)
{
	switch (error) {
	case 0:
		return JT_PROBE_CONNECTED;
	case ECONNREFUSED:
	case ECONNRESET:
		return JT_PROBE_REFUSED;
	case ETIMEDOUT:
	case EHOSTUNREACH:
	case ENETUNREACH:
		return JT_PROBE_SILENT;
	default:
		return JT_PROBE_INCONCLUSIVE; /* an error of this node */
	}
}

static void probe_connect_finish(struct probe_state *state)
{
	socklen_t size = sizeof(int);
	int error = 0;

	if (getsockopt(state->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
		error = errno;
	probe_finish(state, error_outcome(error));
}

static void probe_writable(struct tevent_context *loop, struct tevent_fd *fd,
			   uint16_t flags, void *private_data)
{
	(void)loop;
	(void)fd;
	(void)flags;
	probe_connect_finish(private_data);
}

static void probe_timeout(void *private_data)
{
	struct probe_state *state = private_data;
	struct pollfd ready = {.fd = state->fd, .events = POLLOUT};

	if (poll(&ready, 1, 0) > 0)
		probe_connect_finish(state);
	else if (jt_clock_ms() > state->deadline_ms + TIMER_LATE_MS)
		probe_finish(state, JT_PROBE_INCONCLUSIVE);
	else
		probe_finish(state, JT_PROBE_SILENT);
}

struct tevent_req *jt_probe_send(TALLOC_CTX *mem_ctx,
				 struct tevent_context *loop,
				 struct jt_address address, uint32_t timeout_ms)
{
	struct probe_state *state;
	struct sockaddr_in name;
	struct tevent_req *req;

	req = tevent_req_create(mem_ctx, &state, struct probe_state);
	if (req == NULL)
		return NULL;
	state->req = req;
	state->deadline_ms = jt_clock_ms() + timeout_ms;
	state->outcome = JT_PROBE_INCONCLUSIVE;
	tevent_req_set_cleanup_fn(req, probe_cleanup);
	state->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (state->fd < 0)
		goto done;
	jt_address_to_socket(address, &name);
	if (connect(state->fd, (struct sockaddr *)&name, sizeof(name)) == 0) {
		state->outcome = JT_PROBE_CONNECTED;
		goto done;
	}
	if (errno != EINPROGRESS) {
		state->outcome = error_outcome(errno);
		goto done;
	}
	state->watch = tevent_add_fd(loop, state, state->fd, TEVENT_FD_WRITE,
				     probe_writable, state);
	state->timer = jt_timer_create(state, loop, probe_timeout, state);
	if (state->watch == NULL || state->timer == NULL)
		goto done;
	jt_timer_set(state->timer, timeout_ms);
	return req;
done:
	tevent_req_done(req);
	return tevent_req_post(req, loop);
}

enum jt_probe_outcome jt_probe_recv(struct tevent_req *req)
{
	struct probe_state *state = tevent_req_data(req, struct probe_state);
	enum jt_probe_outcome outcome = state->outcome;

	tevent_req_received(req);
	return outcome;
}
