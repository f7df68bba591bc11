/**
 * DOC: command line of the daemons
 */
#include <argp.h>

#include "medlard/options.h"

static const struct argp_option option_table[] = {
	{ "config", 'c', "FILE", 0, "Settings file, JSON with comments", 0 },
	{ "check-config", 'n', NULL, 0, "Check the settings file and exit", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *options = state->input;

	if (key == 'c')
		options->config = arg;
	else if (key == 'n')
		options->check_only = true;
	else if (key == ARGP_KEY_END && !options->config)
		argp_error(state, "--config is required");
	else if (key != ARGP_KEY_END)
		return ARGP_ERR_UNKNOWN;
	return 0;
}

/**
 * options_parse() - parse the command line
 * @options: memory provided by the caller
 * @argc: number of arguments
 * @argv: arguments
 * @doc: description of the program for --help
 *
 * Exits the process on an error, --help or --version.
 *
 * Return: true on success.
 */
bool options_parse(options_t *options, int argc, char **argv, const char *doc)
{
	const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = doc,
	};

	*options = (options_t){ 0 };
	return argp_parse(&argp, argc, argv, 0, NULL, options) == 0;
}
