/**
 * DOC: service discovery of the naive client
 */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/load_directory.h"

#define URL_MAX 256
#define READ_TIMEOUT_MS 1000L
#define REFRESH_PERIOD LOAD_SECOND
#define STATUS_OK 200

static const char *member_text(struct json_object *object, const char *name)
{
	const char *text = json_object_get_string(
		json_object_object_get(object, name));

	return text ? text : "";
}

/* Sends a GET request for a path followed by the name of the service. */
static int send_get(const load_directory_t *directory, const char *path,
		    load_http_fn_t done, void *data)
{
	char url[URL_MAX];
	const load_http_request_t http = { .url = url,
					   .timeout_ms = READ_TIMEOUT_MS };

	snprintf(url, sizeof(url), "http://%s%s%s", directory->platform, path,
		 directory->service);
	return load_http_send(directory->loop, &http, done, data);
}

/* Returns the largest number of a comma-separated list. */
static uint32_t parse_newest_version(const char *versions)
{
	uint32_t newest = 0;
	char *end;

	while (*versions) {
		uint32_t version = (uint32_t)strtoul(versions, &end, 10);

		if (version > newest)
			newest = version;
		versions = *end ? end + 1 : end;
	}
	return newest;
}

static void parse_entry(load_directory_t *directory, struct json_object *json)
{
	struct json_object *service = json_object_object_get(json, "Service");
	struct json_object *meta = json_object_object_get(service, "Meta");
	load_upstream_t *upstream = &directory->upstreams[directory->len];

	if (strcmp(member_text(meta, "state"), "live") != 0)
		return;
	snprintf(upstream->host, sizeof(upstream->host), "%s",
		 member_text(service, "Address"));
	upstream->port = (unsigned)json_object_get_int(
		json_object_object_get(service, "Port"));
	upstream->shard = (uint32_t)strtoul(member_text(meta, "shard"), NULL,
					    10);
	upstream->version = parse_newest_version(member_text(meta, "versions"));
	directory->len++;
}

static void parse_list(load_directory_t *directory, medlar_str_t body)
{
	struct json_object *list = json_tokener_parse(body.ptr);
	size_t count;
	size_t i;

	if (json_object_is_type(list, json_type_array)) {
		count = json_object_array_length(list);
		free(directory->upstreams);
		directory->upstreams = calloc(count + 1,
					      sizeof(*directory->upstreams));
		if (!directory->upstreams)
			abort();
		directory->len = 0;
		for (i = 0; i < count; i++)
			parse_entry(directory,
				    json_object_array_get_idx(list, i));
	}
	json_object_put(list);
}

static void on_list(const load_http_reply_t *reply, void *data)
{
	load_directory_t *directory = data;

	if (reply->status == STATUS_OK)
		parse_list(directory, reply->body);
	medlar_timer_set(&directory->loop->client, &directory->refresh_timer,
			 load_now() + REFRESH_PERIOD);
	directory->on_refreshed(directory->data);
}

static void parse_map(load_directory_t *directory, medlar_str_t body)
{
	struct json_object *list = json_tokener_parse(body.ptr);
	const char *value = member_text(json_object_array_get_idx(list, 0),
					"Value");
	size_t size = strlen(value) + 1;
	char *text = malloc(size);
	medlar_map_t map;
	size_t len;

	if (!text)
		abort();
	if (!sodium_base642bin((unsigned char *)text, size, value, size - 1,
			       NULL, &len, NULL,
			       sodium_base64_VARIANT_ORIGINAL) &&
	    medlar_map_parse(&map, (medlar_str_t){ text, len }) == MEDLAR_OK) {
		if (directory->has_map)
			medlar_map_finish(&directory->map);
		directory->map = map;
		directory->has_map = true;
	}
	free(text);
	json_object_put(list);
}

static void on_map(const load_http_reply_t *reply, void *data)
{
	load_directory_t *directory = data;

	if (reply->status == STATUS_OK)
		parse_map(directory, reply->body);
	if (send_get(directory, "/v1/health/service/", on_list, directory))
		abort();
}

static void on_refresh_timer(medlar_client_t *client, medlar_timer_t *timer,
			     medlar_time_t now, void *data)
{
	load_directory_t *directory = data;

	(void)client;
	(void)timer;
	(void)now;
	if (send_get(directory, "/v1/kv/medlar/config/maps/", on_map,
		     directory))
		abort();
}

/**
 * load_directory_init() - start to fetch map and replicas, now and every second
 * @directory: directory whose loop, platform, service, on_refreshed and data
 *   members are set; load_directory_finish() releases it
 */
void load_directory_init(load_directory_t *directory)
{
	medlar_timer_init(&directory->refresh_timer, on_refresh_timer,
			  directory);
	medlar_timer_set(&directory->loop->client, &directory->refresh_timer,
			 load_now());
}

/**
 * load_directory_finish() - release the memory of a directory
 * @directory: directory whose event loop has ended
 */
void load_directory_finish(load_directory_t *directory)
{
	medlar_timer_clear(&directory->loop->client, &directory->refresh_timer);
	if (directory->has_map)
		medlar_map_finish(&directory->map);
	free(directory->upstreams);
}

/**
 * load_directory_pick_random() - pick a live replica of a shard at random
 * @directory: directory
 * @shard: number of the shard
 * @rand: random number generator
 *
 * Return: a replica, valid until the next refresh; or NULL if none is live.
 */
const load_upstream_t *
load_directory_pick_random(const load_directory_t *directory, uint32_t shard,
			   medlar_rand_t *rand)
{
	const load_upstream_t *picked = NULL;
	uint64_t seen = 0;
	size_t i;

	for (i = 0; i < directory->len; i++) {
		const load_upstream_t *upstream = &directory->upstreams[i];

		if (upstream->shard != shard)
			continue;
		if (medlar_rand_below(rand, ++seen) == 0)
			picked = upstream;
	}
	return picked;
}
