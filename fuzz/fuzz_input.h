/* A fuzzer's bytes, taken one by one as choices. */
#ifndef FUZZ_INPUT_H
#define FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>

struct input {
	const uint8_t *data;
	size_t left;
};

/* The next choice among so many; the first one once there are no bytes. */
static inline size_t take(struct input *input, size_t below)
{
	if (input->left == 0)
		return 0;
	input->left--;
	return *input->data++ % below;
}

#endif
