/**
 * DOC: fuzz test of a whole daemon whose callers, upstreams and platform send
 * garbage; the seed is fixed and the number of rounds limited
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <curl/curl.h>
#include <sodium.h>
#include <cmocka.h>

#include "medlard/control.h"

/* Concurrent runs use different ports, from 24100 to 24499. */
#define PORT_BASE 24100
#define PORT_SETS 100
#define PORTS_A_SET 4

#define ROUNDS 400
#define BYTES_MAX 3000
#define WAIT_MS 50

static const char settings_text[] =
	"{\"name\":\"e1\",\"zone\":\"z1\",\"threads\":2,"
	"\"listen\":[{\"host\":\"127.0.0.1\",\"port\":%d}],"
	"\"platform\":{\"host\":\"127.0.0.1\",\"port\":%d,"
	"\"list_ms\":100,\"timeout_ms\":200,\"rate\":500},"
	"\"body_max\":2000,\"request_ms\":1000,\"stop_ms\":200,"
	"\"log_level\":\"error\"}";

static const char config_text[] =
	"{\"revision\":1,\"config\":{\"revision\":1,\"instances\":1,"
	"\"address_ttl_ms\":100,\"services\":[{\"name\":\"s\","
	"\"writes\":false,\"shards\":2,\"priority\":\"coverage\","
	"\"deadline_ms\":100,\"target_ms\":50,\"target_quantile\":0.9,"
	"\"coverage_min\":0,\"extra_load\":0.5,\"hedge_quantile\":0.9,"
	"\"slots\":8,\"connections\":20,\"connect_cost_ms\":0,"
	"\"queue_max\":20,\"eject_max\":0.5,\"slow_start_ms\":0,"
	"\"idle_max_ms\":200,\"silence_ms\":60,\"window_ms\":1000,"
	"\"partitions\":1}]}}";

static const char list_text[] =
	"[{\"Service\":{\"ID\":\"s-0\",\"Service\":\"s\",\"Address\":"
	"\"127.0.0.1\",\"Port\":%d,\"Meta\":{\"shard\":\"0\",\"zone\":"
	"\"z1\",\"incarnation\":\"5\",\"versions\":\"7\"}},\"Checks\":[]},"
	"{\"Service\":{\"ID\":\"s-1\",\"Service\":\"s\",\"Address\":"
	"\"127.0.0.1\",\"Port\":%d,\"Meta\":{\"shard\":\"1\",\"zone\":"
	"\"z1\",\"incarnation\":\"5\",\"versions\":\"7\"}},\"Checks\":[]},"
	"{\"Service\":5},7,null]";

/* Garbage contains valid fragments, so that some passes the first checks. */
static const char *const fragments[] = {
	"POST /v1/services/s/search HTTP/1.1\r\n",
	"POST /v1/services/s/lookup HTTP/1.1\r\n",
	"GET /v1/status HTTP/1.1\r\n",
	"GET /metrics HTTP/1.0\r\n",
	"HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 503 Busy\r\nMedlar-Executed: no\r\n",
	"Host: a\r\n",
	"Content-Length: 11\r\n",
	"Content-Length: 99999999999999999999\r\n",
	"Content-Length: -1\r\n",
	"Transfer-Encoding: chunked\r\n",
	"Expect: 100-continue\r\n",
	"Connection: close\r\n",
	"Idempotency-Key: 018f\r\n",
	"Medlar-Range: 0-2147483648\r\n",
	"Medlar-Request-Id: 00000000000000000000000000000000\r\n",
	"Medlar-Version: 7\r\n",
	"Medlar-State: leaving\r\n",
	"X-Consul-Index: 18446744073709551615\r\n",
	"\r\n",
	"\r\n",
	"{\"query\":1}",
	"{\"query\":{\"a\":[",
	"5\r\n{\"quer\r\n0\r\n\r\n",
	"[{\"Key\":\"medlar/config\",\"ModifyIndex\":1,\"Value\":\"e30=\"}]",
	"[{\"Key\":\"medlar/config/maps/s\",\"ModifyIndex\":2,\"Value\":\"!!\"}]",
	"\"\xff\xfe",
};

