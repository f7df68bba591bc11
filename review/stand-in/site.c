/**
 * DOC: stand-ins for the platform, its replicas and its clients
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "site.h"

#define STORE_IP "127.0.1.200"
#define STORE_LATENCY_MS 4
#define ITEMS_MAX 512
#define EVENTS_MAX 65536
#define LEASES_MAX 1024
#define PAGE_ITEMS_MAX 500
#define MESSAGE_BYTES_MAX ((size_t)256 * 1024)
/* An entry of a replica is removed after this many silent heartbeats. */
#define SILENT_BEATS 3

router_t routers[ROUTERS_MAX];
replica_t replicas[REPLICAS_MAX];
int replicas_len;
bool trouble = true;
int retry_slack = 56;

static const char *binary;
static const char *dir;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec started;
static int base_port;
static uint64_t random_state = 88172645463325252ULL;
static pthread_mutex_t random_lock = PTHREAD_MUTEX_INITIALIZER;

/** now_ms() - steady time since the start of the run */
double now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - started.tv_sec) * 1e3 +
	       (double)(now.tv_nsec - started.tv_nsec) / 1e6;
}

void pause_ms(double ms)
{
	struct timespec span = { (time_t)(ms / 1000),
				 (long)((ms - 1000 * (long)(ms / 1000)) *
					1e6) };

	if (ms > 0)
		nanosleep(&span, NULL);
}

void wait_until(double at)
{
	pause_ms(at - now_ms());
}

/** draw() - a random number from 0 to below 1, of a seeded sequence */
double draw(void)
{
	uint64_t value;

	pthread_mutex_lock(&random_lock);
	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	value = random_state >> 11;
	pthread_mutex_unlock(&random_lock);
	return (double)value / 9007199254740992.0;
}

/** record() - write a line with the time in ms to record.txt */
void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%9.1f ", now_ms());
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

/** give_up() - end with status 2: the case could not run */
void give_up(const char *format, ...)
{
	va_list args;

	fprintf(stderr, "could not run: ");
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
	site_finish();
	_exit(2);
}

static int64_t wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Sockets. */

static struct sockaddr_in address_of(const char *ip, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &address.sin_addr);
	return address;
}

static int listen_on(const char *ip, int port)
{
	struct sockaddr_in address = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 256)) {
		close(fd);
		return -1;
	}
	return fd;
}

static int connect_to(const char *ip, int port, int timeout)
{
	struct sockaddr_in address = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd ready = { .fd = fd, .events = POLLOUT };
	socklen_t len = sizeof(int);
	int error = 0;
	int one = 1;

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    errno != EINPROGRESS)
		error = errno;
	else if (poll(&ready, 1, timeout) <= 0 ||
		 getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len))
		error = ETIMEDOUT;
	if (error) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static bool send_all(int fd, const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t done = send(fd, bytes, len, MSG_NOSIGNAL);

		if (done <= 0)
			return false;
		bytes += done;
		len -= (size_t)done;
	}
	return true;
}

/* A connection and what was read of it beyond the last message. */
typedef struct reader {
	int fd;
	char *bytes;
	size_t len;
	size_t used; /* length of the current message */
	size_t head_len;
} reader_t;

static void reader_init(reader_t *reader, int fd)
{
	*reader = (reader_t){ .fd = fd };
	reader->bytes = malloc(MESSAGE_BYTES_MAX + 1);
}

static void reader_finish(reader_t *reader)
{
	free(reader->bytes);
	close(reader->fd);
}

/* Copies the value of a header; false if there is none. */
static bool find_header(const char *head, const char *name, char *out,
			size_t size)
{
	const char *line = strstr(head, "\r\n");
	size_t len = strlen(name);

	while (line && line[2] != '\r') {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			const char *value = line + len + 1;
			size_t value_len;

			value += strspn(value, " ");
			value_len = strcspn(value, "\r\n");
			if (value_len >= size)
				value_len = size - 1;
			memcpy(out, value, value_len);
			out[value_len] = '\0';
			return true;
		}
		line = strstr(line, "\r\n");
	}
	out[0] = '\0';
	return false;
}

/* Reads a message with a length; false at the end of the connection. */
static bool read_message(reader_t *reader, int timeout)
{
	double until = now_ms() + timeout;
	size_t total = 0;

	memmove(reader->bytes, reader->bytes + reader->used,
		reader->len - reader->used);
	reader->len -= reader->used;
	reader->used = 0;
	for (;;) {
		struct pollfd ready = { .fd = reader->fd, .events = POLLIN };
		char length[32];
		char *end;
		ssize_t got;
		int wait = timeout < 0 ? -1 : (int)(until - now_ms()) + 1;

		reader->bytes[reader->len] = '\0';
		end = strstr(reader->bytes, "\r\n\r\n");
		if (end && total == 0) {
			reader->head_len = (size_t)(end - reader->bytes) + 4;
			total = reader->head_len;
			if (find_header(reader->bytes, "Content-Length", length,
					sizeof(length)))
				total += (size_t)atol(length);
		}
		if (total && reader->len >= total) {
			reader->used = total;
			return true;
		}
		if (reader->len == MESSAGE_BYTES_MAX ||
		    (timeout >= 0 && wait <= 0) || poll(&ready, 1, wait) <= 0)
			return false;
		got = recv(reader->fd, reader->bytes + reader->len,
			   MESSAGE_BYTES_MAX - reader->len, 0);
		if (got <= 0)
			return false;
		reader->len += (size_t)got;
	}
}

