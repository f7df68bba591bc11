/**
 * DOC: settings of the daemon, read from a JSON file with comments
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "medlard/log.h"
#include "medlard/settings.h"

#define FILE_MAX ((size_t)1 << 20)
#define PORT_MAX 65535
#define LISTEN_MAX 4
#define PEERS_MAX 64
#define OPERATORS_MAX 64
#define THREADS_MAX 16
#define RATE_MAX 2000
#define BODY_MAX (64 << 20)
#define CONNECTIONS_MAX 4096

#define PORT_FIELD(struct_type, member, is_required)               \
	{                                                          \
		.name = #member, .type = MEDLAR_DOC_INT,           \
		.offset = offsetof(struct_type, member), .min = 1, \
		.max = PORT_MAX, .required = (is_required)         \
	}
#define TEXT_FIELD(struct_type, member, is_required)        \
	{                                                   \
		.name = #member, .type = MEDLAR_DOC_TEXT,   \
		.offset = offsetof(struct_type, member),    \
		.size = sizeof(((struct_type *)0)->member), \
		.required = (is_required)                   \
	}
#define INT_FIELD(struct_type, member, lowest, highest)                   \
	{                                                                 \
		.name = #member, .type = MEDLAR_DOC_INT,                  \
		.offset = offsetof(struct_type, member), .min = (lowest), \
		.max = (highest)                                          \
	}

static const char *const level_names[] = { "error", "warning", "notice",
					   "info",  "debug",   NULL };

static const medlar_doc_field_t listen_fields[] = {
	TEXT_FIELD(endpoint_t, host, true),
	PORT_FIELD(endpoint_t, port, true),
	{ 0 },
};

static const medlar_doc_field_t platform_fields[] = {
	TEXT_FIELD(platform_settings_t, host, true),
	PORT_FIELD(platform_settings_t, port, true),
	INT_FIELD(platform_settings_t, rate, 1, RATE_MAX),
	INT_FIELD(platform_settings_t, timeout_ms, 10, MEDLAR_MINUTE),
	INT_FIELD(platform_settings_t, list_ms, 100, MEDLAR_MINUTE),
	{ 0 },
};

static const medlar_doc_field_t peer_fields[] = {
	TEXT_FIELD(peer_setting_t, name, true),
	TEXT_FIELD(peer_setting_t, host, true),
	PORT_FIELD(peer_setting_t, port, true),
	PORT_FIELD(peer_setting_t, peer_port, false),
	TEXT_FIELD(peer_setting_t, zone, true),
	{ 0 },
};

static const char *const role_names[] = { "product", "operations", NULL };

static const medlar_doc_field_t operator_fields[] = {
	TEXT_FIELD(operator_setting_t, name, true),
	{ .name = "role",
	  .type = MEDLAR_DOC_CHOICE,
	  .offset = offsetof(operator_setting_t, role),
	  .choices = role_names,
	  .required = true },
	TEXT_FIELD(operator_setting_t, token_hash, true),
	{ 0 },
};

static const medlar_doc_field_t fields[] = {
	TEXT_FIELD(settings_t, name, true),
	TEXT_FIELD(settings_t, zone, true),
	{ .name = "listen",
	  .type = MEDLAR_DOC_ARRAY,
	  .offset = offsetof(settings_t, listen),
	  .size = sizeof(endpoint_t),
	  .min = 1,
	  .max = LISTEN_MAX,
	  .fields = listen_fields,
	  .required = true },
	{ .name = "platform",
	  .type = MEDLAR_DOC_OBJECT,
	  .offset = offsetof(settings_t, platform),
	  .fields = platform_fields,
	  .required = true },
	INT_FIELD(settings_t, threads, 1, THREADS_MAX),
	{ .name = "log_level",
	  .type = MEDLAR_DOC_CHOICE,
	  .offset = offsetof(settings_t, log_level),
	  .choices = level_names },
	{ .name = "peers",
	  .type = MEDLAR_DOC_ARRAY,
	  .offset = offsetof(settings_t, peers),
	  .size = sizeof(peer_setting_t),
	  .max = PEERS_MAX,
	  .fields = peer_fields },
	{ .name = "operators",
	  .type = MEDLAR_DOC_ARRAY,
	  .offset = offsetof(settings_t, operators),
	  .size = sizeof(operator_setting_t),
	  .max = OPERATORS_MAX,
	  .fields = operator_fields },
	PORT_FIELD(settings_t, peer_port, false),
	TEXT_FIELD(settings_t, peer_key, false),
	INT_FIELD(settings_t, body_max, 1, BODY_MAX),
	INT_FIELD(settings_t, reply_max, 1, BODY_MAX),
	INT_FIELD(settings_t, connections_max, 1, CONNECTIONS_MAX),
	INT_FIELD(settings_t, request_ms, 100, MEDLAR_HOUR),
	INT_FIELD(settings_t, idle_ms, 1000, MEDLAR_HOUR),
	INT_FIELD(settings_t, stop_ms, 0, MEDLAR_HOUR),
	{ 0 },
};

static const settings_t defaults = {
	.platform = { .rate = 100, .timeout_ms = 1000, .list_ms = 1000 },
	.threads = 2,
	.log_level = LOG_LEVEL_INFO - LOG_LEVEL_ERROR,
	.body_max = 1 << 20,
	.reply_max = 8 << 20,
	.connections_max = 1024,
	.request_ms = 10 * MEDLAR_SECOND,
	.idle_ms = MEDLAR_MINUTE,
	.stop_ms = 2 * MEDLAR_MINUTE,
};

static bool is_address(const char *host)
{
	unsigned char parsed[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, host, parsed) == 1 ||
	       inet_pton(AF_INET6, host, parsed) == 1;
}

static int check_host(medlar_client_t *client, medlar_str_t file,
		      const char *host, const char *field)
{
	const medlar_error_report_t report = {
		.error = MEDLAR_ERR_RANGE,
		.file = file,
		.field = medlar_str_from(field),
		.advice = MEDLAR_STR("use an IP address; host names are not "
				     "resolved"),
	};

	if (is_address(host))
		return MEDLAR_OK;
	medlar_client_report(client, &report);
	return report.error;
}

static int check_hosts(const settings_t *settings, medlar_client_t *client,
		       medlar_str_t file)
{
	const endpoint_t *listen = settings->listen.items;
	const peer_setting_t *peers = settings->peers.items;
	int error;

	error = check_host(client, file, settings->platform.host,
			   "platform.host");
	for (size_t i = 0; i < settings->listen.len; i++)
		if (check_host(client, file, listen[i].host, "listen[].host"))
			error = MEDLAR_ERR_RANGE;
	for (size_t i = 0; i < settings->peers.len; i++)
		if (check_host(client, file, peers[i].host, "peers[].host"))
			error = MEDLAR_ERR_RANGE;
	return error;
}

/**
 * settings_parse() - parse settings
 * @settings: memory provided by the caller; needs settings_finish() only on
 *	success
 * @client: its error handler gets every error
 * @file: file name for error reports
 * @text: JSON with comments
 *
 * Return: %MEDLAR_OK, or the first error.
 */
