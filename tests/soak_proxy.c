/**
 * DOC: fault-injecting TCP proxy on loopback, for the soak test of routers
 *
 * usage: soak_proxy CONTROL-PORT LISTEN:TARGET...
 *
 * Each LISTEN:TARGET pair of ports is a link. ``GET /set?LINK=MODE`` on the
 * control port changes the mode of a link, counted from 0, or of all of them
 * with LINK "all". The modes:
 * pass: forward everything;
 * reset: reset the open connections, and close new ones at once;
 * silent: forward nothing on the open connections; new ones work;
 * oneway: drop what the target sends;
 * slow: forward data only after a pause of SLOW_DELAY_MS.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "medlard/h1_server.h"

#define LINKS_MAX 512
#define READ_SIZE 16384
#define SLOW_DELAY_MS 60

typedef enum link_mode {
	MODE_PASS,
	MODE_RESET,
	MODE_SILENT,
	MODE_ONEWAY,
	MODE_SLOW,
} link_mode_t;

static const char *const mode_names[] = { "pass", "reset", "silent", "oneway",
					  "slow" };

typedef struct relay relay_t;

/* One of the two sockets of a relay, with the data to be written to it. */
typedef struct endpoint {
	relay_t *relay;
	int fd;
	medlar_buf_t out; /* not yet written to fd */
	bool shutdown_pending; /* shut down for writing once @out is empty */
} endpoint_t;

/* A port that is forwarded to another one. */
typedef struct link {
	loop_t *loop;
	int fd;
	uint16_t target;
	link_mode_t mode;
	TAILQ_HEAD(relay_list, relay) relays;
} link_t;

/* A connection of a caller and the one to the target that serves it. */
struct relay {
	TAILQ_ENTRY(relay) entry;
	link_t *link;
	endpoint_t caller;
	endpoint_t target;
	medlar_timer_t timer;
	bool silenced; /* nothing is forwarded any more */
	bool half_closed; /* one side has closed for writing */
};

static link_t links[LINKS_MAX];
static size_t links_len;
static volatile sig_atomic_t stopped;

static void on_signal(int number)
{
	(void)number;
	stopped = 1;
}

static void close_endpoint(endpoint_t *endpoint, bool reset)
{
	const struct linger linger = { 1, 0 };

	loop_unwatch(endpoint->relay->link->loop, endpoint->fd);
	if (reset)
		(void)setsockopt(endpoint->fd, SOL_SOCKET, SO_LINGER, &linger,
				 sizeof(linger));
	close(endpoint->fd);
	medlar_buf_finish(&endpoint->out);
}

static void close_relay(relay_t *relay, bool reset)
{
	link_t *link = relay->link;

	medlar_timer_clear(link->loop->client, &relay->timer);
	close_endpoint(&relay->caller, reset);
	close_endpoint(&relay->target, reset);
	TAILQ_REMOVE(&link->relays, relay, entry);
	free(relay);
}

static void flush_endpoint(endpoint_t *endpoint)
{
	while (endpoint->out.len) {
		ssize_t done = send(endpoint->fd, endpoint->out.ptr,
				    endpoint->out.len,
				    MSG_NOSIGNAL | MSG_DONTWAIT);

		if (done <= 0)
			return;
		memmove(endpoint->out.ptr, endpoint->out.ptr + done,
			endpoint->out.len - (size_t)done);
		endpoint->out.len -= (size_t)done;
	}
	if (endpoint->shutdown_pending)
		(void)shutdown(endpoint->fd, SHUT_WR);
}

static void on_delay_end(medlar_client_t *client, medlar_timer_t *timer,
			 medlar_time_t now, void *data)
{
	relay_t *relay = data;

	(void)client;
	(void)timer;
	(void)now;
	flush_endpoint(&relay->caller);
	flush_endpoint(&relay->target);
}

