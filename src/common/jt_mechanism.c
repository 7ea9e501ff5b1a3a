#include "jt_mechanism.h"

#include <stddef.h>
#include <string.h>

/* Names of the features as in the setting `without`, in the order of their
 * bits. */
static const char *const feature_names[] = {
	"zone-first",
	"peer-work",
	"slowness",
	"cold",
	"newcomer-share",
	"doubt-opening",
	"doubt-resent",
	"peer-suspicion",
	"refuse-full",
	"parts-give-way",
	"outage-lapses",
	"news",
	"near-digests",
	"one-watcher",
	"few-readers",
	"first-start",
	"peers-first",
	"leave-in-turn",
	"early-end",
	"outliers",
	"hold-unknown",
	"spread-learning",
	"partly-known",
	"admission",
	"short-answers",
	"fast-first",
	"zone-room",
	"flow-lookup",
	NULL,
};

uint32_t jt_mechanism_find(const char *name)
{
	for (unsigned bit = 0; feature_names[bit] != NULL; bit++) {
		if (strcmp(feature_names[bit], name) == 0)
			return 1u << bit;
	}
	return 0;
}

const char *const *jt_mechanism_names(void)
{
	return feature_names;
}
