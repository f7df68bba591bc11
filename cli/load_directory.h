/**
 * DOC: service discovery of the naive client
 */
#ifndef CLI_LOAD_DIRECTORY_H
#define CLI_LOAD_DIRECTORY_H

#include "cli/load_http.h"

/**
 * struct load_upstream - live replica of a service
 * @host: IP address in text form
 * @port: TCP port
 * @shard: number of the shard that it serves
 * @version: newest index version that it serves
 */
typedef struct load_upstream {
	char host[MEDLAR_HOST_MAX + 1];
	unsigned port;
	uint32_t shard;
	uint32_t version;
} load_upstream_t;

/**
 * struct load_directory - partition map and live replicas of a service
 * @loop: event loop
 * @platform: ``HOST:PORT`` of the platform
 * @service: name of the service
 * @map: partition map
 * @has_map: whether @map is valid
 * @upstreams: live replicas
 * @len: number of @upstreams
 * @refresh_timer: timer of the next refresh
 * @on_refreshed: called after each refresh, also a failed one
 * @data: passed to @on_refreshed
 */
typedef struct load_directory {
	load_loop_t *loop;
	const char *platform;
	const char *service;
	medlar_map_t map;
	bool has_map;
	load_upstream_t *upstreams;
	size_t len;
	medlar_timer_t refresh_timer;
	void (*on_refreshed)(void *data);
	void *data;
} load_directory_t;

void load_directory_init(load_directory_t *directory);
void load_directory_finish(load_directory_t *directory);
const load_upstream_t *
load_directory_pick_random(const load_directory_t *directory, uint32_t shard,
			   medlar_rand_t *rand);

#endif
