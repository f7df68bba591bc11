/**
 * DOC: a loopback proxy that harms connections, for the soak of routers
 *
 * usage: soak_proxy CONTROL-PORT LISTEN:TARGET...
 *
 * GET /set?LINK=MODE on the control port changes a link, counted from 0, or all
 * of them with LINK "all": pass, reset (its
 * connections end at once, and so do new ones), silent (open connections carry
 * nothing any more, new ones work), oneway (nothing comes back), slow (bytes
 * are held for a while).
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "router/h1_server.h"

#define LINKS_MAX 512
#define READ_SIZE 16384
#define SLOW_MS 60

typedef enum harm {
	HARM_NONE,
	HARM_RESET,
	HARM_SILENT,
	HARM_ONEWAY,
	HARM_SLOW,
} harm_t;

static const char *const harm_names[] = { "pass", "reset", "silent", "oneway",
					  "slow" };

typedef struct pair pair_t;

/* One direction of a connection. */
typedef struct half {
	pair_t *pair;
	int fd;
	medlar_buf_t out; /* bytes that wait to be written to fd */
	bool ended;
} half_t;

typedef struct link {
	loop_t *loop;
	int fd;
	uint16_t target;
	harm_t harm;
	TAILQ_HEAD(pair_list, pair) pairs;
} link_t;

struct pair {
	TAILQ_ENTRY(pair) entry;
	link_t *link;
	half_t caller;
	half_t target;
	medlar_timer_t timer;
	bool muted;
	bool closed;
};

static link_t links[LINKS_MAX];
static size_t links_len;
static volatile sig_atomic_t stopped;

static void on_signal(int number)
{
	(void)number;
	stopped = 1;
}

static void close_half(half_t *half, bool reset)
{
	const struct linger linger = { 1, 0 };

	loop_unwatch(half->pair->link->loop, half->fd);
	if (reset)
		(void)setsockopt(half->fd, SOL_SOCKET, SO_LINGER, &linger,
				 sizeof(linger));
	close(half->fd);
	medlar_buf_finish(&half->out);
}

static void close_pair(pair_t *pair, bool reset)
{
	link_t *link = pair->link;

	medlar_timer_clear(link->loop->client, &pair->timer);
	close_half(&pair->caller, reset);
	close_half(&pair->target, reset);
	TAILQ_REMOVE(&link->pairs, pair, entry);
	free(pair);
}

static void flush(half_t *half)
{
	while (half->out.len) {
		ssize_t done = send(half->fd, half->out.ptr, half->out.len,
				    MSG_NOSIGNAL | MSG_DONTWAIT);

		if (done <= 0)
			return;
		memmove(half->out.ptr, half->out.ptr + done,
			half->out.len - (size_t)done);
		half->out.len -= (size_t)done;
	}
	if (half->ended)
		(void)shutdown(half->fd, SHUT_WR);
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	pair_t *pair = data;

	(void)client;
	(void)timer;
	(void)now;
	flush(&pair->caller);
	flush(&pair->target);
}

static void forward(half_t *from, half_t *to)
{
	pair_t *pair = from->pair;
	link_t *link = pair->link;
	char bytes[READ_SIZE];
	ssize_t got = recv(from->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (got <= 0) {
		if (pair->closed || got < 0) {
			close_pair(pair, got < 0);
			return;
		}
		pair->closed = true;
		to->ended = true;
		loop_unwatch(link->loop, from->fd);
		flush(to);
		return;
	}
	if (pair->muted || (link->harm == HARM_ONEWAY && from == &pair->target))
		return;
	medlar_buf_add(&to->out, (medlar_str_t){ bytes, (size_t)got });
	if (link->harm == HARM_SLOW)
		(void)medlar_timer_set(link->loop->client, &pair->timer,
				       link->loop->now + SLOW_MS);
	else
		flush(to);
}

static void on_caller(uint32_t events, void *data)
{
	pair_t *pair = data;

	(void)events;
	forward(&pair->caller, &pair->target);
}

static void on_target(uint32_t events, void *data)
{
	pair_t *pair = data;

	(void)events;
	forward(&pair->target, &pair->caller);
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
	pair_t *pair;
	int other;

	(void)events;
	if (fd < 0)
		return;
	other = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (other < 0 || link->harm == HARM_RESET ||
	    connect(other, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		if (other >= 0)
			close(other);
		return;
	}
	pair = calloc(1, sizeof(*pair));
	if (!pair)
		abort();
	pair->link = link;
	pair->caller = (half_t){ .pair = pair, .fd = fd };
	pair->target = (half_t){ .pair = pair, .fd = other };
	medlar_timer_init(&pair->timer, on_timer, pair);
	TAILQ_INSERT_TAIL(&link->pairs, pair, entry);
	if (loop_watch(link->loop, fd, EPOLLIN, on_caller, pair) ||
	    loop_watch(link->loop, other, EPOLLIN, on_target, pair))
		close_pair(pair, true);
}

static void set_harm(link_t *link, harm_t harm)
{
	pair_t *pair;
	pair_t *next;

	link->harm = harm;
	for (pair = TAILQ_FIRST(&link->pairs); pair; pair = next) {
		next = TAILQ_NEXT(pair, entry);
		if (harm == HARM_RESET)
			close_pair(pair, true);
		else if (harm == HARM_SILENT)
			pair->muted = true;
	}
}

static bool read_mode(const char *text, harm_t *harm)
{
	for (size_t i = 0; i <= HARM_SLOW; i++)
		if (strcmp(text, harm_names[i]) == 0) {
			*harm = (harm_t)i;
			return true;
		}
	return false;
}

static void on_control(h1_conn_t *conn, void *data)
{
	medlar_str_t target = h1_message_target(&conn->parser.message);
	char text[64];
	char which[8];
	char mode[32];
	harm_t harm;

	(void)data;
	(void)snprintf(text, sizeof(text), "%.*s", (int)target.len, target.ptr);
	if (sscanf(text, "/set?%7[a-z0-9]=%31s", which, mode) == 2 &&
	    read_mode(mode, &harm))
		for (size_t i = 0; i < links_len; i++)
			if (strcmp(which, "all") == 0 ||
			    strtoul(which, NULL, 10) == i)
				set_harm(&links[i], harm);
	h1_conn_answer_status(conn, 200);
}

static int add_link(loop_t *loop, const char *text)
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
	TAILQ_INIT(&link->pairs);
	link->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
			  0);
	(void)setsockopt(link->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(link->fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(link->fd, 256))
		return MEDLAR_ERR_IO;
	return loop_watch(loop, link->fd, EPOLLIN, on_accept, link);
}

static void on_turn(void *data)
{
	if (stopped)
		loop_stop(data);
}

int main(int argc, char **argv)
{
	static const h1_handler_t handler = { .request = on_control };
	static const h1_server_limits_t limits = { { 4096, 4096 }, 5000, 5000 };
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
		error = add_link(&loop, argv[i]);
	if (error || loop_hook(&loop, on_turn, &loop) ||
	    h1_server_init(&control, &loop, &address, &limits, 16, &handler,
			   NULL)) {
		fputs("soak_proxy: cannot listen\n", stderr);
		return EXIT_FAILURE;
	}
	loop_run(&loop);
	for (size_t i = 0; i < links_len; i++)
		set_harm(&links[i], HARM_RESET);
	h1_server_finish(&control);
	loop_finish(&loop);
	medlar_client_finish(&client);
	return EXIT_SUCCESS;
}
