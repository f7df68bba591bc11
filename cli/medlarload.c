/**
 * DOC: medlarload, open-loop load generator for deployments of medlard
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>
#include <unistd.h>

#include "cli/load.h"

const char *argp_program_version = "medlarload " MEDLAR_VERSION;

int main(int argc, char **argv)
{
	load_options_t options;
	load_t load;
	int err;

	if (load_options_parse(&options, argc, argv) != MEDLAR_OK)
		return EX_USAGE;
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	err = load_run(&load, &options);
	if (!err)
		err = load_verify_writes(&load);
	if (isatty(STDERR_FILENO))
		fprintf(stderr, "\r\033[K");
	if (!err)
		err = load_report(&load);
	if (err)
		fprintf(stderr, "medlarload: %s\n", medlar_error_text(err));
	load_finish(&load);
	free(options.entries);
	curl_global_cleanup();
	return err ? EXIT_FAILURE : EXIT_SUCCESS;
}