/** start_thread() - start a thread that nobody waits for */
void start_thread(void *(*run)(void *), void *data)
{
	pthread_t thread;
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, (size_t)256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, run, data))
		give_up("no thread");
	pthread_attr_destroy(&attr);
}

/* The store. */

typedef struct item {
	char key[208];
	char *value; /* base64; NULL if deleted */
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
	double written_at;
} item_t;

typedef struct lease {
	uint64_t id;
	long ttl;
	double ends_at;
} lease_t;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	item_t items[ITEMS_MAX];
	size_t items_len;
	item_t events[EVENTS_MAX];
	size_t events_len;
	lease_t leases[LEASES_MAX];
	size_t leases_len;
	uint64_t revision;
	int listener;
	int port;
	char address[64];
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .changed = PTHREAD_COND_INITIALIZER };

typedef struct text {
	char *bytes;
	size_t len;
	size_t size;
} text_t;

static void add_text(text_t *text, const char *format, ...)
{
	va_list args;
	int len;

	va_start(args, format);
	len = vsnprintf(NULL, 0, format, args);
	va_end(args);
	if (text->len + (size_t)len + 1 > text->size) {
		text->size = 2 * (text->len + (size_t)len + 1);
		text->bytes = realloc(text->bytes, text->size);
	}
	va_start(args, format);
	vsnprintf(text->bytes + text->len, (size_t)len + 1, format, args);
	va_end(args);
	text->len += (size_t)len;
}

static char *encode_base64(const char *text)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
		"qrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc(4 * ((len + 2) / 3) + 1);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		unsigned a = (unsigned char)text[i];
		unsigned b = i + 1 < len ? (unsigned char)text[i + 1] : 0;
		unsigned c = i + 2 < len ? (unsigned char)text[i + 2] : 0;
		unsigned bits = a << 16 | b << 8 | c;

		*at++ = digits[bits >> 18];
		*at++ = digits[bits >> 12 & 63];
		*at++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
		*at++ = i + 2 < len ? digits[bits & 63] : '=';
	}
	*at = '\0';
	return out;
}

static item_t *find_item(const char *key)
{
	for (size_t i = 0; i < store.items_len; i++)
		if (strcmp(store.items[i].key, key) == 0)
			return &store.items[i];
	return NULL;
}

static lease_t *find_lease(uint64_t id)
{
	for (size_t i = 0; i < store.leases_len; i++)
		if (store.leases[i].id == id)
			return &store.leases[i];
	return NULL;
}

/* The lock is held. Takes over the value; NULL deletes the item. */
static void write_item(const char *key, char *value, uint64_t lease)
{
	item_t *item = find_item(key);

	if (!item && !value)
		return;
	if (!item) {
		if (store.items_len == ITEMS_MAX)
			give_up("too many items");
		item = &store.items[store.items_len++];
		*item = (item_t){ 0 };
		snprintf(item->key, sizeof(item->key), "%s", key);
	}
	item->value = value;
	item->revision = ++store.revision;
	item->created = item->created ? item->created : store.revision;
	item->lease = lease;
	item->written_at = now_ms();
	if (store.events_len == EVENTS_MAX)
		give_up("too many events");
	store.events[store.events_len++] = *item;
	if (!value)
		*item = store.items[--store.items_len];
	pthread_cond_broadcast(&store.changed);
}

/** store_put() - write an item, as the operator or a replica does */
void store_put(const char *key, const char *text)
{
	pthread_mutex_lock(&store.lock);
	write_item(key, encode_base64(text), 0);
	pthread_mutex_unlock(&store.lock);
}

/** store_remove() - delete an item */
void store_remove(const char *key)
{
	pthread_mutex_lock(&store.lock);
	write_item(key, NULL, 0);
	pthread_mutex_unlock(&store.lock);
}

void store_configure(const char *json)
{
	store_put("op/config", json);
}

const char *store_address(void)
{
	return store.address;
}

void store_ip_port(char *ip, int *port)
{
	strcpy(ip, STORE_IP);
	*port = store.port;
}

