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
 * struct router_settings - settings of one instance
 * @instance: name of this instance, unique among instances
 * @zone: availability zone of this instance
 * @callers: address to serve callers on
 * @readiness: address to serve readiness checks on
 * @directory: address to serve the addresses of instances on
 * @metrics: address to serve metrics on; empty for none
 * @peers: address to exchange data with other instances on, UDP and TCP
 * @seeds: addresses of other instances, separated by commas; their ports are
 *	ignored, as all instances use that of @peers
 * @store: address of the store
 * @log_level: least severe level that is logged, a &enum log_level
 * @retry_ratio: budget of extra sends per request, shared by all instances
 * @retry_slack: extra sends allowed per window in addition to @retry_ratio
 * @retry_window_ms: length of the window, ms
 * @grace_ms: time from SIGTERM to the forced end of the process, ms
 * @address_ttl_max_ms: longest lifetime of addresses given to callers, ms
 * @config_apply_ms: time in which a change of the configuration has to be in
 *	force, ms
 * @connections_max: most connections of callers
 *
 * Addresses are of the form host:port. Each member is named like its key in
 * the file.
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
	int64_t config_apply_ms;
	int64_t connections_max;
} router_settings_t;

int router_settings_read(router_settings_t *settings, medlar_client_t *client,
			 const char *path);
int router_settings_parse(router_settings_t *settings, medlar_client_t *client,
			  medlar_str_t file, medlar_str_t text);
int router_address_parse(medlar_str_t text, struct sockaddr_in *out);

#endif /* ROUTER_SETTINGS_H */
