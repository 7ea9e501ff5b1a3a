/* cmocka and the headers that must be included before it. */
#ifndef TEST_H
#define TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

/* Returns @count times @text, a talloc child of @mem_ctx. */
static inline char *test_repeat(TALLOC_CTX *mem_ctx, const char *text,
				size_t count)
{
	size_t period = strlen(text);
	char *all = talloc_zero_size(mem_ctx, period * count + 1);

	assert_non_null(all);
	for (size_t i = 0; i < period * count; i++)
		all[i] = text[i % period];
	return all;
}

#endif