/**
 * struct garbage_server - a server that sends either garbage or valid answers
 * @fd: listening socket
 * @rand: random number generator
 * @thread: its thread
 * @accepted: number of connections accepted
 * @answer: writes a valid answer to a request
 */
typedef struct garbage_server {
	int fd;
	medlar_rand_t rand;
	pthread_t thread;
	unsigned accepted;
	void (*answer)(const char *request, medlar_buf_t *out);
} garbage_server_t;

static void add_noise(medlar_rand_t *rand, medlar_buf_t *out)
{
	const size_t count = sizeof(fragments) / sizeof(fragments[0]);
	size_t parts = medlar_rand_below(rand, 10);

	for (size_t i = 0; i < parts; i++) {
		char byte = (char)medlar_rand_next(rand);

		if (medlar_rand_below(rand, 6) == 0)
			medlar_buf_add(out, (medlar_str_t){ &byte, 1 });
		else
			medlar_buf_add(out, medlar_str_from(
						    fragments[medlar_rand_below(
							    rand, count)]));
	}
	while (medlar_rand_below(rand, 20) == 0 && out->len < BYTES_MAX)
		medlar_buf_printf(out, "%0200d", 0);
}

static void add_json(medlar_buf_t *out, const char *json)
{
	medlar_buf_printf(out,
			  "HTTP/1.1 200 OK\r\nX-Consul-Index: 9\r\n"
			  "Content-Length: %zu\r\n\r\n%s",
			  strlen(json), json);
}

/* Returns a port: 0 for the daemon, 1 for the platform, 2 for the upstream. */
static int port_of(int which)
{
	return PORT_BASE + (int)getpid() % PORT_SETS * PORTS_A_SET + which;
}

static void answer_platform(const char *request, medlar_buf_t *out)
{
	char list[2 * sizeof(list_text)];
	char value[4 * sizeof(config_text)];
	char json[sizeof(value) + 100];

	sodium_bin2base64(
		value, sizeof(value), (const unsigned char *)config_text,
		sizeof(config_text) - 1, sodium_base64_VARIANT_ORIGINAL);
	snprintf(json, sizeof(json),
		 "[{\"Key\":\"medlar/config\",\"ModifyIndex\":3,"
		 "\"Value\":\"%s\"}]",
		 value);
	snprintf(list, sizeof(list), list_text, port_of(2), port_of(2));
	if (strstr(request, "/kv/medlar/config"))
		add_json(out, json);
	else if (strstr(request, "/health/service/s "))
		add_json(out, list);
	else
		add_json(out, "[]");
}

/* Valid except that the request id is missing. */
static void answer_upstream(const char *request, medlar_buf_t *out)
{
	(void)request;
	medlar_buf_add(out, MEDLAR_STR("HTTP/1.1 200 OK\r\n"
				       "Medlar-Version: 7\r\n"
				       "Medlar-Range: 0-2147483648\r\n"
				       "Medlar-Executed: yes\r\n"
				       "Content-Length: 2\r\n\r\n{}"));
}

static size_t receive(int fd, char *bytes, size_t size)
{
	struct pollfd in = { .fd = fd, .events = POLLIN };
	ssize_t got;

	bytes[0] = '\0';
	if (poll(&in, 1, WAIT_MS) != 1)
		return 0;
	got = recv(fd, bytes, size - 1, 0);
	bytes[got > 0 ? got : 0] = '\0';
	return got > 0 ? (size_t)got : 0;
}

static void *serve_garbage(void *data)
{
	garbage_server_t *garbage = data;
	char request[BYTES_MAX];
	int fd;

	while ((fd = accept(garbage->fd, NULL, NULL)) >= 0) {
		medlar_buf_t out;

		garbage->accepted++;
		medlar_buf_init(&out);
		if (receive(fd, request, sizeof(request)) > 0) {
			if (medlar_rand_below(&garbage->rand, 2))
				garbage->answer(request, &out);
			else
				add_noise(&garbage->rand, &out);
		}
		if (out.len > 0)
			(void)send(fd, out.ptr, out.len, MSG_NOSIGNAL);
		medlar_buf_finish(&out);
		close(fd);
	}
	return NULL;
}