static void get_arg(const char *target, const char *name, char *out,
		    size_t size)
{
	const char *at = strchr(target, '?');
	size_t len = strlen(name);
	size_t used = 0;

	out[0] = '\0';
	while (at) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			for (at += len + 1;
			     *at && *at != '&' && *at != ' ' && used + 1 < size;
			     at++) {
				unsigned byte;

				if (*at == '%' &&
				    sscanf(at + 1, "%2x", &byte)) {
					out[used++] = (char)byte;
					at += 2;
				} else {
					out[used++] = *at;
				}
			}
			out[used] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

static void add_item(text_t *out, const item_t *item, bool first)
{
	if (!first)
		add_text(out, ",");
	if (item->value)
		add_text(out,
			 "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lu,"
			 "\"created\":%lu,\"lease\":%lu}",
			 item->key, item->value, (unsigned long)item->revision,
			 (unsigned long)item->created,
			 (unsigned long)item->lease);
	else
		add_text(out,
			 "{\"key\":\"%s\",\"revision\":%lu,\"tombstone\":true}",
			 item->key, (unsigned long)item->revision);
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(((const item_t *)a)->key, ((const item_t *)b)->key);
}

static void answer_range(const char *target, text_t *out)
{
	char prefix[208];
	char after[208];
	size_t listed = 0;
	bool more = false;

	get_arg(target, "pathPrefix", prefix, sizeof(prefix));
	get_arg(target, "after", after, sizeof(after));
	pthread_mutex_lock(&store.lock);
	qsort(store.items, store.items_len, sizeof(item_t), compare_keys);
	add_text(out, "{\"items\":[");
	for (size_t i = 0; i < store.items_len; i++) {
		const item_t *item = &store.items[i];

		if (strncmp(item->key, prefix, strlen(prefix)) ||
		    strcmp(item->key, after) <= 0)
			continue;
		if (listed == PAGE_ITEMS_MAX) {
			more = true;
			break;
		}
		add_item(out, item, listed++ == 0);
	}
	add_text(out, "],\"morePages\":%s,\"storeRevision\":%lu}",
		 more ? "true" : "false", (unsigned long)store.revision);
	pthread_mutex_unlock(&store.lock);
}

static bool add_events(text_t *out, const char *prefix, uint64_t after)
{
	bool first = true;

	for (size_t i = 0; i < store.events_len; i++) {
		const item_t *event = &store.events[i];

		if (event->revision <= after ||
		    strncmp(event->key, prefix, strlen(prefix)))
			continue;
		add_item(out, event, first);
		first = false;
	}
	return !first;
}

static void answer_watch(const char *target, text_t *out)
{
	char prefix[208];
	char number[32];
	uint64_t after;
	double until;
	bool any;

	get_arg(target, "pathPrefix", prefix, sizeof(prefix));
	get_arg(target, "after", number, sizeof(number));
	after = strtoull(number, NULL, 10);
	get_arg(target, "waitMs", number, sizeof(number));
	until = now_ms() + atof(number);
	pthread_mutex_lock(&store.lock);
	add_text(out, "{\"events\":[");
	while (!(any = add_events(out, prefix, after)) && now_ms() < until) {
		struct timespec at;

		clock_gettime(CLOCK_REALTIME, &at);
		at.tv_nsec += 10000000;
		if (at.tv_nsec >= 1000000000) {
			at.tv_nsec -= 1000000000;
			at.tv_sec++;
		}
		pthread_cond_timedwait(&store.changed, &store.lock, &at);
	}
	add_text(out, "],\"storeRevision\":%lu}",
		 (unsigned long)store.revision);
	pthread_mutex_unlock(&store.lock);
}

static void get_field(const char *body, const char *name, char *out,
		      size_t size)
{
	char quoted[64];
	const char *at;
	size_t len;

	snprintf(quoted, sizeof(quoted), "\"%s\":", name);
	at = strstr(body, quoted);
	out[0] = '\0';
	if (!at)
		return;
	at += strlen(quoted);
	if (*at == '"')
		len = strcspn(++at, "\"");
	else
		len = strspn(at, "0123456789");
	if (len >= size)
		len = size - 1;
	memcpy(out, at, len);
	out[len] = '\0';
}

/* Routers write one item at a time, without a condition. */
static int answer_txn(const char *body, text_t *out)
{
	char key[208];
	char number[32];
	char *value = malloc(strlen(body) + 1);
	uint64_t lease;
	int status = 200;

	get_field(body, "key", key, sizeof(key));
	get_field(body, "value", value, strlen(body) + 1);
	get_field(body, "lease", number, sizeof(number));
	lease = strtoull(number, NULL, 10);
	pthread_mutex_lock(&store.lock);
	if (lease && !find_lease(lease)) {
		status = 404;
		free(value);
	} else {
		write_item(key, value, lease);
		add_text(out, "{\"revision\":%lu}",
			 (unsigned long)store.revision);
	}
	pthread_mutex_unlock(&store.lock);
	return status;
}

static void answer_grant(const char *body, text_t *out)
{
	char number[32];
	lease_t *lease;

	get_field(body, "ttlMs", number, sizeof(number));
	pthread_mutex_lock(&store.lock);
	if (store.leases_len == LEASES_MAX)
		give_up("too many leases");
	lease = &store.leases[store.leases_len];
	*lease = (lease_t){ .id = 7000 + ++store.leases_len,
			    .ttl = atol(number) };
	lease->ends_at = now_ms() + (double)lease->ttl;
	add_text(out, "{\"lease\":%lu,\"ttlMs\":%ld}", (unsigned long)lease->id,
		 lease->ttl);
	pthread_mutex_unlock(&store.lock);
}

static void end_lease(lease_t *lease)
{
	for (size_t i = store.items_len; i > 0; i--)
		if (store.items[i - 1].lease == lease->id)
			write_item(store.items[i - 1].key, NULL, 0);
	lease->id = 0;
}

static int answer_lease(uint64_t id, bool renew, text_t *out)
{
	lease_t *lease;
	int status = 200;

	pthread_mutex_lock(&store.lock);
	lease = id ? find_lease(id) : NULL;
	if (!lease) {
		status = 404;
	} else if (renew) {
		lease->ends_at = now_ms() + (double)lease->ttl;
		add_text(out, "{\"ttlMs\":%ld}", lease->ttl);
	} else {
		end_lease(lease);
		add_text(out, "{}");
	}
	pthread_mutex_unlock(&store.lock);
	return status;
}

static int answer_store_call(const char *head, const char *body, text_t *out)
{
	char method[16];
	char target[1024];
	const char *id;

	if (sscanf(head, "%15s %1023s", method, target) != 2)
		return 400;
	id = strrchr(target, '/') + 1;
	if (strncmp(target, "/api/kv-range", 13) == 0)
		answer_range(target, out);
	else if (strncmp(target, "/api/kv-watch", 13) == 0)
		answer_watch(target, out);
	else if (strcmp(target, "/api/kv-txn") == 0)
		return answer_txn(body, out);
	else if (strcmp(target, "/api/kv-lease") == 0)
		answer_grant(body, out);
	else if (strncmp(target, "/api/kv-keep/", 13) == 0)
		return answer_lease(strtoull(id, NULL, 10), true, out);
	else if (strncmp(target, "/api/kv-lease-end/", 18) == 0)
		return answer_lease(strtoull(id, NULL, 10), false, out);
	else
		return 404;
	return 200;
}

static void *serve_store_conn(void *data)
{
	reader_t reader;

	reader_init(&reader, (int)(intptr_t)data);
	while (read_message(&reader, -1)) {
		text_t body = { 0 };
		text_t answer = { 0 };
		char after = reader.bytes[reader.used];
		int status;

		reader.bytes[reader.used] = '\0';
		status = answer_store_call(
			reader.bytes, reader.bytes + reader.head_len, &body);
		reader.bytes[reader.used] = after;
		pause_ms(STORE_LATENCY_MS);
		add_text(&answer,
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 status, body.len, body.bytes ? body.bytes : "");
		free(body.bytes);
		if (!send_all(reader.fd, answer.bytes, answer.len)) {
			free(answer.bytes);
			break;
		}
		free(answer.bytes);
	}
	reader_finish(&reader);
	return NULL;
}

static void set_nodelay(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

static void *accept_store_conns(void *data)
{
	int fd;

	(void)data;
	while ((fd = accept4(store.listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		set_nodelay(fd);
		start_thread(serve_store_conn, (void *)(intptr_t)fd);
	}
	return NULL;
}

/* Ends leases, and removes entries of replicas that are silent. */
static void *expire_items(void *data)
{
	(void)data;
	for (;;) {
		double now = now_ms();

		pthread_mutex_lock(&store.lock);
		for (size_t i = 0; i < store.leases_len; i++)
			if (store.leases[i].id && store.leases[i].ends_at < now)
				end_lease(&store.leases[i]);
		for (size_t i = store.items_len; i > 0; i--) {
			const item_t *item = &store.items[i - 1];

			if (strncmp(item->key, "servers/", 8) == 0 &&
			    now - item->written_at >
				    SILENT_BEATS * HEARTBEAT_MS) {
				record("store: %s is silent, entry removed",
				       item->key);
				write_item(item->key, NULL, 0);
			}
		}
		pthread_mutex_unlock(&store.lock);
		pause_ms(50);
	}
	return NULL;
}

/** store_start() - start the platform's store */
void store_start(void)
{
	store.revision = 100;
	store.port = base_port + 6;
	store.listener = listen_on(STORE_IP, store.port);
	if (store.listener < 0)
		give_up("store cannot listen");
	snprintf(store.address, sizeof(store.address), "%s:%d", STORE_IP,
		 store.port);
	start_thread(accept_store_conns, NULL);
	start_thread(expire_items, NULL);
}

/* Replicas. */

static void write_entry(replica_t *replica)
{
	char key[208];
	char value[512];

	snprintf(key, sizeof(key), "servers/%s", replica->id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
		 "\"warmupLeftMs\":0,\"seq\":%u,\"born\":%lld}",
		 replica->service, replica->ip, replica->port, replica->zone,
		 replica->slots, ++replica->seq, (long long)replica->born);
	store_put(key, value);
	replica->beat_at = now_ms();
}

static void *send_heartbeats(void *data)
{
	replica_t *replica = data;
	unsigned start = replica->starts;

	while (replica->up && replica->starts == start) {
		if (replica->beats)
			write_entry(replica);
		for (int i = 0; i < HEARTBEAT_MS / 10 && replica->up &&
				replica->starts == start;
		     i++)
			pause_ms(10);
	}
	return NULL;
}

/* Sends an answer; echoes the id, as all answers of replicas do. */
static void write_answer(const replica_t *replica, const request_t *request,
			 int status, bool ran, text_t *out)
{
	char body[192] = "";

	if (ran)
		snprintf(body, sizeof(body), "ran %s at %s", request->id,
			 replica->id);
	add_text(out, "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n", status,
		 request->id);
	if (ran)
		add_text(out, "X-Server-Stamp: %s.%s\r\n", replica->id,
			 request->id);
	else
		add_text(out, "X-Not-Executed: 1\r\n");
	if (status == 503 && replica->retry_after)
		add_text(out, "Retry-After: %d\r\n", replica->retry_after);
	add_text(out, "X-Server-Load: %d,%d,%d\r\n", replica->running,
		 replica->waiting, replica->slots);
	if (replica->leaving)
		add_text(out, "Server-Leaving: 1\r\nConnection: close\r\n");
	else
		add_text(out, "Keep-Alive: timeout=10\r\n");
	add_text(out, "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
}

typedef enum entry {
	ENTRY_RUNS,
	ENTRY_FULL,
	ENTRY_ENDED
} entry_t;

/* Takes a slot, or waits for one if the queue has room. */
static entry_t enter(replica_t *replica, unsigned start)
{
	entry_t entry = ENTRY_RUNS;

	pthread_mutex_lock(&replica->lock);
	if (replica->starts == start && replica->running >= replica->slots) {
		if (replica->waiting >= replica->queue) {
			entry = ENTRY_FULL;
		} else {
			replica->waiting++;
			while (replica->running >= replica->slots &&
			       replica->starts == start)
				pthread_cond_wait(&replica->freed,
						  &replica->lock);
			replica->waiting--;
		}
	}
	if (replica->starts != start)
		entry = ENTRY_ENDED;
	if (entry == ENTRY_RUNS)
		replica->running++;
	pthread_mutex_unlock(&replica->lock);
	return entry;
}

static void leave(replica_t *replica, unsigned start)
{
	pthread_mutex_lock(&replica->lock);
	if (replica->starts == start)
		replica->running--;
	pthread_cond_signal(&replica->freed);
	pthread_mutex_unlock(&replica->lock);
}

static void *crash_and_return(void *data)
{
	replica_t *replica = data;

	replica_stop(replica);
	pause_ms((double)replica->down_ms);
	replica_start(replica);
	return NULL;
}

/* Several requests may crash the same start of a replica; it crashes once. */
static void begin_crash(replica_t *replica, unsigned start)
{
	bool is_first;

	pthread_mutex_lock(&replica->lock);
	is_first = replica->starts == start && !replica->crashing;
	replica->crashing = true;
	pthread_mutex_unlock(&replica->lock);
	if (is_first)
		start_thread(crash_and_return, replica);
}

typedef struct served_conn {
	replica_t *replica;
	unsigned start;
	int fd;
	int place;
} served_conn_t;

/* Return: false if the replica has crashed. */
static bool answer_request(served_conn_t *conn, const request_t *request,
			   text_t *out)
{
	replica_t *replica = conn->replica;

	if (replica->on_arrival)
		replica->on_arrival(replica, request);
	if (strcmp(request->path, "/health") == 0) {
		write_answer(replica, request, 200, true, out);
		return true;
	}
	if (strcmp(request->expected, replica->id)) {
		write_answer(replica, request, 421, false, out);
		return true;
	}
	switch (enter(replica, conn->start)) {
	case ENTRY_FULL:
		write_answer(replica, request, 503, false, out);
		return true;
	case ENTRY_ENDED:
		return false;
	default:
		break;
	}
	if (replica->on_run)
		replica->on_run(replica, request);
	if (replica->faults.crash_on &&
	    strstr(request->path, replica->faults.crash_on)) {
		begin_crash(replica, conn->start);
		return false;
	}
	pause_ms(replica->work_ms);
	leave(replica, conn->start);
	if (replica->starts != conn->start)
		return false;
	write_answer(replica, request, 200, true, out);
	return true;
}

static void parse_request(const char *head, request_t *out)
{
	char number[32];

	*out = (request_t){ 0 };
	if (sscanf(head, "%15s %255s", out->method, out->path) != 2)
		return;
	find_header(head, "X-Request-Id", out->id, sizeof(out->id));
	find_header(head, "X-Expect-Instance", out->expected,
		    sizeof(out->expected));
	find_header(head, "X-Deadline-Ms", number, sizeof(number));
	out->deadline = atol(number);
}

static void *serve_replica_conn(void *data)
{
	served_conn_t *conn = data;
	replica_t *replica = conn->replica;
	text_t extra = { 0 };
	reader_t reader;

	reader_init(&reader, conn->fd);
	while (read_message(&reader, 10000)) {
		text_t answer = { 0 };
		request_t request;
		bool ok;

		parse_request(reader.bytes, &request);
		/* The extra answer comes where the next one is expected. */
		if (extra.len) {
			record("%s extra answer, before that to %s",
			       replica->id, request.id);
			send_all(conn->fd, extra.bytes, extra.len);
			extra.len = 0;
		}
		ok = answer_request(conn, &request, &answer);
		if (ok)
			ok = send_all(conn->fd, answer.bytes, answer.len);
		if (ok && now_ms() < replica->extra_until &&
		    draw() < replica->faults.extra_late) {
			add_text(&extra, "%s", answer.bytes);
			record("%s will repeat its answer to %s", replica->id,
			       request.id);
		}
		free(answer.bytes);
		if (!ok || replica->leaving)
			break;
	}
	free(extra.bytes);
	pthread_mutex_lock(&replica->lock);
	if (replica->starts == conn->start)
		replica->conns[conn->place] = -1;
	pthread_mutex_unlock(&replica->lock);
	reader_finish(&reader);
	free(conn);
	return NULL;
}

static int take_place(replica_t *replica, int fd)
{
	int place = -1;

	pthread_mutex_lock(&replica->lock);
	for (int i = 0; i < CONNS_MAX && place < 0; i++)
		if (replica->conns[i] < 0)
			place = i;
	if (place >= 0)
		replica->conns[place] = fd;
	pthread_mutex_unlock(&replica->lock);
	return place;
}

static void *accept_replica_conns(void *data)
{
	replica_t *replica = data;
	unsigned start = replica->starts;
	int listener = replica->listener;
	int fd;

	while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		served_conn_t *conn = malloc(sizeof(*conn));

		set_nodelay(fd);
		*conn = (served_conn_t){ replica, start, fd,
					 take_place(replica, fd) };
		if (conn->place < 0) {
			close(fd);
			free(conn);
		} else {
			start_thread(serve_replica_conn, conn);
		}
	}
	return NULL;
}

/** replica_add() - describe a replica of a service, without starting it */
replica_t *replica_add(const char *service, const char *zone, int slots,
		       int queue, int work_ms)
{
	replica_t *replica = &replicas[replicas_len++];

	snprintf(replica->service, sizeof(replica->service), "%s", service);
	snprintf(replica->zone, sizeof(replica->zone), "%s", zone);
	snprintf(replica->ip, sizeof(replica->ip), "127.0.2.%d", replicas_len);
	replica->port = base_port + 7;
	replica->slots = slots;
	replica->queue = queue;
	replica->work_ms = work_ms;
	replica->down_ms = 2000;
	replica->beats = true;
	pthread_mutex_init(&replica->lock, NULL);
	pthread_cond_init(&replica->freed, NULL);
	for (int i = 0; i < CONNS_MAX; i++)
		replica->conns[i] = -1;
	return replica;
}

/** replica_start() - start a replica under a new id, and register it */
void replica_start(replica_t *replica)
{
	replica->listener = listen_on(replica->ip, replica->port);
	if (replica->listener < 0)
		give_up("%s cannot listen", replica->ip);
	replica->starts++;
	replica->seq = 0;
	replica->born = wall_ms();
	replica->running = 0;
	replica->leaving = false;
	replica->crashing = false;
	snprintf(replica->id, sizeof(replica->id), "i-%02d%04u",
		 (int)(replica - replicas), replica->starts);
	replica->up = true;
	record("%s of %s started", replica->id, replica->service);
	start_thread(accept_replica_conns, replica);
	start_thread(send_heartbeats, replica);
}

/** replica_stop() - end a replica at once, as a crash does */
void replica_stop(replica_t *replica)
{
	pthread_mutex_lock(&replica->lock);
	record("%s ended", replica->id);
	replica->up = false;
	replica->starts++;
	shutdown(replica->listener, SHUT_RDWR);
	close(replica->listener);
	for (int i = 0; i < CONNS_MAX; i++) {
		if (replica->conns[i] >= 0)
			shutdown(replica->conns[i], SHUT_RDWR);
		replica->conns[i] = -1;
	}
	pthread_cond_broadcast(&replica->freed);
	pthread_mutex_unlock(&replica->lock);
}

/* The link between a router and the store. */

typedef struct linked {
	link_proxy_t *link;
	int from;
} linked_t;

static bool pass_bytes(int from, int to)
{
	char bytes[65536];
	ssize_t got = recv(from, bytes, sizeof(bytes), 0);

	return got > 0 && send_all(to, bytes, (size_t)got);
}

static void *serve_link(void *data)
{
	linked_t *linked = data;
	link_proxy_t *link = linked->link;
	int to = -1;

	while (link->cut)
		pause_ms(2);
	to = connect_to(link->to_ip, link->to_port, 1000);
	while (to >= 0) {
		struct pollfd ready[2] = {
			{ .fd = linked->from, .events = POLLIN },
			{ .fd = to, .events = POLLIN },
		};
		bool both = !link->cut;

		if (poll(ready, both ? 2 : 1, 2) <= 0)
			continue;
		if (ready[0].revents && !pass_bytes(linked->from, to))
			break;
		if (both && ready[1].revents && !link->cut &&
		    !pass_bytes(to, linked->from))
			break;
	}
	if (to >= 0)
		close(to);
	close(linked->from);
	free(linked);
	return NULL;
}

static void *accept_links(void *data)
{
	link_proxy_t *link = data;
	int fd;

	while ((fd = accept4(link->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		linked_t *linked = malloc(sizeof(*linked));

		set_nodelay(fd);
		*linked = (linked_t){ link, fd };
		start_thread(serve_link, linked);
	}
	return NULL;
}

/**
 * link_start() - start a proxy to the store
 * @link: proxy; while its @cut is set nothing passes from the store to the
 *	router, and what is held passes afterwards, as over TCP
 * @ip: address to listen on
 */
void link_start(link_proxy_t *link, const char *ip)
{
	snprintf(link->ip, sizeof(link->ip), "%s", ip);
	store_ip_port(link->to_ip, &link->to_port);
	link->port = base_port + 8;
	link->listener = listen_on(ip, link->port);
	if (link->listener < 0)
		give_up("proxy cannot listen");
	start_thread(accept_links, link);
}

/* Routers. */

static void write_settings(const router_t *router, const char *path)
{
	FILE *file = fopen(path, "w");

	if (!file)
		give_up("cannot write %s", path);
	fprintf(file,
		"{\n\t\"instance\": \"%s\",\n\t\"zone\": \"%s\",\n"
		"\t\"callers\": \"%s:%d\",\n\t\"readiness\": \"%s:%d\",\n"
		"\t\"directory\": \"%s:%d\",\n\t\"metrics\": \"%s:%d\",\n"
		"\t\"peers\": \"%s:%d\",\n",
		router->name, router->zone, router->ip, base_port, router->ip,
		base_port + 1, router->ip, base_port + 2, router->ip,
		base_port + 3, router->ip, base_port + 4);
	fprintf(file,
		"\t\"seeds\": \"%s:%d,%s:%d,%s:%d\",\n\t\"store\": \"%s\",\n"
		"\t\"log_level\": \"info\",\n\t\"retry_ratio\": 0.2,\n"
		"\t\"retry_slack\": %d,\n\t\"retry_window_ms\": 10000,\n"
		"\t\"grace_ms\": 6000,\n\t\"config_apply_ms\": 3000,\n"
		"\t\"address_ttl_max_ms\": 5000\n}\n",
		routers[0].ip, base_port + 5, routers[1].ip, base_port + 5,
		routers[2].ip, base_port + 5,
		router->store[0] ? router->store : store.address, retry_slack);
	fclose(file);
}

/** router_start() - start a router with the run command of the deploy file */
void router_start(int index)
{
	router_t *router = &routers[index];
	char settings[512];
	char log[512];
	pid_t pid;

	snprintf(settings, sizeof(settings), "%s/%s.json", dir, router->name);
	snprintf(log, sizeof(log), "%s/%s.log", dir, router->name);
	write_settings(router, settings);
	pid = fork();
	if (pid < 0)
		give_up("no process");
	if (pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(binary, binary, "--config", settings, (char *)NULL);
		_exit(127);
	}
	router->pid = pid;
	router->started_at = now_ms();
	record("%s started", router->name);
}

void router_kill(int index, int signal)
{
	if (routers[index].pid > 0)
		kill(routers[index].pid, signal);
	record("%s got signal %d", routers[index].name, signal);
}

void router_await_exit(int index)
{
	int status;

	if (routers[index].pid > 0)
		waitpid(routers[index].pid, &status, 0);
	routers[index].pid = 0;
}

/** router_await_ready() - wait until a router says that it is ready */
bool router_await_ready(int index, double timeout)
{
	double until = now_ms() + timeout;

	while (now_ms() < until) {
		static const char request[] =
			"GET /api/ready HTTP/1.1\r\nHost: r\r\n"
			"Connection: close\r\n\r\n";
		int fd = connect_to(routers[index].ip, base_port + 1, 500);
		bool ready = false;
		reader_t reader;

		if (fd >= 0) {
			reader_init(&reader, fd);
			ready = send_all(fd, request, sizeof(request) - 1) &&
				read_message(&reader, 500) &&
				strncmp(reader.bytes, "HTTP/1.1 200", 12) == 0;
			reader_finish(&reader);
		}
		if (ready)
			return true;
		pause_ms(50);
	}
	return false;
}

/* Clients. */

/** new_id() - a new id of a client attempt; @out holds NAME_MAX_LEN bytes */
void new_id(char *out)
{
	snprintf(out, NAME_MAX_LEN, "%08x%08x",
		 (unsigned)(draw() * 4294967295.0),
		 (unsigned)(draw() * 4294967295.0));
}

/** client_connect() - open a connection to a router; -1 if it is refused */
int client_connect(int router)
{
	return connect_to(routers[router].ip, base_port, 1000);
}

/** client_send() - send a request on an open connection */
bool client_send(int fd, const char *method, const char *path, const char *id,
		 long deadline, const char *body)
{
	text_t request = { 0 };
	bool sent;

	add_text(&request,
		 "%s %s HTTP/1.1\r\nHost: " HOST "\r\nX-Request-Id: %s\r\n"
		 "X-Deadline-Ms: %ld\r\n",
		 method, path, id, deadline);
	if (body)
		add_text(&request, "Content-Length: %zu\r\n", strlen(body));
	add_text(&request, "\r\n%s", body ? body : "");
	sent = send_all(fd, request.bytes, request.len);
	free(request.bytes);
	return sent;
}

/** client_receive() - wait for the answer and close the connection */
answer_t client_receive(int fd, long deadline)
{
	answer_t answer = { 0 };
	reader_t reader;

	reader_init(&reader, fd);
	if (read_message(&reader, (int)deadline) &&
	    sscanf(reader.bytes, "HTTP/1.1 %d", &answer.status) == 1) {
		size_t len = reader.head_len < sizeof(answer.headers)
				     ? reader.head_len
				     : sizeof(answer.headers) - 1;

		memcpy(answer.headers, reader.bytes, len);
		answer.headers[len] = '\0';
	}
	reader_finish(&reader);
	return answer;
}

/**
 * ask() - send a request on a new connection and wait for the answer
 * @router: router that is asked
 * @deadline: how long the client waits, ms
 *
 * Return: the answer; status 0 if there was none in time.
 */
answer_t ask(int router, const char *method, const char *path, const char *id,
	     long deadline, const char *body)
{
	int fd = client_connect(router);

	if (fd < 0)
		return (answer_t){ 0 };
	(void)client_send(fd, method, path, id, deadline, body);
	return client_receive(fd, deadline);
}

/* What became of each client attempt. */

#define ATTEMPTS_MAX 262144

static attempt_t attempts[ATTEMPTS_MAX];
static size_t attempts_len;
static pthread_mutex_t attempts_lock = PTHREAD_MUTEX_INITIALIZER;

static size_t hash_id(const char *id)
{
	size_t hash = 5381;

	while (*id)
		hash = hash * 33 + (unsigned char)*id++;
	return hash % ATTEMPTS_MAX;
}

/**
 * attempt_of() - find or add the entry of a client attempt
 *
 * The entry stays where it is. Its counts are changed under attempts_begin() and
 * attempts_end().
 */
attempt_t *attempt_of(const char *id)
{
	size_t at = hash_id(id);

	while (attempts[at].id[0] && strcmp(attempts[at].id, id))
		at = (at + 1) % ATTEMPTS_MAX;
	if (!attempts[at].id[0]) {
		if (++attempts_len > ATTEMPTS_MAX / 2)
			give_up("too many attempts");
		snprintf(attempts[at].id, sizeof(attempts[at].id), "%s", id);
	}
	return &attempts[at];
}

void attempts_begin(void)
{
	pthread_mutex_lock(&attempts_lock);
}

void attempts_end(void)
{
	pthread_mutex_unlock(&attempts_lock);
}

/** attempts_each() - visit all attempts, at the end of a run */
void attempts_each(void (*visit)(const attempt_t *))
{
	for (size_t i = 0; i < ATTEMPTS_MAX; i++)
		if (attempts[i].id[0])
			visit(&attempts[i]);
}

/* Start and end of a run. */

static int find_base_port(void)
{
	for (int port = 20000 + (int)(getpid() % 300) * 20; port < 60000;
	     port += 20) {
		bool ok = true;

		for (int i = 0; ok && i < 10; i++) {
			int fd = listen_on("0.0.0.0", port + i);

			ok = fd >= 0;
			if (ok)
				close(fd);
		}
		if (ok)
			return port;
	}
	give_up("no free ports");
}

/**
 * site_init() - prepare a run
 * @argv: program, router program, temporary folder, record file, seed
 *
 * The routers are described, but not started.
 */
void site_init(int argc, char **argv)
{
	static const char *const zones[] = { "a", "b", "c" };
	const char *text = getenv("TROUBLE");

	clock_gettime(CLOCK_MONOTONIC, &started);
	signal(SIGPIPE, SIG_IGN);
	if (argc < 4) {
		fprintf(stderr, "usage: %s ROUTER DIR RECORD [SEED]\n",
			argv[0]);
		exit(2);
	}
	binary = argv[1];
	dir = argv[2];
	record_file = fopen(argv[3], "w");
	if (!record_file) {
		perror(argv[3]);
		exit(2);
	}
	if (argc > 4)
		random_state += strtoull(argv[4], NULL, 10) * 2654435761U;
	for (int i = 0; i < 20; i++)
		(void)draw();
	trouble = !text || strcmp(text, "0");
	base_port = find_base_port();
	for (int i = 0; i < ROUTERS_MAX; i++) {
		snprintf(routers[i].name, sizeof(routers[i].name), "front-%d",
			 i + 1);
		snprintf(routers[i].zone, sizeof(routers[i].zone), "%s",
			 zones[i % 3]);
		snprintf(routers[i].ip, sizeof(routers[i].ip), "127.0.1.%d",
			 i + 1);
	}
	record("trouble %d", trouble);
}

/** site_finish() - end the routers, by their ids */
void site_finish(void)
{
	for (int i = 0; i < ROUTERS_MAX; i++)
		if (routers[i].pid > 0)
			kill(routers[i].pid, SIGKILL);
	for (int i = 0; i < ROUTERS_MAX; i++)
		if (routers[i].pid > 0)
			waitpid(routers[i].pid, NULL, 0);
}
