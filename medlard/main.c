/**
 * DOC: medlard, the entry daemon
 */
#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "medlard/control.h"

/**
 * struct options - the command line
 * @config: settings file
 * @check: only check it
 */
typedef struct options {
	const char *config;
	bool check;
} options_t;

const char *argp_program_version = "medlard " MEDLAR_VERSION;

static const struct argp_option option_table[] = {
	{ "config", 'c', "FILE", 0, "Settings, JSON with comments", 0 },
	{ "check-config", 'n', NULL, 0, "Check the settings and exit", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *options = state->input;

	if (key == 'c')
		options->config = arg;
	else if (key == 'n')
		options->check = true;
	else if (key == ARGP_KEY_END && !options->config)
		argp_error(state, "--config is required");
	else if (key != ARGP_KEY_END)
		return ARGP_ERR_UNKNOWN;
	return 0;
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "The entry daemon of the medlarshed query tier.",
	};
	options_t options = { 0 };
	int error;

	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return EXIT_FAILURE;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return EXIT_FAILURE;
	(void)signal(SIGPIPE, SIG_IGN);
	if (options.check)
		error = control_check(options.config);
	else
		error = control_run(options.config);
	if (error)
		fprintf(stderr, "medlard: %s\n", medlar_error_text(error));
	curl_global_cleanup();
	return error ? EXIT_FAILURE : EXIT_SUCCESS;
}
