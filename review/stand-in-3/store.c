/**
 * DOC: the platform's store: items, watches, leases, and its return from a copy
 *
 * Speaks PROTOCOL.md, "The platform's metadata store", and the header Store-Era of
 * letter 10. All changes are kept, so that the copy of any revision can be made.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "site.h"

#define CHANGES_MAX 4096
#define LEASES_MAX 4096
#define CONNS_MAX 256
#define ANSWER_MAX ((size_t)1 << 20)

typedef struct change {
	char *key;
	char *value; /* NULL: deleted */
	uint64_t lease;
} change_t;

typedef struct lease {
	uint64_t granted_at; /* revision */
	int64_t ends_at;
	int64_t ttl;
	bool ended;
} lease_t;

/* The change of revision n is changes[n - 1]. */
static change_t changes[CHANGES_MAX];
static uint64_t revision;
static uint64_t era = 1;
static lease_t leases[LEASES_MAX];
static uint64_t leases_len;
static bool is_open = true;
static int conns[CONNS_MAX];
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static char *copy_text(const char *text)
{
	char *copy = text ? strdup(text) : NULL;

	if (text && !copy)
		abort();
	return copy;
}

static void add_change(const char *key, const char *value, uint64_t lease)
{
	if (revision == CHANGES_MAX)
		abort();
	changes[revision] = (change_t){ copy_text(key), copy_text(value),
					lease };
	revision++;
	pthread_cond_broadcast(&changed);
}

/* Revision of the last change of a key; 0 if there is none. */
static uint64_t last_change(const char *key)
{
	for (uint64_t i = revision; i > 0; i--)
		if (strcmp(changes[i - 1].key, key) == 0)
			return i;
	return 0;
}

/** store_put() - write an item as the operator or a replica does; NULL deletes */
void store_put(const char *key, const char *value)
{
	pthread_mutex_lock(&lock);
	add_change(key, value, 0);
	pthread_mutex_unlock(&lock);
}

/** store_has() - whether an item exists */
bool store_has(const char *key)
{
	uint64_t last;
	bool found;

	pthread_mutex_lock(&lock);
	last = last_change(key);
	found = last && changes[last - 1].value;
	pthread_mutex_unlock(&lock);
	return found;
}

/** store_revision() - revision of the last change */
uint64_t store_revision(void)
{
	uint64_t last;

	pthread_mutex_lock(&lock);
	last = revision;
	pthread_mutex_unlock(&lock);
	return last;
}

/** store_is_open() - whether the store answers */
bool store_is_open(void)
{
	return is_open;
}

