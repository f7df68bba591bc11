/**
 * DOC: settings of the router, read from a JSON file with comments
 */
#ifndef ROUTER_SETTINGS_H
#define ROUTER_SETTINGS_H

#include <netinet/in.h>

#include "libmedlar/medlar.h"

#define SETTINGS_TEXT_MAX 128
#define SETTINGS_SEEDS_MAX 512

/**
 * struct router_settings - what the file holds
 * @instance: name of this instance
 * @zone: its availability zone
 * @callers: address that serves callers, as host:port
 * @readiness: address of the readiness check
 * @directory: address that tells callers where to connect
 * @metrics: address of the metrics; empty for none
 * @peers: address for other instances, UDP and TCP
 * @seeds: hosts of other instances, separated by commas; ports are ignored
 * @store: address of the store
 * @log_level: highest priority number that is written
 * @retry_ratio: extra sends for each request, all instances together
 * @retry_slack: extra sends in a window besides
 * @retry_window_ms: length of the window
 * @grace_ms: time from SIGTERM to the end
 * @address_ttl_max_ms: longest time that callers keep addresses
 * @connections_max: most connections of callers
 */
typedef struct router_settings {
	char instance[SETTINGS_TEXT_MAX];
	char zone[SETTINGS_TEXT_MAX];
	char callers[SETTINGS_TEXT_MAX];
	char readiness[SETTINGS_TEXT_MAX];
	char directory[SETTINGS_TEXT_MAX];
	char metrics[SETTINGS_TEXT_MAX];
	char peers[SETTINGS_TEXT_MAX];
	char seeds[SETTINGS_SEEDS_MAX];
	char store[SETTINGS_TEXT_MAX];
	int log_level;
	double retry_ratio;
	double retry_slack;
	int64_t retry_window_ms;
	int64_t grace_ms;
	int64_t address_ttl_max_ms;
	int64_t connections_max;
} router_settings_t;

int router_settings_read(router_settings_t *settings, medlar_client_t *client,
			 const char *path);
int router_settings_parse(router_settings_t *settings, medlar_client_t *client,
			  medlar_str_t file, medlar_str_t text);
int router_address_parse(medlar_str_t text, struct sockaddr_in *out);

#endif /* ROUTER_SETTINGS_H */
