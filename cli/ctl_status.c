/**
 * DOC: medlarctl commands that show the state of a running instance
 */
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cli/ctl.h"

#define PATH_BYTES 256
#define TOKEN_RANDOM_BYTES 24

static int print_reply(ctl_t *ctl, const char *method, const char *path)
{
	ctl_reply_t reply;
	int status = CTL_UNREACHABLE;

	if (ctl_call(ctl, method, path, MEDLAR_STR(""), &reply) == 0)
		status = ctl_reply_check(ctl, &reply);
	if (status == CTL_OK && reply.root)
		ctl_print_json(reply.root);
	ctl_reply_finish(&reply);
	return status;
}

static int run_status(ctl_t *ctl, char **args)
{
	(void)args;
	return print_reply(ctl, "GET", "/v1/status");
}

static int run_instances(ctl_t *ctl, char **args)
{
	(void)args;
	return print_reply(ctl, "GET", "/v1/instances");
}

static void print_upstream(struct json_object *upstream)
{
	printf("%-24s %-16s %3lld %-9s in_flight=%lld share=%lld\n",
	       ctl_member_text(upstream, "name"),
	       ctl_member_text(upstream, "service"),
	       (long long)ctl_member_number(upstream, "shard"),
	       ctl_member_text(upstream, "state"),
	       (long long)ctl_member_number(upstream, "in_flight"),
	       (long long)ctl_member_number(upstream, "share"));
}

static int run_upstreams(ctl_t *ctl, char **args)
{
	struct json_object *upstreams;
	ctl_reply_t reply;
	int status = CTL_UNREACHABLE;
	size_t i;

	(void)args;
	if (ctl->json)
		return print_reply(ctl, "GET", "/v1/upstreams");
	if (ctl_call(ctl, "GET", "/v1/upstreams", MEDLAR_STR(""), &reply) == 0)
		status = ctl_reply_check(ctl, &reply);
	if (status == CTL_OK &&
	    json_object_object_get_ex(reply.root, "upstreams", &upstreams))
		for (i = 0; i < json_object_array_length(upstreams); i++)
			print_upstream(json_object_array_get_idx(upstreams, i));
	ctl_reply_finish(&reply);
	return status;
}

static int run_suspects(ctl_t *ctl, char **args)
{
	(void)args;
	return print_reply(ctl, "GET", "/v1/suspects");
}

/* Sends a request whose path ends with an escaped argument. */
static int print_reply_for(ctl_t *ctl, const char *method, const char *prefix,
			   const char *argument)
{
	char *escaped = curl_easy_escape(NULL, argument, 0);
	char path[PATH_BYTES];
	int status = CTL_USAGE;

	if (!escaped)
		return status;
	if ((size_t)snprintf(path, sizeof(path), "%s%s", prefix, escaped) <
	    sizeof(path))
		status = print_reply(ctl, method, path);
	curl_free(escaped);
	return status;
}

static int run_pardon(ctl_t *ctl, char **args)
{
	return print_reply_for(ctl, "DELETE", "/v1/suspects/", args[0]);
}

static int run_writes(ctl_t *ctl, char **args)
{
	return print_reply_for(ctl, "GET", "/v1/writes/", args[0]);
}

/* Prints a new random token and its hash for the settings of medlard. */
static int run_token(ctl_t *ctl, char **args)
{
	unsigned char random[TOKEN_RANDOM_BYTES];
	unsigned char hash[crypto_generichash_BYTES];
	char token[2 * sizeof(random) + 1];
	char hex[2 * sizeof(hash) + 1];

	(void)args;
	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(token, sizeof(token), random, sizeof(random));
	crypto_generichash(hash, sizeof(hash), (const unsigned char *)token,
			   strlen(token), NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	if (ctl->json)
		printf("{\"token\":\"%s\",\"token_hash\":\"%s\"}\n", token,
		       hex);
	else
		printf("token      %s\ntoken_hash %s\n", token, hex);
	return CTL_OK;
}

const ctl_command_t ctl_status_commands[] = {
	{ "status", "", 0, 0, run_status, "print the state of an instance" },
	{ "instances", "", 0, 0, run_instances,
	  "list the entry instances that an instance knows" },
	{ "upstreams", "", 0, 0, run_upstreams, "list the upstreams" },
	{ "suspects", "", 0, 0, run_suspects,
	  "list the requests that are suspected of crashing upstreams" },
	{ "suspects pardon", "FINGERPRINT", 1, 1, run_pardon,
	  "allow a convicted request to run again (--token-file)" },
	{ "writes", "KEY", 1, 1, run_writes,
	  "print the recorded state of an idempotency key" },
	{ "token", "", 0, 0, run_token,
	  "generate an operator token and its hash for the settings" },
	{ 0 },
};
