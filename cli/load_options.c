/**
 * DOC: command-line options of the load generator
 */
#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "cli/load.h"

#define QUERY_DEFAULT "rain"
#define RATE_DEFAULT 100
#define DURATION_S_DEFAULT 10
#define CALLERS_DEFAULT 16
#define RESENDS_DEFAULT 2
#define KEYS_DEFAULT 4
#define SHARDS_DEFAULT 4
#define NAIVE_TIMEOUT_MS_DEFAULT 500

enum key {
	KEY_MIX = 256,
	KEY_WRITE_SERVICE,
	KEY_PLATFORM,
	KEY_ZONE,
	KEY_SEED,
	KEY_CALLERS,
	KEY_RESENDS,
	KEY_DEADLINE,
	KEY_KEYS,
	KEY_NAIVE,
	KEY_NAIVE_TIMEOUT,
	KEY_QUERY,
	KEY_EXECUTIONS,
	KEY_JSON,
	KEY_COMPARE,
	KEY_WARMUP,
	KEY_SITE,
	KEY_SHARDS,
	KEY_TARGET,
};

static const struct argp_option option_table[] = {
	{ "service", 's', "NAME", 0, "service of searches and lookups", 0 },
	{ "write-service", KEY_WRITE_SERVICE, "NAME", 0,
	  "service of writes (default: the one of --service)", 0 },
	{ "rate", 'r', "N", 0,
	  "mean arrival rate in requests per second (default 100)", 0 },
	{ "duration", 'd', "S", 0,
	  "length of the measured period in seconds (default 10)", 0 },
	{ "warmup", KEY_WARMUP, "S", 0,
	  "length of the unmeasured warm-up in seconds (default 0)", 0 },
	{ "mix", KEY_MIX, "S:L:W", 0,
	  "relative frequency of searches, lookups and writes", 0 },
	{ "seed", KEY_SEED, "N", 0,
	  "seed of the random number generator (default 1)", 0 },
	{ "callers", KEY_CALLERS, "N", 0, "number of callers (default 16)", 0 },
	{ "resends", KEY_RESENDS, "N", 0,
	  "maximum number of resends of a failed request (default 2)", 0 },
	{ "deadline", KEY_DEADLINE, "MS", 0,
	  "deadline of each request in ms (default: the service's)", 0 },
	{ "keys", KEY_KEYS, "N", 0,
	  "number of keys of each lookup, 0 for all keys (default 4)", 0 },
	{ "zone", KEY_ZONE, "ZONE", 0, "availability zone of the callers", 0 },
	{ "query", KEY_QUERY, "TEXT", 0,
	  "query text of every request (default rain)", 0 },
	{ "naive", KEY_NAIVE, NULL, 0,
	  "send requests to the upstreams directly: random replica, fixed "
	  "timeout, three retries",
	  0 },
	{ "naive-timeout", KEY_NAIVE_TIMEOUT, "MS", 0,
	  "timeout of each attempt of the naive client in ms (default 500)",
	  0 },
	{ "platform", KEY_PLATFORM, "HOST:PORT", 0,
	  "platform that the naive client reads the instance list from", 0 },
	{ "site", KEY_SITE, NULL, 0,
	  "each HOST:PORT is a router on the users' platform; searches and "
	  "orders go to the services of fake-site",
	  0 },
	{ "shards", KEY_SHARDS, "N", 0,
	  "number of shards of a search with --site (default 4)", 0 },
	{ "target", KEY_TARGET, "MS", 0,
	  "latency in ms up to which an answer counts as goodput (default: no "
	  "limit)",
	  0 },
	{ "executions", KEY_EXECUTIONS, "URL", 0,
	  "execution log of the upstreams, to verify the outcomes of writes",
	  0 },
	{ "json", KEY_JSON, "FILE", OPTION_ARG_OPTIONAL,
	  "write the results as JSON to FILE, or to standard output instead "
	  "of the table",
	  0 },
	{ "compare", KEY_COMPARE, "FILE", 0,
	  "compare with the JSON results of an earlier run", 0 },
	{ 0 },
};

static error_t parse_mix(load_options_t *options, const char *text,
			 struct argp_state *state)
{
	double sum = 0;
	int i;

	for (i = 0; i < LOAD_KIND_COUNT; i++) {
		char *end;

		options->mix[i] = strtod(text, &end);
		sum += options->mix[i];
		if (options->mix[i] < 0 || end == text)
			argp_error(state,
				   "--mix requires three non-negative numbers "
				   "S:L:W");
		text = *end == ':' ? end + 1 : end;
	}
	if (sum <= 0)
		argp_error(state,
			   "--mix requires at least one positive number");
	return 0;
}

static void add_entry(load_options_t *options, const char *entry)
{
	size_t len = options->entries_len + 1;

	options->entries = realloc(options->entries,
				   len * sizeof(*options->entries));
	if (!options->entries)
		abort();
	options->entries[options->entries_len++] = entry;
}

