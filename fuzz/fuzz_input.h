/* Reads the bytes of a fuzzer as a sequence of choices. */
#ifndef FUZZ_INPUT_H
#define FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>

struct input {
	const uint8_t *data;
	size_t remaining;
};

/* Returns the next choice, in [0, @count); 0 once the bytes are used up. */
static inline size_t input_choose(struct input *input, size_t count)
{
	if (input->remaining == 0)
		return 0;
	input->remaining--;
	return *input->data++ % count;
}

#endif
