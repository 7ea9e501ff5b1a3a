/*
 * Single-threaded TCP over UDP datagrams that carry IP packets, based on the
 * raw API of lwIP.
 *
 * Debian's lwIP is built with thread support; lwip_init() and
 * sys_check_timeouts() drive it here without its own thread.
 */
#ifndef STACK_H
#define STACK_H

#include "jaspertrack/types-t.h"

#include <lwip/pbuf.h>
#include <lwip/tcp.h>
#include <talloc.h>
#include <tevent.h>

struct stack;

/* Creates a stack, owned by @mem_ctx, that receives packets on @listen and
 * sends them to @peer. Returns NULL on failure. */
struct stack *stack_create(TALLOC_CTX *mem_ctx, struct tevent_context *loop,
			   struct jt_address listen, struct jt_address peer);
/* Adds the inner address @ip (host order). Returns 0, -1 on failure. */
int stack_add_address(struct stack *stack, uint32_t ip);
/* While frozen, the stack drops all received and sent packets. */
void stack_set_frozen(struct stack *stack, bool frozen);

#endif
