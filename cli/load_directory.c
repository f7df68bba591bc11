/**
 * DOC: what the naive client knows of a service's upstreams
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

static const char *text_of(struct json_object *object, const char *name)
{
	const char *text = json_object_get_string(
		json_object_object_get(object, name));

	return text ? text : "";
}

static int get(const load_directory_t *directory, const char *path,
	       load_http_fn_t done, void *data)
{
	char url[URL_MAX];
	const load_http_request_t http = { .url = url,
					   .timeout_ms = READ_TIMEOUT_MS };

	snprintf(url, sizeof(url), "http://%s%s%s", directory->platform, path,
		 directory->service);
	return load_http_send(directory->loop, &http, done, data);
}

static uint32_t newest(const char *versions)
{
	uint32_t best = 0;
	char *end;

	while (*versions) {
		uint32_t version = (uint32_t)strtoul(versions, &end, 10);

		if (version > best)
			best = version;
		versions = *end ? end + 1 : end;
	}
	return best;
}

static void read_entry(load_directory_t *directory, struct json_object *json)
{
	struct json_object *service = json_object_object_get(json, "Service");
	struct json_object *meta = json_object_object_get(service, "Meta");
	load_upstream_t *upstream = &directory->upstreams[directory->len];

	if (strcmp(text_of(meta, "state"), "live") != 0)
		return;
	snprintf(upstream->host, sizeof(upstream->host), "%s",
		 text_of(service, "Address"));
	upstream->port = (unsigned)json_object_get_int(
		json_object_object_get(service, "Port"));
	upstream->shard = (uint32_t)strtoul(text_of(meta, "shard"), NULL, 10);
	upstream->version = newest(text_of(meta, "versions"));
	directory->len++;
}

static void read_list(load_directory_t *directory, medlar_str_t body)
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
			read_entry(directory,
				   json_object_array_get_idx(list, i));
	}
	json_object_put(list);
}

static void on_list(const load_http_reply_t *reply, void *data)
{
	load_directory_t *directory = data;

	if (reply->status == STATUS_OK)
		read_list(directory, reply->body);
	medlar_timer_set(&directory->loop->client, &directory->refresh,
			 load_now() + REFRESH_PERIOD);
	directory->ready(directory->data);
}

static void read_map(load_directory_t *directory, medlar_str_t body)
{
	struct json_object *list = json_tokener_parse(body.ptr);
	const char *value = text_of(json_object_array_get_idx(list, 0),
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
		read_map(directory, reply->body);
	if (get(directory, "/v1/health/service/", on_list, directory))
		abort();
}

static void refresh_due(medlar_client_t *client, medlar_timer_t *timer,
			medlar_time_t now, void *data)
{
	load_directory_t *directory = data;

	(void)client;
	(void)timer;
	(void)now;
	if (get(directory, "/v1/kv/medlar/config/maps/", on_map, directory))
		abort();
}

/**
 * load_directory_init() - start to read map and list, now and periodically
 * @directory: memory of the caller with loop, platform, service, ready, data
 */
void load_directory_init(load_directory_t *directory)
{
	medlar_timer_init(&directory->refresh, refresh_due, directory);
	medlar_timer_set(&directory->loop->client, &directory->refresh,
			 load_now());
}

/**
 * load_directory_finish() - release a directory
 * @directory: directory whose loop has ended
 */
void load_directory_finish(load_directory_t *directory)
{
	medlar_timer_clear(&directory->loop->client, &directory->refresh);
	if (directory->has_map)
		medlar_map_finish(&directory->map);
	free(directory->upstreams);
}

/**
 * load_directory_draw() - choose a live replica of a shard at random
 * @directory: directory
 * @shard: shard
 * @rand: source of the choice
 *
 * Return: a replica, or NULL if none is live.
 */
const load_upstream_t *load_directory_draw(const load_directory_t *directory,
					   uint32_t shard, medlar_rand_t *rand)
{
	const load_upstream_t *chosen = NULL;
	uint64_t seen = 0;
	size_t i;

	for (i = 0; i < directory->len; i++) {
		const load_upstream_t *upstream = &directory->upstreams[i];

		if (upstream->shard != shard)
			continue;
		if (medlar_rand_below(rand, ++seen) == 0)
			chosen = upstream;
	}
	return chosen;
}
