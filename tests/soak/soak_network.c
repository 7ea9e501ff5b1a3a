/* The network between clients, routers, nodes and endpoints: loses some
 * packets and duplicates some with a delay. */
#include "soak.h"

#include <string.h>
#include <sys/socket.h>

enum {
	DELAY_MAX_MS = 80,
	PERCENT = 100,
	DELAYED_LIMIT = 512, /* duplicates in transit */
};

struct delayed {
	uint64_t due_ms; /* 0: unused */
	int fd;
	struct jt_address to;
	size_t length;
	uint8_t data[SOAK_HEADER_SIZE +
		     sizeof(((struct soak_packet *)0)->data)];
};

struct soak_network {
	struct delayed delayed[DELAYED_LIMIT];
};

struct soak_network *soak_network_create(struct soak *soak)
{
	return talloc_zero(soak, struct soak_network);
}

static void send_now(int fd, struct jt_address to, const uint8_t *data,
		     size_t length)
{
	struct sockaddr_in name;

	jt_address_to_socket(to, &name);
	(void)sendto(fd, data, length, MSG_DONTWAIT, (struct sockaddr *)&name,
		     sizeof(name));
}

static void send_delayed(struct soak *soak, uint64_t delay_ms,
			 const struct soak_datagram *datagram)
{
	for (int i = 0; i < DELAYED_LIMIT; i++) {
		struct delayed *delayed = &soak->network->delayed[i];

		if (delayed->due_ms != 0)
			continue;
		delayed->due_ms = jt_clock_ms() + delay_ms;
		delayed->fd = datagram->fd;
		delayed->to = datagram->to;
		delayed->length = datagram->length;
		memcpy(delayed->data, datagram->data, datagram->length);
		return;
	}
}

void soak_network_tick(struct soak *soak, uint64_t now_ms)
{
	for (int i = 0; i < DELAYED_LIMIT; i++) {
		struct delayed *delayed = &soak->network->delayed[i];

		if (delayed->due_ms == 0 || now_ms < delayed->due_ms)
			continue;
		delayed->due_ms = 0;
		send_now(delayed->fd, delayed->to, delayed->data,
			 delayed->length);
	}
}

static uint64_t draw_for(const struct soak *soak,
			 const struct soak_datagram *datagram,
			 enum soak_draw_kind of_packet,
			 enum soak_draw_kind of_response, uint64_t below)
{
	return soak_draw(soak, datagram->is_response ? of_response : of_packet,
			 datagram->flow_id, datagram->number, below);
}

void soak_network_send(struct soak *soak, const struct soak_datagram *datagram)
{
	if (draw_for(soak, datagram, SOAK_DRAW_PACKET_LOST,
		     SOAK_DRAW_RESPONSE_LOST, PERCENT) < soak->drop_percent) {
		soak->packets_dropped++;
		return;
	}
	if (draw_for(soak, datagram, SOAK_DRAW_PACKET_DUPLICATED,
		     SOAK_DRAW_RESPONSE_DUPLICATED,
		     PERCENT) < soak->duplicate_percent)
		send_delayed(
			soak,
			1 + draw_for(soak, datagram, SOAK_DRAW_PACKET_DELAY,
				     SOAK_DRAW_RESPONSE_DELAY, DELAY_MAX_MS),
			datagram);
	send_now(datagram->fd, datagram->to, datagram->data, datagram->length);
}
