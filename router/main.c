/**
 * DOC: medlarrouter, forwards requests of callers to replicas of services
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <sodium.h>

#include "libmedlar/medlar.h"
#include "router/daemon.h"

const char *argp_program_version = "medlarrouter " MEDLAR_VERSION;

typedef struct options {
	const char *config;
	bool check;
} options_t;

static const struct argp_option option_table[] = {
	{ "config", 'c', "FILE", 0, "Read settings from FILE", 0 },
	{ "check", 'n', NULL, 0, "Check the settings and exit", 0 },
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
		.doc = "The router of the medlarshed query tier: forwards "
		       "requests to replicas and merges the parts of shards.",
	};
	options_t options = { 0 };
	int error;

	if (argp_parse(&argp, argc, argv, 0, NULL, &options))
		return EXIT_FAILURE;
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	(void)signal(SIGPIPE, SIG_IGN);
	error = options.check ? daemon_check(options.config)
			      : daemon_run(options.config);
	if (error)
		fprintf(stderr, "medlarrouter: %s\n", medlar_error_text(error));
	return error ? EXIT_FAILURE : EXIT_SUCCESS;
}
