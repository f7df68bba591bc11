/**
 * DOC: medlarctl, command-line tool for operators
 */
#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli/ctl.h"

#define WORDS_MAX 8
#define COMMAND_MAX 64
#define DEFAULT_SERVER "http://127.0.0.1:7400"

const char *argp_program_version = "medlarctl " MEDLAR_VERSION;

/* words: the command and its arguments, followed by NULL. */
typedef struct options {
	ctl_t ctl;
	char *words[WORDS_MAX + 1];
	int len;
} options_t;

enum {
	OPTION_TOKEN_FILE = 256,
	OPTION_SECTION,
	OPTION_BASE,
	OPTION_JSON,
	OPTION_COMPLETION,
};

static const struct argp_option option_table[] = {
	{ "server", 's', "URL", 0,
	  "Base URL of an instance (" DEFAULT_SERVER ", or $MEDLAR_SERVER)",
	  0 },
	{ "token-file", OPTION_TOKEN_FILE, "FILE", 0,
	  "File that holds the operator's token", 0 },
	{ "section", OPTION_SECTION, "NAME", 0,
	  "Section to submit: product or operations", 0 },
	{ "base", OPTION_BASE, "REVISION", 0,
	  "Revision that the file was edited from (default: the current one)",
	  0 },
	{ "json", OPTION_JSON, NULL, 0, "Print JSON", 0 },
	{ "completion", OPTION_COMPLETION, NULL, 0,
	  "Print a completion script for bash", 0 },
	{ 0 },
};

static const ctl_command_t *const command_tables[] = {
	ctl_questionnaire_commands,
	ctl_status_commands,
	ctl_log_commands,
};

#define TABLE_COUNT (sizeof(command_tables) / sizeof(command_tables[0]))

static void print_completion(void)
{
	size_t t;
	const ctl_command_t *command;

	fputs("complete -W '", stdout);
	for (t = 0; t < TABLE_COUNT; t++)
		for (command = command_tables[t]; command->words; command++)
			printf("%s ", command->words);
	fputs("--server --token-file --section --base --json' medlarctl\n",
	      stdout);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case 's':
		options->ctl.server = arg;
		return 0;
	case OPTION_TOKEN_FILE:
		options->ctl.token_file = arg;
		return 0;
	case OPTION_SECTION:
		options->ctl.section = arg;
		return 0;
	case OPTION_BASE:
		options->ctl.base_revision = strtoull(arg, NULL, 10);
		return 0;
	case OPTION_JSON:
		options->ctl.json = true;
		return 0;
	case OPTION_COMPLETION:
		print_completion();
		exit(CTL_OK);
	case ARGP_KEY_ARG:
		if (options->len == WORDS_MAX)
			argp_usage(state);
		options->words[options->len++] = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Appends the list of commands to the help text. */
static char *filter_help(int key, const char *text, void *input)
{
	medlar_buf_t help = { 0 };
	const ctl_command_t *command;
	size_t t;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	medlar_buf_add(&help, MEDLAR_STR("Commands:\n"));
	for (t = 0; t < TABLE_COUNT; t++)
		for (command = command_tables[t]; command->words; command++)
			medlar_buf_printf(&help, "  %s %s\n      %s\n",
					  command->words, command->arguments,
					  command->help);
	medlar_buf_add(
		&help,
		MEDLAR_STR("Exit codes: 0 success, 1 refused, 2 usage, 3 "
			   "unreachable, 4 conflict, 5 outcome unknown"));
	return help.ptr;
}

/* Number of words of the command if @words begins with it, else 0. */
static int count_matching_words(const ctl_command_t *command,
				char *const *words, int len)
{
	char rest[COMMAND_MAX];
	char *save = NULL;
	char *word;
	int count = 0;

	snprintf(rest, sizeof(rest), "%s", command->words);
	for (word = strtok_r(rest, " ", &save); word;
	     word = strtok_r(NULL, " ", &save)) {
		if (count == len || strcmp(words[count], word) != 0)
			return 0;
		count++;
	}
	return count;
}

/* Finds the command with the most words that @words begins with. */
static const ctl_command_t *find_command(char *const *words, int len, int *used)
{
	const ctl_command_t *best = NULL;
	const ctl_command_t *command;
	size_t t;

	*used = 0;
	for (t = 0; t < TABLE_COUNT; t++)
		for (command = command_tables[t]; command->words; command++) {
			int count = count_matching_words(command, words, len);

			if (count <= *used)
				continue;
			*used = count;
			best = command;
		}
	return best;
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.args_doc = "COMMAND [ARGUMENT...]",
		.doc = "Drives medlarshed: revises the questionnaire and "
		       "looks at running instances.\v",
		.help_filter = filter_help,
	};
	const char *server = getenv("MEDLAR_SERVER");
	const ctl_command_t *command;
	options_t options = { 0 };
	int used;
	int args_len;
	int status;

	options.ctl.server = server ? server : DEFAULT_SERVER;
	options.ctl.colour = isatty(STDOUT_FILENO);
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	command = find_command(options.words, options.len, &used);
	args_len = options.len - used;
	if (!command || args_len < command->min || args_len > command->max) {
		ctl_print_error("unknown command or wrong number of arguments; "
				"see medlarctl --help");
		return CTL_USAGE;
	}
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return CTL_REFUSED;
	status = command->run(&options.ctl, options.words + used);
	curl_global_cleanup();
	return status;
}
