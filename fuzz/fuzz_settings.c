/* Fuzzes settings files: any text is loaded or rejected with an error. */
#include "jt_settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	int fd = memfd_create("settings", 0);
	struct jt_settings *settings;
	char name[64], *error;

	if (fd < 0 || write(fd, data, size) != (ssize_t)size)
		return 0;
	snprintf(name, sizeof(name), "/proc/self/fd/%d", fd);
	settings = jt_settings_load(NULL, name, &error);
	if (settings == NULL && error == NULL)
		abort(); /* rejected without an error */
	talloc_free(settings);
	talloc_free(error);
	close(fd);
	return 0;
}
