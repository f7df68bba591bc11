/**
 * DOC: settings of the daemon, read from a JSON file with comments
 */
#ifndef MEDLARD_SETTINGS_H
#define MEDLARD_SETTINGS_H

#include "libmedlar/medlar.h"

/** Longest secret or token hash in hexadecimal, characters. */
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
 * struct peer_setting - an instance that is known before the list is read
 * @name: unique name
 * @host: IP address in text form
 * @port: TCP port for callers
 * @peer_port: UDP port of the peer protocol; 0 for none
 * @zone: availability zone
 */
typedef struct peer_setting {
	char name[MEDLAR_NAME_MAX + 1];
	char host[MEDLAR_HOST_MAX + 1];
	int64_t port;
	int64_t peer_port;
	char zone[MEDLAR_NAME_MAX + 1];
} peer_setting_t;

/**
 * struct operator_setting - an operator who may change one section
 * @name: name shown as the author of revisions
 * @role: section of the questionnaire, &enum medlar_section
 * @token_hash: hash of the token in hexadecimal; see ``medlarctl token``
 */
typedef struct operator_setting {
	char name[MEDLAR_NAME_MAX + 1];
	int role;
	char token_hash[SETTINGS_KEY_MAX + 1];
} operator_setting_t;

/**
 * struct platform_settings - address and limits of the platform
 * @host: IP address in text form
 * @port: TCP port
 * @rate: calls per second that this instance may make
 * @timeout_ms: time limit of a call that is not a blocking watch
 * @list_ms: interval at which the instance lists are polled
 */
typedef struct platform_settings {
	char host[MEDLAR_HOST_MAX + 1];
	int64_t port;
	int64_t rate;
	int64_t timeout_ms;
	int64_t list_ms;
} platform_settings_t;

/**
 * struct settings - contents of the settings file
 * @name: unique name of this instance
 * @zone: availability zone of this instance
 * @listen: addresses for callers and operators, &endpoint_t; callers are told
 *	the first one
 * @platform: address and limits of the platform
 * @threads: number of worker threads
 * @log_level: &enum log_level
 * @peers: other instances, &peer_setting_t
 * @operators: operators, &operator_setting_t
 * @peer_port: UDP port of the peer protocol; 0 for none
 * @peer_key: secret shared by all instances, in hexadecimal
 * @body_max: maximum length of a request body, bytes
 * @reply_max: maximum length of a reply of an upstream, bytes
 * @connections_max: maximum number of caller connections
 * @request_ms: time within which a caller must have sent a request
 * @idle_ms: time after which an idle caller connection is closed
 * @stop_ms: time limit of a graceful shutdown
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
