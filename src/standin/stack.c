#include "stack.h"
#include "jt_net.h"
#include "jt_packet.h"

#include <lwip/init.h>
#include <lwip/netif.h>
#include <lwip/timeouts.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { TICK_MS = 10, PACKET_BATCH = 64, INNER_MTU = 1500 };

struct stack {
	struct tevent_context *loop;
	int fd;
	struct sockaddr_in peer;
	struct netif *default_netif;
	bool frozen;
};

static err_t send_packet(struct netif *netif, struct pbuf *p,
			 const ip4_addr_t *next_hop)
{
	struct stack *stack = netif->state;
	uint8_t packet[JT_PACKET_MAX];
	uint16_t length = pbuf_copy_partial(p, packet, sizeof(packet), 0);

	(void)next_hop;
	if (!stack->frozen)
		(void)sendto(stack->fd, packet, length, MSG_DONTWAIT,
			     (struct sockaddr *)&stack->peer,
			     sizeof(stack->peer));
	return ERR_OK;
}

static err_t configure_netif(struct netif *netif)
{
	netif->name[0] = 'g';
	netif->name[1] = 'u';
	netif->mtu = INNER_MTU;
	netif->output = send_packet;
	return ERR_OK;
}

static void on_packet(struct tevent_context *loop, struct tevent_fd *fd,
		      uint16_t flags, void *private_data)
{
	struct stack *stack = private_data;
	uint8_t packet[JT_PACKET_MAX];

	(void)loop;
	(void)fd;
	(void)flags;
	for (int i = 0; i < PACKET_BATCH; i++) {
		ssize_t length =
			recv(stack->fd, packet, sizeof(packet), MSG_DONTWAIT);
		struct pbuf *p;

		if (length < 0)
			return;
		if (stack->frozen || stack->default_netif == NULL)
			continue;
		p = pbuf_alloc(PBUF_RAW, (uint16_t)length, PBUF_RAM);
		if (p == NULL)
			continue;
		pbuf_take(p, packet, (uint16_t)length);
		if (stack->default_netif->input(p, stack->default_netif) !=
		    ERR_OK)
			pbuf_free(p);
	}
}

static void on_tick(struct tevent_context *loop, struct tevent_timer *timer,
		    struct timeval now, void *private_data)
{
	(void)timer;
	(void)now;
	sys_check_timeouts();
	tevent_add_timer(loop, private_data,
			 tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick,
			 private_data);
}

static int stack_destructor(struct stack *stack)
{
	close(stack->fd);
	return 0;
}

struct stack *stack_create(TALLOC_CTX *mem_ctx, struct tevent_context *loop,
			   struct jt_address listen, struct jt_address peer)
{
	struct stack *stack = talloc_zero(mem_ctx, struct stack);

	if (stack == NULL)
		return NULL;
	lwip_init();
	stack->loop = loop;
	stack->fd = jt_udp_open(listen, false);
	if (stack->fd < 0) {
		talloc_free(stack);
		return NULL;
	}
	talloc_set_destructor(stack, stack_destructor);
	jt_address_to_socket(peer, &stack->peer);
	tevent_add_fd(loop, stack, stack->fd, TEVENT_FD_READ, on_packet, stack);
	tevent_add_timer(loop, stack, tevent_timeval_current(), on_tick, stack);
	return stack;
}

int stack_add_address(struct stack *stack, uint32_t ip)
{
	struct netif *netif = talloc_zero(stack, struct netif);
	ip4_addr_t address, mask, gateway;

	if (netif == NULL)
		return -1;
	address.addr = lwip_htonl(ip);
	mask.addr = lwip_htonl(0xff000000);
	gateway.addr = 0;
	if (netif_add(netif, &address, &mask, &gateway, stack, configure_netif,
		      ip_input) == NULL)
		return -1;
	netif_set_up(netif);
	netif_set_link_up(netif);
	if (stack->default_netif == NULL) {
		stack->default_netif = netif;
		netif_set_default(netif);
	}
	return 0;
}

void stack_set_frozen(struct stack *stack, bool frozen)
{
	stack->frozen = frozen;
}
