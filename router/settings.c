/**
 * DOC: settings of the router, read from a JSON file with comments
 */
#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/log.h"
#include "medlard/settings.h"
#include "router/settings.h"

#define PORT_MAX 65535
#define CONNECTIONS_MAX 1000000

#define TEXT_FIELD(member, is_required)                           \
	{                                                         \
		.name = #member, .type = MEDLAR_DOC_TEXT,         \
		.offset = offsetof(router_settings_t, member),    \
		.size = sizeof(((router_settings_t *)0)->member), \
		.required = (is_required)                         \
	}
#define INT_FIELD(member, min_value, max_value)                \
	{                                                      \
		.name = #member, .type = MEDLAR_DOC_INT,       \
		.offset = offsetof(router_settings_t, member), \
		.min = (min_value), .max = (max_value)         \
	}
#define REAL_FIELD(member, min_value, max_value)               \
	{                                                      \
		.name = #member, .type = MEDLAR_DOC_REAL,      \
		.offset = offsetof(router_settings_t, member), \
		.min = (min_value), .max = (max_value)         \
	}

static const char *const log_level_names[] = { "error", "warning", "notice",
					       "info",	"debug",   NULL };

static const medlar_doc_field_t settings_fields[] = {
	TEXT_FIELD(instance, true),
	TEXT_FIELD(zone, true),
	TEXT_FIELD(callers, true),
	TEXT_FIELD(readiness, true),
	TEXT_FIELD(directory, true),
	TEXT_FIELD(metrics, false),
	TEXT_FIELD(peers, true),
	TEXT_FIELD(seeds, false),
	TEXT_FIELD(store, true),
	{ .name = "log_level",
	  .type = MEDLAR_DOC_CHOICE,
	  .offset = offsetof(router_settings_t, log_level),
	  .choices = log_level_names },
	REAL_FIELD(retry_ratio, 0, 10),
	REAL_FIELD(retry_slack, 0, 1000000),
	INT_FIELD(retry_window_ms, 100, MEDLAR_HOUR),
	INT_FIELD(grace_ms, 0, MEDLAR_HOUR),
	INT_FIELD(address_ttl_max_ms, MEDLAR_SECOND, MEDLAR_HOUR),
	INT_FIELD(config_apply_ms, MEDLAR_SECOND, MEDLAR_HOUR),
	INT_FIELD(connections_max, 1, CONNECTIONS_MAX),
	{ 0 },
};

static const router_settings_t default_settings = {
	.log_level = LOG_LEVEL_INFO - LOG_LEVEL_ERROR,
	.retry_ratio = 0.1,
	.retry_slack = 10,
	.retry_window_ms = 10 * MEDLAR_SECOND,
	.grace_ms = 6 * MEDLAR_SECOND,
	.address_ttl_max_ms = 5 * MEDLAR_SECOND,
	.config_apply_ms = 3 * MEDLAR_SECOND,
	.connections_max = 4096,
};

/**
 * router_address_parse() - parse an IPv4 address and a port
 * @text: address of the form host:port
 * @out: set to the address
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_SYNTAX.
 */
int router_address_parse(medlar_str_t text, struct sockaddr_in *out)
{
	char copy[SETTINGS_TEXT_MAX];
	char *colon;
	char *end;
	long port;

	if (text.len == 0 || text.len >= sizeof(copy))
		return MEDLAR_ERR_SYNTAX;
	memcpy(copy, text.ptr, text.len);
	copy[text.len] = '\0';
	colon = strrchr(copy, ':');
	if (!colon)
		return MEDLAR_ERR_SYNTAX;
	*colon = '\0';
	port = strtol(colon + 1, &end, 10);
	*out = (struct sockaddr_in){ .sin_family = AF_INET };
	if (!isdigit((unsigned char)colon[1]) || *end || port > PORT_MAX ||
	    inet_pton(AF_INET, copy, &out->sin_addr) != 1)
		return MEDLAR_ERR_SYNTAX;
	out->sin_port = htons((uint16_t)port);
	return MEDLAR_OK;
}

static int check_address(medlar_client_t *client, medlar_str_t file,
			 const char *field, const char *text)
{
	struct sockaddr_in address;
	const medlar_error_report_t report = {
		.error = MEDLAR_ERR_SYNTAX,
		.file = file,
		.field = medlar_str_from(field),
		.advice = MEDLAR_STR("give an IPv4 address and a port, as in "
				     "10.0.0.1:8080"),
	};

	if (!router_address_parse(medlar_str_from(text), &address))
		return MEDLAR_OK;
	medlar_client_report(client, &report);
	return report.error;
}

static int check_addresses(const router_settings_t *settings,
			   medlar_client_t *client, medlar_str_t file)
{
	const struct {
		const char *field;
		const char *text;
	} checks[] = {
		{ "callers", settings->callers },
		{ "readiness", settings->readiness },
		{ "directory", settings->directory },
		{ "peers", settings->peers },
		{ "store", settings->store },
	};
	int error = MEDLAR_OK;

	for (size_t i = 0; i < sizeof(checks) / sizeof(checks[0]); i++)
		if (check_address(client, file, checks[i].field,
				  checks[i].text))
			error = MEDLAR_ERR_SYNTAX;
	if (settings->metrics[0] &&
	    check_address(client, file, "metrics", settings->metrics))
		error = MEDLAR_ERR_SYNTAX;
	return error;
}

/**
 * router_settings_parse() - parse and check settings
 * @settings: set to the settings, with defaults for missing ones
 * @client: client whose error handler is called for every error
 * @file: name of the file for error reports
 * @text: JSON with comments
 *
 * Return: %MEDLAR_OK, or the first error.
 */
int router_settings_parse(router_settings_t *settings, medlar_client_t *client,
			  medlar_str_t file, medlar_str_t text)
{
	int error;

	*settings = default_settings;
	error = medlar_doc_read(client, file, text, settings_fields, settings);
	if (!error)
		error = check_addresses(settings, client, file);
	if (!error)
		settings->log_level += LOG_LEVEL_ERROR;
	return error;
}

/**
 * router_settings_read() - read and check settings from a file
 * @settings: set to the settings, with defaults for missing ones
 * @client: client whose error handler is called for every error
 * @path: name of the file
 *
 * Return: %MEDLAR_OK, or the first error.
 */
int router_settings_read(router_settings_t *settings, medlar_client_t *client,
			 const char *path)
{
	medlar_buf_t text;
	int error;

	medlar_buf_init(&text);
	error = settings_read_text(client, path, &text);
	if (!error)
		error = router_settings_parse(settings, client,
					      medlar_str_from(path),
					      medlar_buf_str(&text));
	medlar_buf_finish(&text);
	return error;
}
