/*
 * How far the failures of endpoints decide a choice: each gets the share of new
 * flows that jt_outlier.h finds it worth.
 */
#ifndef JT_CHOOSE_SHARE_H
#define JT_CHOOSE_SHARE_H

#include "jt_choose.h"
#include "jt_outlier.h"

/* What the incarnation is worth of an ordinary share of new flows. */
uint32_t jt_choose_share_permille(const struct jt_chooser *chooser,
				  const struct jt_incarnation *in,
				  uint64_t now_ms);
/* Whether that is less than an ordinary share. */
bool jt_choose_is_reduced(const struct jt_chooser *chooser,
			  const struct jt_incarnation *in, uint64_t now_ms);
/* One of the @count at @near whose share is reduced and which is tried now, in
 * proportion to its share; NULL: none is. */
struct jt_incarnation *jt_choose_draw_tried(struct jt_chooser *chooser,
					    struct jt_incarnation *const *near,
					    size_t count, uint64_t now_ms);

#endif