static void forward(endpoint_t *from, endpoint_t *to)
{
	relay_t *relay = from->relay;
	link_t *link = relay->link;
	char bytes[READ_SIZE];
	ssize_t got = recv(from->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (got <= 0) {
		if (relay->half_closed || got < 0) {
			close_relay(relay, got < 0);
			return;
		}
		relay->half_closed = true;
		to->shutdown_pending = true;
		loop_unwatch(link->loop, from->fd);
		flush_endpoint(to);
		return;
	}
	if (relay->silenced ||
	    (link->mode == MODE_ONEWAY && from == &relay->target))
		return;
	medlar_buf_add(&to->out, (medlar_str_t){ bytes, (size_t)got });
	if (link->mode == MODE_SLOW)
		(void)medlar_timer_set(link->loop->client, &relay->timer,
				       link->loop->now + SLOW_DELAY_MS);
	else
		flush_endpoint(to);
}

static void on_caller_readable(uint32_t events, void *data)
{
	relay_t *relay = data;

	(void)events;
	forward(&relay->caller, &relay->target);
}

static void on_target_readable(uint32_t events, void *data)
{
	relay_t *relay = data;

	(void)events;
	forward(&relay->target, &relay->caller);
}

static void on_accept(uint32_t events, void *data)
{
	link_t *link = data;
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = { htonl(INADDR_LOOPBACK) },
		.sin_port = htons(link->target),
	};
	int fd = accept4(link->fd, NULL, NULL, SOCK_CLOEXEC);
	relay_t *relay;
	int target_fd;

	(void)events;
	if (fd < 0)
		return;
	target_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (target_fd < 0 || link->mode == MODE_RESET ||
	    connect(target_fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		if (target_fd >= 0)
			close(target_fd);
		return;
	}
	relay = calloc(1, sizeof(*relay));
	if (!relay)
		abort();
	relay->link = link;
	relay->caller = (endpoint_t){ .relay = relay, .fd = fd };
	relay->target = (endpoint_t){ .relay = relay, .fd = target_fd };
	medlar_timer_init(&relay->timer, on_delay_end, relay);
	TAILQ_INSERT_TAIL(&link->relays, relay, entry);
	if (loop_watch(link->loop, fd, EPOLLIN, on_caller_readable, relay) ||
	    loop_watch(link->loop, target_fd, EPOLLIN, on_target_readable,
		       relay))
		close_relay(relay, true);
}

static void set_link_mode(link_t *link, link_mode_t mode)
{
	relay_t *relay;
	relay_t *next;

	link->mode = mode;
	for (relay = TAILQ_FIRST(&link->relays); relay; relay = next) {
		next = TAILQ_NEXT(relay, entry);
		if (mode == MODE_RESET)
			close_relay(relay, true);
		else if (mode == MODE_SILENT)
			relay->silenced = true;
	}
}

static bool parse_mode(const char *text, link_mode_t *mode)
{
	for (size_t i = 0; i <= MODE_SLOW; i++)
		if (strcmp(text, mode_names[i]) == 0) {
			*mode = (link_mode_t)i;
			return true;
		}
	return false;
}

static void on_control_request(h1_conn_t *conn, void *data)
{
	medlar_str_t target = h1_message_target(&conn->parser.message);
	char text[64];
	char link_name[8];
	char mode_name[32];
	link_mode_t mode;

	(void)data;
	(void)snprintf(text, sizeof(text), "%.*s", (int)target.len, target.ptr);
	if (sscanf(text, "/set?%7[a-z0-9]=%31s", link_name, mode_name) == 2 &&
	    parse_mode(mode_name, &mode))
		for (size_t i = 0; i < links_len; i++)
			if (strcmp(link_name, "all") == 0 ||
			    strtoul(link_name, NULL, 10) == i)
				set_link_mode(&links[i], mode);
	h1_conn_answer_status(conn, 200);
}

static int open_link(loop_t *loop, const char *text)
{
	link_t *link = &links[links_len++];
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = { htonl(INADDR_LOOPBACK) },
	};
	unsigned from;
	unsigned to;
	int one = 1;

	if (sscanf(text, "%5u:%5u", &from, &to) != 2)
		return MEDLAR_ERR_SYNTAX;
	address.sin_port = htons((uint16_t)from);
	link->loop = loop;
	link->target = (uint16_t)to;
	TAILQ_INIT(&link->relays);
	link->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
			  0);
	(void)setsockopt(link->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(link->fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(link->fd, 256))
		return MEDLAR_ERR_IO;
	return loop_watch(loop, link->fd, EPOLLIN, on_accept, link);
}

static void on_loop_iteration(void *data)
{
	if (stopped)
		loop_stop(data);
}

int main(int argc, char **argv)
{
	static const h1_handler_t handler = { .request = on_control_request };
	static const h1_server_options_t options = {
		.message = { 4096, 4096 },
		.receive_ms = 5000,
		.idle_ms = 5000,
	};
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = { htonl(INADDR_LOOPBACK) },
	};
	static medlar_client_t client;
	static h1_server_t control;
	static loop_t loop;
	int error;

	if (argc < 3 || argc - 2 > LINKS_MAX)
		return EXIT_FAILURE;
	(void)signal(SIGPIPE, SIG_IGN);
	(void)signal(SIGTERM, on_signal);
	medlar_client_init(&client, MEDLAR_STR("proxy"), 0, 1);
	address.sin_port = htons((uint16_t)strtoul(argv[1], NULL, 10));
	error = loop_init(&loop, &client);
	for (int i = 2; i < argc && !error; i++)
		error = open_link(&loop, argv[i]);
	if (error || loop_add_hook(&loop, on_loop_iteration, &loop) ||
	    h1_server_init(&control, &loop, (const struct sockaddr *)&address,
			   &options, 16, &handler, NULL)) {
		fputs("soak_proxy: cannot listen\n", stderr);
		return EXIT_FAILURE;
	}
	loop_run(&loop);
	for (size_t i = 0; i < links_len; i++)
		set_link_mode(&links[i], MODE_RESET);
	h1_server_finish(&control);
	loop_finish(&loop);
	medlar_client_finish(&client);
	return EXIT_SUCCESS;
}
