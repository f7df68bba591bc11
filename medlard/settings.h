/**
 * DOC: settings of the daemon, read from a JSON file with comments
 */
#ifndef MEDLARD_SETTINGS_H
#define MEDLARD_SETTINGS_H

#include "libmedlar/medlar.h"

#define SETTINGS_KEY_MAX 128

/**
 * struct endpoint - an IP address and a port
 * @host: IP address in text form
 * @port: TCP port
 */
typedef struct endpoint {
	char host[MEDLAR_HOST_MAX + 1];
	int64_t port;
} endpoint_t;

/**
 * struct peer_setting - another instance, known before the list is
 * @name: its unique name
 * @host: IP address in text form
 * @port: port for callers
 * @peer_port: port of the peer protocol; 0 for none
 * @zone: its availability zone
 */
typedef struct peer_setting {
	char name[MEDLAR_NAME_MAX + 1];
	char host[MEDLAR_HOST_MAX + 1];
	int64_t port;
	int64_t peer_port;
	char zone[MEDLAR_NAME_MAX + 1];
} peer_setting_t;

/**
 * struct operator_setting - an operator who may change a section
 * @name: name that revisions show
 * @role: &enum medlar_section
 * @token_hash: hash of the token, hexadecimal; see ``medlarctl token``
 */
typedef struct operator_setting {
	char name[MEDLAR_NAME_MAX + 1];
	int role;
	char token_hash[SETTINGS_KEY_MAX + 1];
} operator_setting_t;

/**
 * struct platform_settings - how the platform is reached
 * @host: IP address in text form
 * @port: TCP port
 * @rate: calls a second that this instance may make
 * @timeout_ms: bound of a call that is not a watch
 * @list_ms: period of reading the instance lists
 */
typedef struct platform_settings {
	char host[MEDLAR_HOST_MAX + 1];
	int64_t port;
	int64_t rate;
	int64_t timeout_ms;
	int64_t list_ms;
} platform_settings_t;

/**
 * struct settings - everything that the file holds
 * @name: unique name of this instance
 * @zone: its availability zone
 * @listen: addresses for callers and operators, &endpoint_t; the first one
 *	is given out
 * @platform: the platform
 * @threads: worker threads
 * @log_level: &enum log_level
 * @peers: other instances, &peer_setting_t
 * @operators: operators, &operator_setting_t
 * @peer_port: port of the peer protocol; 0 for none
 * @peer_key: key shared by all instances, in hexadecimal
 * @body_max: longest request body, bytes
 * @reply_max: longest reply of an upstream, bytes
 * @connections_max: connections of callers
 * @request_ms: time within which a caller must have sent a request
 * @idle_ms: time after which an idle connection of a caller is closed
 * @stop_ms: bound of a graceful stop
 */
typedef struct settings {
	char name[MEDLAR_NAME_MAX + 1];
	char zone[MEDLAR_NAME_MAX + 1];
	medlar_doc_array_t listen;
	platform_settings_t platform;
	int64_t threads;
	int log_level;
	medlar_doc_array_t peers;
	medlar_doc_array_t operators;
	int64_t peer_port;
	char peer_key[SETTINGS_KEY_MAX + 1];
	int64_t body_max;
	int64_t reply_max;
	int64_t connections_max;
	int64_t request_ms;
	int64_t idle_ms;
	int64_t stop_ms;
} settings_t;

int settings_read_text(medlar_client_t *client, const char *path,
		       medlar_buf_t *out);
int settings_read(settings_t *settings, medlar_client_t *client,
		  const char *path);
int settings_parse(settings_t *settings, medlar_client_t *client,
		   medlar_str_t file, medlar_str_t text);
void settings_finish(settings_t *settings);
const endpoint_t *settings_public_address(const settings_t *settings);
const char *settings_find_restart_field(const settings_t *old_settings,
					const settings_t *new_settings);

#endif /* MEDLARD_SETTINGS_H */
