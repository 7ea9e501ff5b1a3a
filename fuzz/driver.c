/*
 * Runs a fuzz target without libFuzzer, over files and over inputs generated
 * from fixed seeds, so that every run gives the same result.
 *
 * Usage: TARGET [--verbose] [--break FLAGS] [--seeds FIRST COUNT LENGTH]
 * [FILE...]
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <stdint.h>
#include <unistd.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Overridden by the targets that support them. */
__attribute__((weak)) unsigned fuzz_disabled_features;
__attribute__((weak)) int fuzz_verbose;

enum { INPUT_LIMIT = 1 << 16 };

static unsigned long current_seed;
static const char *current_file;

static void on_abort(int signum)
{
	char line[160];
	int length = snprintf(line, sizeof(line), "failed input: %s%lu\n",
			      current_file ? current_file : "seed ",
			      current_file ? 0 : current_seed);

	(void)signum;
	(void)!write(STDERR_FILENO, line, (size_t)length);
	_exit(1);
}

static int run_file(const char *name)
{
	static uint8_t data[INPUT_LIMIT];
	FILE *file = fopen(name, "rb");
	size_t size;

	if (file == NULL) {
		perror(name);
		return -1;
	}
	size = fread(data, 1, sizeof(data), file);
	fclose(file);
	current_file = name;
	LLVMFuzzerTestOneInput(data, size);
	current_file = NULL;
	return 0;
}

/* Generates the input with xorshift64* (Vigna, 2016), which gives the same
 * bytes on every machine. */
static void run_seed(unsigned long seed, size_t length)
{
	static uint8_t data[INPUT_LIMIT];
	uint64_t state = seed * 0x9e3779b97f4a7c15ull + 1;

	for (size_t i = 0; i < length; i++) {
		state ^= state >> 12;
		state ^= state << 25;
		state ^= state >> 27;
		data[i] = (uint8_t)((state * 0x2545f4914f6cdd1dull) >> 56);
	}
	current_seed = seed;
	LLVMFuzzerTestOneInput(data, length);
}

int main(int argc, char **argv)
{
	unsigned long runs = 0;

	signal(SIGABRT, on_abort);
	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--verbose") == 0) {
			fuzz_verbose = 1;
		} else if (strcmp(argv[i], "--break") == 0 && i + 1 < argc) {
			fuzz_disabled_features =
				(unsigned)strtoul(argv[++i], NULL, 0);
		} else if (strcmp(argv[i], "--seeds") == 0 && i + 3 < argc) {
			unsigned long first = strtoul(argv[++i], NULL, 10);
			unsigned long count = strtoul(argv[++i], NULL, 10);
			size_t length = strtoul(argv[++i], NULL, 10);

			if (length > INPUT_LIMIT)
				length = INPUT_LIMIT;
			for (unsigned long s = 0; s < count; s++, runs++)
				run_seed(first + s, length);
		} else {
			if (run_file(argv[i]) != 0)
				return 2;
			runs++;
		}
	}
	printf("%lu inputs passed\n", runs);
	return 0;
}
