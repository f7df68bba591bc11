/**
 * DOC: main program of medlarrouter
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <sodium.h>

#include "libmedlar/medlar.h"
#include "medlard/options.h"
#include "router/daemon.h"

const char *argp_program_version = "medlarrouter " MEDLAR_VERSION;

int main(int argc, char **argv)
{
	options_t options;
	int error;

	if (!options_parse(
		    &options, argc, argv,
		    "The router of the medlarshed query tier: forwards "
		    "requests to replicas and merges the parts of shards."))
		return EXIT_FAILURE;
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	(void)signal(SIGPIPE, SIG_IGN);
	error = options.check_only ? daemon_check(options.config)
				   : daemon_run(options.config);
	if (error)
		fprintf(stderr, "medlarrouter: %s\n", medlar_error_text(error));
	return error ? EXIT_FAILURE : EXIT_SUCCESS;
}
