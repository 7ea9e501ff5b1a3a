/*
 * Applies the traffic shares of outlier detection (jt_outlier.h) to the choice
 * of an endpoint.
 */
#ifndef JT_CHOOSE_SHARE_H
#define JT_CHOOSE_SHARE_H

#include "jt_choose.h"
#include "jt_outlier.h"

/* Returns the incarnation's traffic share in thousandths. */
uint32_t jt_choose_share_permille(const struct jt_chooser *chooser,
				  const struct jt_incarnation *in,
				  uint64_t now_ms);
/* Returns true if the incarnation's traffic share is below the full share. */
bool jt_choose_is_reduced(const struct jt_chooser *chooser,
			  const struct jt_incarnation *in, uint64_t now_ms);
/* Draws one of @count candidates at random. Returns it if its share is reduced
 * and it is selected with a probability equal to that share, NULL otherwise. */
struct jt_incarnation *
jt_choose_draw_tried(struct jt_chooser *chooser,
		     struct jt_incarnation *const *candidates, size_t count,
		     uint64_t now_ms);

#endif