/** store_set_open() - let the store go away, with its connections, or return */
void store_set_open(bool open)
{
	pthread_mutex_lock(&lock);
	is_open = open;
	for (size_t i = 0; !open && i < CONNS_MAX; i++)
		if (conns[i])
			(void)shutdown(conns[i], SHUT_RDWR);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

/** store_come_back() - go back to the copy of a revision; the era rises */
void store_come_back(uint64_t to)
{
	pthread_mutex_lock(&lock);
	revision = to;
	era++;
	for (uint64_t i = 0; i < leases_len; i++) {
		leases[i].ended |= leases[i].granted_at > to;
		leases[i].ends_at = now_ms() + leases[i].ttl;
	}
	pthread_mutex_unlock(&lock);
}

static void end_lease(uint64_t id)
{
	leases[id - 1].ended = true;
	for (uint64_t i = revision; i > 0; i--)
		if (changes[i - 1].lease == id && changes[i - 1].value &&
		    last_change(changes[i - 1].key) == i)
			add_change(changes[i - 1].key, NULL, 0);
}

static void end_leases(void)
{
	for (uint64_t id = 1; id <= leases_len; id++)
		if (!leases[id - 1].ended &&
		    leases[id - 1].ends_at < now_ms())
			end_lease(id);
}

static const char base64_digits[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *write_base64(char *out, const char *text)
{
	size_t len = strlen(text);

	for (size_t i = 0; i < len; i += 3) {
		unsigned bits = (unsigned)(unsigned char)text[i] << 16;

		bits |= i + 1 < len ? (unsigned)(unsigned char)text[i + 1] << 8
				    : 0;
		bits |= i + 2 < len ? (unsigned char)text[i + 2] : 0;
		*out++ = base64_digits[bits >> 18 & 63];
		*out++ = base64_digits[bits >> 12 & 63];
		*out++ = i + 1 < len ? base64_digits[bits >> 6 & 63] : '=';
		*out++ = i + 2 < len ? base64_digits[bits & 63] : '=';
	}
	return out;
}

static void read_base64(const char *text, char *out, size_t size)
{
	unsigned bits = 0;
	unsigned count = 0;
	size_t len = 0;

	for (; *text && *text != '"' && *text != '='; text++) {
		const char *digit = strchr(base64_digits, *text);

		if (!digit)
			continue;
		bits = bits << 6 | (unsigned)(digit - base64_digits);
		if (++count % 4 != 1 && len + 1 < size)
			out[len++] = (char)(bits >> (6 - 2 * ((count - 1) % 4)));
	}
	out[len] = '\0';
}

static char *write_item(char *out, uint64_t at)
{
	const change_t *change = &changes[at - 1];

	out += sprintf(out, "{\"key\":\"%s\",\"revision\":%llu", change->key,
		       (unsigned long long)at);
	if (!change->value)
		return out + sprintf(out, ",\"tombstone\":true}");
	out += sprintf(out, ",\"created\":%llu,\"lease\":%llu,\"value\":\"",
		       (unsigned long long)at,
		       (unsigned long long)change->lease);
	out = write_base64(out, change->value);
	return out + sprintf(out, "\"}");
}

static char *write_list(char *out)
{
	char *comma = "";

	out += sprintf(out, "{\"items\":[");
	for (uint64_t i = 1; i <= revision; i++) {
		if (!changes[i - 1].value || last_change(changes[i - 1].key) != i)
			continue;
		out += sprintf(out, "%s", comma);
		out = write_item(out, i);
		comma = ",";
	}
	return out + sprintf(out, "],\"morePages\":false,\"storeRevision\":%llu}",
			     (unsigned long long)revision);
}

static char *write_events(char *out, uint64_t after)
{
	out += sprintf(out, "{\"events\":[");
	for (uint64_t i = after + 1; i <= revision; i++) {
		if (i > after + 1)
			out += sprintf(out, ",");
		out = write_item(out, i);
	}
	return out + sprintf(out, "],\"storeRevision\":%llu}",
			     (unsigned long long)revision);
}

static void wait_until(int64_t at)
{
	struct timespec ts;
	int64_t left = at - now_ms();

	clock_gettime(CLOCK_REALTIME, &ts);
	left = left < 1 ? 1 : left > 100 ? 100 : left;
	ts.tv_nsec += left * 1000000;
	ts.tv_sec += ts.tv_nsec / 1000000000;
	ts.tv_nsec %= 1000000000;
	pthread_cond_timedwait(&changed, &lock, &ts);
}

static const char *query_of(const char *head, const char *name)
{
	const char *at = strstr(head, name);

	return at ? at + strlen(name) : "";
}

static int serve_watch(const char *head, char *out)
{
	uint64_t after = strtoull(query_of(head, "after="), NULL, 10);
	int64_t until = now_ms() + atol(query_of(head, "waitMs="));
	uint64_t began_in = era;

	while (is_open && began_in == era && after == revision &&
	       now_ms() < until)
		wait_until(until);
	if (after > revision || began_in != era)
		return 410;
	(void)write_events(out, after);
	return 200;
}

static int serve_lease(const char *body, char *out)
{
	int64_t ttl = atol(query_of(body, "\"ttlMs\":"));

	if (leases_len == LEASES_MAX)
		return 429;
	leases[leases_len++] = (lease_t){ revision + 1, now_ms() + ttl, ttl,
					  false };
	(void)sprintf(out, "{\"lease\":%llu,\"ttlMs\":%lld}",
		      (unsigned long long)leases_len, (long long)ttl);
	return 200;
}

static bool is_lease(uint64_t id)
{
	return id > 0 && id <= leases_len && !leases[id - 1].ended;
}

static int serve_keep(const char *path, char *out)
{
	uint64_t id = strtoull(path, NULL, 10);

	if (!is_lease(id))
		return 404;
	leases[id - 1].ends_at = now_ms() + leases[id - 1].ttl;
	(void)sprintf(out, "{\"lease\":%llu,\"ttlMs\":%lld}",
		      (unsigned long long)id, (long long)leases[id - 1].ttl);
	return 200;
}

/* The one form of transaction that the routers send: a single write. */
static int serve_write(const char *body, char *out)
{
	const char *key = query_of(body, "\"key\":\"");
	uint64_t lease = strtoull(query_of(body, "\"lease\":"), NULL, 10);
	char name[TEXT_MAX];
	char value[TEXT_MAX];

	(void)snprintf(name, sizeof(name), "%.*s", (int)strcspn(key, "\""),
		       key);
	read_base64(query_of(body, "\"value\":\""), value, sizeof(value));
	if (lease && !is_lease(lease))
		return 404;
	add_change(name, value, lease);
	(void)sprintf(out, "{\"revision\":%llu}", (unsigned long long)revision);
	return 200;
}

static int serve_call(const message_t *call, char *out)
{
	const char *path = strchr(call->head, ' ');

	path = path ? path + 1 : "";
	end_leases();
	if (strncmp(path, "/api/kv-range", 13) == 0) {
		(void)write_list(out);
		return 200;
	}
	if (strncmp(path, "/api/kv-watch", 13) == 0)
		return serve_watch(path, out);
	if (strncmp(path, "/api/kv-keep/", 13) == 0)
		return serve_keep(path + 13, out);
	if (strncmp(path, "/api/kv-lease-end/", 18) == 0) {
		if (is_lease(strtoull(path + 18, NULL, 10)))
			end_lease(strtoull(path + 18, NULL, 10));
		return 200;
	}
	if (strncmp(path, "/api/kv-lease", 13) == 0)
		return serve_lease(call->body, out);
	if (strncmp(path, "/api/kv-txn", 11) == 0)
		return serve_write(call->body, out);
	return 404;
}

static void note_conn(int fd, bool opened)
{
	for (size_t i = 0; i < CONNS_MAX; i++)
		if (conns[i] == (opened ? 0 : fd)) {
			conns[i] = opened ? fd : 0;
			return;
		}
}

static void *serve_conn(void *data)
{
	accepted_t *accepted = data;
	stream_t *stream = calloc(1, sizeof(*stream));
	message_t *call = calloc(1, sizeof(*call));
	char *body = malloc(ANSWER_MAX);
	bool goes_on = stream && call && body;
	char head[TEXT_MAX];

	if (stream)
		stream->fd = accepted->fd;
	pthread_mutex_lock(&lock);
	goes_on = goes_on && is_open;
	note_conn(accepted->fd, true);
	pthread_mutex_unlock(&lock);
	while (goes_on && read_message(stream, call)) {
		int status;

		body[0] = '\0';
		pthread_mutex_lock(&lock);
		status = is_open ? serve_call(call, body) : 0;
		goes_on = is_open && status;
		(void)snprintf(head, sizeof(head),
			       "HTTP/1.1 %d Done\r\nStore-Era: %llu\r\n"
			       "Content-Type: application/json\r\n"
			       "Content-Length: %zu\r\n\r\n",
			       status, (unsigned long long)era, strlen(body));
		pthread_mutex_unlock(&lock);
		goes_on = goes_on &&
			  send_text(accepted->fd, head, strlen(head)) &&
			  send_text(accepted->fd, body, strlen(body));
	}
	pthread_mutex_lock(&lock);
	note_conn(accepted->fd, false);
	pthread_mutex_unlock(&lock);
	close(accepted->fd);
	free(accepted);
	free(stream);
	free(call);
	free(body);
	return NULL;
}

/** store_start() - serve the store on a port */
void store_start(int port)
{
	serve(port, serve_conn, NULL);
}