static struct sockaddr_in loopback(uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
}

static void garbage_start(garbage_server_t *garbage, uint16_t port)
{
	struct sockaddr_in address = loopback(port);
	int one = 1;

	garbage->fd = socket(AF_INET, SOCK_STREAM, 0);
	(void)setsockopt(garbage->fd, SOL_SOCKET, SO_REUSEADDR, &one,
			 sizeof(one));
	assert_int_equal(
		bind(garbage->fd, (struct sockaddr *)&address, sizeof(address)),
		0);
	assert_int_equal(listen(garbage->fd, 64), 0);
	assert_int_equal(
		pthread_create(&garbage->thread, NULL, serve_garbage, garbage),
		0);
}

static void garbage_stop(garbage_server_t *garbage)
{
	shutdown(garbage->fd, SHUT_RDWR);
	pthread_join(garbage->thread, NULL);
	close(garbage->fd);
}

static int connect_daemon(void)
{
	struct sockaddr_in address = loopback((uint16_t)port_of(0));
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

static void send_noise(medlar_rand_t *rand)
{
	char reply[BYTES_MAX];
	medlar_buf_t noise;
	int fd = connect_daemon();

	if (fd < 0)
		return;
	medlar_buf_init(&noise);
	/* Most rounds start with a valid request. */
	if (medlar_rand_below(rand, 4))
		medlar_buf_add(&noise, MEDLAR_STR("POST /v1/services/s/search "
						  "HTTP/1.1\r\nHost: a\r\n"
						  "Content-Length: 11\r\n\r\n"
						  "{\"query\":1}"));
	add_noise(rand, &noise);
	if (noise.len > 0)
		(void)send(fd, noise.ptr, noise.len, MSG_NOSIGNAL);
	if (medlar_rand_below(rand, 2))
		(void)receive(fd, reply, sizeof(reply));
	medlar_buf_finish(&noise);
	close(fd);
}

static bool is_ok(const char *path)
{
	char request[100];
	char reply[BYTES_MAX];
	int fd = connect_daemon();
	size_t len = 0;

	if (fd < 0)
		return false;
	snprintf(request, sizeof(request),
		 "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		 path);
	(void)send(fd, request, strlen(request), MSG_NOSIGNAL);
	for (int i = 0; i < 100 && len == 0; i++)
		len = receive(fd, reply, sizeof(reply));
	close(fd);
	return strncmp(reply, "HTTP/1.1 200", 12) == 0;
}

static void *run_daemon(void *data)
{
	int *result = data;

	*result = control_run("build/fuzz-settings.json");
	return NULL;
}

static void daemon_survives_garbage_on_every_port(void **state)
{
	garbage_server_t platform = { .rand = { 1 },
				      .answer = answer_platform };
	garbage_server_t upstream = { .rand = { 2 },
				      .answer = answer_upstream };
	medlar_rand_t rand = { 3 };
	pthread_t daemon;
	int result = -1;
	FILE *file;

	(void)state;
	file = fopen("build/fuzz-settings.json", "w");
	assert_non_null(file);
	(void)fprintf(file, settings_text, port_of(0), port_of(1));
	(void)fclose(file);
	garbage_start(&platform, (uint16_t)port_of(1));
	garbage_start(&upstream, (uint16_t)port_of(2));
	assert_int_equal(pthread_create(&daemon, NULL, run_daemon, &result), 0);
	for (int i = 0; i < 400 && !is_ok("/readyz"); i++)
		usleep(WAIT_MS * 1000);
	for (int i = 0; i < ROUNDS; i++)
		send_noise(&rand);
	assert_true(is_ok("/healthz"));
	kill(getpid(), SIGTERM);
	pthread_join(daemon, NULL);
	assert_int_equal(result, MEDLAR_OK);
	garbage_stop(&platform);
	garbage_stop(&upstream);
	assert_true(upstream.accepted > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(daemon_survives_garbage_on_every_port),
	};
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return EXIT_FAILURE;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
