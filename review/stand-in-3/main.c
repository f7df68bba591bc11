/**
 * DOC: main program of the stand-in
 *
 * usage: site free		print a base of free ports
 *	  site SCENARIO BASE ROUTERS RECORD
 *
 * With TROUBLE=0 in the environment, the disruption is left out.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "site.h"

#define BASE_MIN 12000
#define BASE_MAX 30000
#define PORTS 50

int routers;

static const struct {
	const char *name;
	int (*run)(int base, bool trouble);
} scenarios[] = {
	{ "additional-bytes", scenario_additional_bytes },
	{ "lapse-and-copy", scenario_lapse_and_copy },
	{ "incomplete-entry", scenario_incomplete_entry },
};

static bool is_free(const char *host, int base)
{
	for (int i = 0; i < PORTS; i++) {
		int fd = listen_on(host, base + i);

		if (fd < 0)
			return false;
		close(fd);
	}
	return true;
}

static int print_free(void)
{
	int start = BASE_MIN + (int)(getpid() % 180) * 100;

	for (int base = start; base < BASE_MAX; base += PORTS)
		if (is_free(SITE_HOST, base) && is_free("127.0.1.1", base) &&
		    is_free("127.0.1.2", base)) {
			printf("%d\n", base);
			return 0;
		}
	return 2;
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");

	if (argc == 2 && strcmp(argv[1], "free") == 0)
		return print_free();
	if (argc != 5)
		return 2;
	routers = atoi(argv[3]);
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (size_t i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		int result;

		if (strcmp(argv[1], scenarios[i].name) != 0)
			continue;
		store_start(atoi(argv[2]) + STORE_PORT);
		result = scenarios[i].run(atoi(argv[2]),
					  !trouble || strcmp(trouble, "0") != 0);
		pthread_mutex_lock(&lock);
		write_record(argv[4]);
		printf("result=%s\n", result == 0 ? "held"
				      : result == 1 ? "broken"
						    : "not run");
		return result;
	}
	return 2;
}