static bool parse_text(load_options_t *options, int key, const char *arg)
{
	const struct {
		int key;
		const char **value;
	} texts[] = {
		{ 's', &options->service },
		{ KEY_WRITE_SERVICE, &options->write_service },
		{ KEY_PLATFORM, &options->platform },
		{ KEY_ZONE, &options->zone },
		{ KEY_QUERY, &options->query_text },
		{ KEY_EXECUTIONS, &options->executions_url },
		{ KEY_COMPARE, &options->compare_file },
	};
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		if (texts[i].key != key)
			continue;
		*texts[i].value = arg;
		return true;
	}
	return false;
}

static bool parse_unsigned(load_options_t *options, int key, const char *arg)
{
	const struct {
		int key;
		unsigned *value;
	} numbers[] = {
		{ KEY_RESENDS, &options->resends_max },
		{ KEY_DEADLINE, &options->deadline_ms },
		{ KEY_KEYS, &options->keys_per_lookup },
		{ KEY_NAIVE_TIMEOUT, &options->naive_timeout_ms },
		{ KEY_SHARDS, &options->shards },
		{ KEY_TARGET, &options->target_ms },
	};
	size_t i;

	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		if (numbers[i].key != key)
			continue;
		*numbers[i].value = (unsigned)strtoul(arg, NULL, 10);
		return true;
	}
	return false;
}

static bool parse_real(load_options_t *options, int key, const char *arg)
{
	const struct {
		int key;
		double *value;
	} numbers[] = {
		{ 'r', &options->rate },
		{ 'd', &options->duration_s },
		{ KEY_WARMUP, &options->warmup_s },
	};
	size_t i;

	for (i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		if (numbers[i].key != key)
			continue;
		*numbers[i].value = strtod(arg, NULL);
		return true;
	}
	return false;
}

static void check_options(const load_options_t *options,
			  struct argp_state *state)
{
	if (!options->service && !options->site)
		argp_error(state, "--service is required");
	if (options->rate <= 0 || options->duration_s <= 0)
		argp_error(state, "--rate and --duration must be positive");
	if (options->site && options->shards == 0)
		argp_error(state, "--shards must be positive");
	if (options->callers == 0)
		argp_error(state, "--callers must be positive");
	if (options->keys_per_lookup > LOAD_KEYS_MAX)
		argp_error(state, "--keys must be at most %d", LOAD_KEYS_MAX);
	if (options->naive && !options->platform)
		argp_error(state, "--naive requires --platform");
	if (!options->naive && options->entries_len == 0)
		argp_error(state, "at least one entry HOST:PORT is required");
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	load_options_t *options = state->input;

	if (parse_text(options, key, arg) ||
	    parse_unsigned(options, key, arg) || parse_real(options, key, arg))
		return 0;
	if (key == KEY_MIX)
		return parse_mix(options, arg, state);
	if (key == KEY_SEED)
		options->seed = strtoull(arg, NULL, 10);
	else if (key == KEY_CALLERS)
		options->callers = strtoul(arg, NULL, 10);
	else if (key == KEY_NAIVE)
		options->naive = true;
	else if (key == KEY_SITE)
		options->site = true;
	else if (key == KEY_JSON)
		options->json_file = arg ? arg : "-";
	else if (key == ARGP_KEY_ARG)
		add_entry(options, arg);
	else if (key == ARGP_KEY_END)
		check_options(options, state);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

/**
 * load_options_parse() - parse the command line
 * @options: receives the options; the caller frees its entries
 * @argc: number of arguments
 * @argv: arguments; the options point into them
 *
 * Exits with status 64 on a usage error.
 *
 * Return: 0 or an errno value.
 */
int load_options_parse(load_options_t *options, int argc, char **argv)
{
	const struct argp argp = {
		option_table,
		parse_option,
		"HOST:PORT...",
		"Open-loop load for a deployment of medlard.\v"
		"Each HOST:PORT is an entry instance that callers may ask for "
		"addresses. The exit status is 0, or 1 if the run failed or "
		"any answer was untrue.",
		NULL,
		NULL,
		NULL
	};

	*options = (load_options_t){
		.mix = { [LOAD_SEARCH] = 1 },
		.rate = RATE_DEFAULT,
		.duration_s = DURATION_S_DEFAULT,
		.seed = 1,
		.callers = CALLERS_DEFAULT,
		.resends_max = RESENDS_DEFAULT,
		.keys_per_lookup = KEYS_DEFAULT,
		.shards = SHARDS_DEFAULT,
		.naive_timeout_ms = NAIVE_TIMEOUT_MS_DEFAULT,
		.query_text = QUERY_DEFAULT,
	};
	if (argp_parse(&argp, argc, argv, 0, NULL, options))
		return MEDLAR_ERR_SYNTAX;
	if (!options->write_service)
		options->write_service = options->service;
	return MEDLAR_OK;
}
