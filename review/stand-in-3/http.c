/**
 * DOC: HTTP/1.1 over blocking sockets, as much of it as the stand-in needs
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "site.h"

#define THREAD_STACK ((size_t)512 * 1024)

/** now_ms() - steady time in ms */
int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/** sleep_ms() - wait */
void sleep_ms(int64_t ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

	while (ms > 0 && nanosleep(&ts, &ts) && errno == EINTR)
		;
}

static struct sockaddr_in address_of(const char *host, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };

	(void)inet_pton(AF_INET, host, &address.sin_addr);
	return address;
}

/** listen_on() - open a listening socket; -1 if the port is in use */
int listen_on(const char *host, int port)
{
	struct sockaddr_in address = address_of(host, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 256)) {
		close(fd);
		return -1;
	}
	return fd;
}

/** connect_to() - connect; -1 if refused */
int connect_to(const char *host, int port)
{
	struct sockaddr_in address = address_of(host, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/** header_of() - copy the value of a header; false if there is none */
bool header_of(const message_t *message, const char *name, char *out,
	       size_t size)
{
	size_t len = strlen(name);
	const char *line = strstr(message->head, "\r\n");

	out[0] = '\0';
	for (; line && line[2]; line = strstr(line + 2, "\r\n")) {
		const char *value = line + 2 + len;

		if (strncasecmp(line + 2, name, len) != 0 || *value != ':')
			continue;
		value += 1 + strspn(value + 1, " \t");
		(void)snprintf(out, size, "%.*s", (int)strcspn(value, "\r\n"),
			       value);
		return true;
	}
	return false;
}

static bool receive(stream_t *stream)
{
	ssize_t got = recv(stream->fd, stream->bytes + stream->len,
			   sizeof(stream->bytes) - 1 - stream->len, 0);

	if (got <= 0)
		return false;
	stream->len += (size_t)got;
	stream->bytes[stream->len] = '\0';
	return true;
}

static void consume(stream_t *stream, size_t len)
{
	memmove(stream->bytes, stream->bytes + len, stream->len - len + 1);
	stream->len -= len;
}

/** read_message() - read a request or an answer; false at the end or an error */
bool read_message(stream_t *stream, message_t *message)
{
	char text[TEXT_MAX];
	char *end;
	size_t want;

	stream->bytes[stream->len] = '\0';
	while (!(end = strstr(stream->bytes, "\r\n\r\n")))
		if (stream->len + 1 >= sizeof(message->head) ||
		    !receive(stream))
			return false;
	memcpy(message->head, stream->bytes, (size_t)(end - stream->bytes) + 2);
	message->head[end - stream->bytes + 2] = '\0';
	consume(stream, (size_t)(end - stream->bytes) + 4);
	(void)header_of(message, "connection", text, sizeof(text));
	message->keeps_open = strcasecmp(text, "close") != 0;
	(void)header_of(message, "content-length", text, sizeof(text));
	want = (size_t)atol(text);
	message->body_len = 0;
	while (message->body_len < want && want < sizeof(message->body)) {
		size_t part = want - message->body_len;

		if (stream->len == 0 && !receive(stream))
			return false;
		part = part < stream->len ? part : stream->len;
		memcpy(message->body + message->body_len, stream->bytes, part);
		message->body_len += part;
		consume(stream, part);
	}
	message->body[message->body_len] = '\0';
	return true;
}

/** send_text() - send all bytes */
bool send_text(int fd, const char *text, size_t len)
{
	while (len > 0) {
		ssize_t done = send(fd, text, len, MSG_NOSIGNAL);

		if (done <= 0)
			return false;
		text += done;
		len -= (size_t)done;
	}
	return true;
}

typedef struct listener {
	int fd;
	void *(*handler)(void *);
	void *data;
} listener_t;

static void start_thread(void *(*fn)(void *), void *data)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, fn, data))
		abort();
	pthread_attr_destroy(&attr);
}

static void *accept_connections(void *data)
{
	const listener_t *listener = data;

	for (;;) {
		int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		accepted_t *accepted;
		int one = 1;

		if (fd < 0)
			continue;
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one,
				 sizeof(one));
		accepted = calloc(1, sizeof(*accepted));
		if (!accepted)
			abort();
		*accepted = (accepted_t){ fd, listener->data };
		start_thread(listener->handler, accepted);
	}
	return NULL;
}

/** serve() - accept connections on a port; @handler frees its accepted_t */
void serve(int port, void *(*handler)(void *), void *data)
{
	listener_t *listener = calloc(1, sizeof(*listener));

	if (!listener)
		abort();
	*listener = (listener_t){ listen_on(SITE_HOST, port), handler, data };
	if (listener->fd < 0) {
		fprintf(stderr, "site: port %d is in use\n", port);
		exit(2);
	}
	start_thread(accept_connections, listener);
}
