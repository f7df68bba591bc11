/**
 * DOC: main program of medlard, the entry daemon
 */
#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "medlard/control.h"
#include "medlard/options.h"

const char *argp_program_version = "medlard " MEDLAR_VERSION;

int main(int argc, char **argv)
{
	options_t options;
	int error;

	if (!options_parse(&options, argc, argv,
			   "The entry daemon of the medlarshed query tier."))
		return EXIT_FAILURE;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return EXIT_FAILURE;
	(void)signal(SIGPIPE, SIG_IGN);
	if (options.check_only)
		error = control_check(options.config);
	else
		error = control_run(options.config);
	if (error)
		fprintf(stderr, "medlard: %s\n", medlar_error_text(error));
	curl_global_cleanup();
	return error ? EXIT_FAILURE : EXIT_SUCCESS;
}