int settings_parse(settings_t *settings, medlar_client_t *client,
		   medlar_str_t file, medlar_str_t text)
{
	int error;

	*settings = defaults;
	error = medlar_doc_read(client, file, text, fields, settings);
	if (!error)
		error = check_hosts(settings, client, file);
	if (error) {
		settings_finish(settings);
		return error;
	}
	settings->log_level += LOG_LEVEL_ERROR;
	return MEDLAR_OK;
}

static int read_file(const char *path, medlar_buf_t *out)
{
	char chunk[4096];
	ssize_t got = 0;
	int fd;

	fd = open(path, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return MEDLAR_ERR_IO;
	while (out->len <= FILE_MAX &&
	       (got = read(fd, chunk, sizeof(chunk))) > 0)
		medlar_buf_add(out, (medlar_str_t){ chunk, (size_t)got });
	close(fd);
	if (got < 0)
		return MEDLAR_ERR_IO;
	return out->len > FILE_MAX ? MEDLAR_ERR_TOO_LARGE : out->error;
}

/**
 * settings_read_text() - read the text of a settings file
 * @client: its error handler gets the reason if the file cannot be read
 * @path: path of the file
 * @out: buffer to which the text is appended
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_IO, %MEDLAR_ERR_TOO_LARGE or
 * %MEDLAR_ERR_NOMEM.
 */
int settings_read_text(medlar_client_t *client, const char *path,
		       medlar_buf_t *out)
{
	const medlar_error_report_t report = {
		.error = read_file(path, out),
		.file = medlar_str_from(path),
		.advice = MEDLAR_STR(
			"check the path and the permissions of the file"),
	};

	if (report.error)
		medlar_client_report(client, &report);
	return report.error;
}

/**
 * settings_read() - read settings from a file
 * @settings: memory provided by the caller; needs settings_finish() only on
 *	success
 * @client: its error handler gets every error
 * @path: path of the file
 *
 * Return: %MEDLAR_OK, or the first error.
 */
int settings_read(settings_t *settings, medlar_client_t *client,
		  const char *path)
{
	medlar_buf_t text;
	int error;

	medlar_buf_init(&text);
	error = settings_read_text(client, path, &text);
	if (!error)
		error = settings_parse(settings, client, medlar_str_from(path),
				       medlar_buf_str(&text));
	medlar_buf_finish(&text);
	return error;
}

/**
 * settings_finish() - free what settings hold
 * @settings: settings that were read
 */
void settings_finish(settings_t *settings)
{
	medlar_doc_free(fields, settings);
}

/**
 * settings_public_address() - get the address that callers are told to use
 * @settings: settings
 *
 * Return: the first address that this instance listens on.
 */
const endpoint_t *settings_public_address(const settings_t *settings)
{
	return settings->listen.items;
}

static bool is_same_listen(const settings_t *a, const settings_t *b)
{
	const endpoint_t *x = a->listen.items;
	const endpoint_t *y = b->listen.items;

	if (a->listen.len != b->listen.len)
		return false;
	for (size_t i = 0; i < a->listen.len; i++)
		if (x[i].port != y[i].port || strcmp(x[i].host, y[i].host) != 0)
			return false;
	return true;
}

/**
 * settings_find_restart_field() - find a changed field that requires a restart
 * @old_settings: settings in use
 * @new_settings: settings just read
 *
 * Only log_level and stop_ms can change while the daemon runs.
 *
 * Return: name of the first such field, or NULL.
 */
const char *settings_find_restart_field(const settings_t *old_settings,
					const settings_t *new_settings)
{
	const settings_t *a = old_settings;
	const settings_t *b = new_settings;
	const struct {
		const char *field;
		bool same;
	} checks[] = {
		{ "name", strcmp(a->name, b->name) == 0 },
		{ "zone", strcmp(a->zone, b->zone) == 0 },
		{ "listen", is_same_listen(a, b) },
		{ "platform.host",
		  strcmp(a->platform.host, b->platform.host) == 0 },
		{ "platform.port", a->platform.port == b->platform.port },
		{ "platform.rate", a->platform.rate == b->platform.rate },
		{ "platform.timeout_ms",
		  a->platform.timeout_ms == b->platform.timeout_ms },
		{ "platform.list_ms",
		  a->platform.list_ms == b->platform.list_ms },
		{ "threads", a->threads == b->threads },
		{ "peers", a->peers.len == b->peers.len },
		{ "peer_port", a->peer_port == b->peer_port },
		{ "peer_key", strcmp(a->peer_key, b->peer_key) == 0 },
		{ "body_max", a->body_max == b->body_max },
		{ "reply_max", a->reply_max == b->reply_max },
		{ "connections_max", a->connections_max == b->connections_max },
		{ "request_ms", a->request_ms == b->request_ms },
		{ "idle_ms", a->idle_ms == b->idle_ms },
	};

	for (size_t i = 0; i < sizeof(checks) / sizeof(checks[0]); i++)
		if (!checks[i].same)
			return checks[i].field;
	return NULL;
}
