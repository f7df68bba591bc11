/**
 * DOC: clients, and the record of what they sent and got
 *
 * Each sends one request after the other, with an id of its own, on a connection that it
 * keeps while the router does. It does not repeat requests.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "site.h"

#define ROUTER_TIMEOUT_MS 200

request_t requests[REQUESTS_MAX];
size_t requests_len;

typedef struct client {
	load_t load;
	int base;
	int router;
	pthread_t thread;
} client_t;

static client_t clients[128];
static size_t clients_len;
static volatile bool is_stopped;

static request_t *add_request(const client_t *client)
{
	request_t *request;

	pthread_mutex_lock(&lock);
	if (requests_len == REQUESTS_MAX)
		abort();
	request = &requests[requests_len++];
	(void)snprintf(request->id, sizeof(request->id), "%016zx",
		       requests_len);
	request->path = client->load.path;
	request->router = client->router;
	request->sent_at = now_ms();
	pthread_mutex_unlock(&lock);
	return request;
}

static void router_host(int router, char *out, size_t size)
{
	(void)snprintf(out, size, ROUTER_HOST, router);
}

static bool send_request(const client_t *client, int fd,
			 const request_t *request)
{
	char text[TEXT_MAX * 2];

	(void)snprintf(text, sizeof(text),
		       "%s %s HTTP/1.1\r\nHost: leno12.example\r\n"
		       "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
		       "Content-Length: 4\r\n\r\nbody",
		       client->load.method, request->path, request->id,
		       client->load.deadline_ms);
	return send_text(fd, text, strlen(text));
}

static void *run_client(void *data)
{
	client_t *client = data;
	stream_t *stream = calloc(1, sizeof(*stream));
	message_t *answer = calloc(1, sizeof(*answer));
	char host[TEXT_MAX];

	if (!stream || !answer)
		abort();
	stream->fd = -1;
	router_host(client->router, host, sizeof(host));
	while (!is_stopped) {
		request_t *request = add_request(client);
		bool is_kept = false;

		if (stream->fd < 0) {
			stream->fd = connect_to(host,
						client->base + CALLERS_PORT);
			stream->len = 0;
		}
		if (stream->fd >= 0 &&
		    send_request(client, stream->fd, request) &&
		    read_message(stream, answer)) {
			pthread_mutex_lock(&lock);
			request->status = atoi(answer->head + 9);
			request->answered_at = now_ms();
			pthread_mutex_unlock(&lock);
			is_kept = answer->keeps_open;
		}
		if (!is_kept && stream->fd >= 0) {
			close(stream->fd);
			stream->fd = -1;
		}
		sleep_ms(client->load.pause_ms);
	}
	if (stream->fd >= 0)
		close(stream->fd);
	free(stream);
	free(answer);
	return NULL;
}

/** clients_start() - start clients, spread over the routers */
void clients_start(int base, const load_t *load)
{
	for (int i = 0; i < load->clients; i++) {
		client_t *client = &clients[clients_len++];

		*client = (client_t){ .load = *load,
				      .base = base,
				      .router = 1 + i % routers };
		if (pthread_create(&client->thread, NULL, run_client, client))
			abort();
		sleep_ms(load->pause_ms / load->clients);
	}
}

/** clients_stop() - let all clients finish their requests */
void clients_stop(void)
{
	is_stopped = true;
	for (size_t i = 0; i < clients_len; i++)
		pthread_join(clients[i].thread, NULL);
}

static bool is_ready(int base, int router)
{
	static const char ask[] = "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
	stream_t *stream = calloc(1, sizeof(*stream));
	message_t *answer = calloc(1, sizeof(*answer));
	char host[TEXT_MAX];
	bool ready;

	if (!stream || !answer)
		abort();
	router_host(router, host, sizeof(host));
	stream->fd = connect_to(host, base + READY_PORT);
	ready = stream->fd >= 0 &&
		send_text(stream->fd, ask, strlen(ask)) &&
		read_message(stream, answer) && atoi(answer->head + 9) == 200;
	if (stream->fd >= 0)
		close(stream->fd);
	free(stream);
	free(answer);
	return ready;
}

/** routers_are_ready() - wait until all routers are ready */
bool routers_are_ready(int base, int64_t timeout_ms)
{
	int64_t end = now_ms() + timeout_ms;

	for (int router = 1; router <= routers; router++)
		while (!is_ready(base, router)) {
			if (now_ms() > end)
				return false;
			sleep_ms(ROUTER_TIMEOUT_MS);
		}
	return true;
}

/** write_record() - write what was sent, answered and run */
void write_record(const char *path)
{
	FILE *file = fopen(path, "w");
	int64_t from = requests_len ? requests[0].sent_at : 0;

	if (!file)
		return;
	for (size_t i = 0; i < requests_len; i++) {
		const request_t *request = &requests[i];

		fprintf(file, "sent id=%s path=%s router=%d at=%lld\n",
			request->id, request->path, request->router,
			(long long)(request->sent_at - from));
		fprintf(file, "answered id=%s status=%d at=%lld\n", request->id,
			request->status,
			(long long)(request->answered_at
					    ? request->answered_at - from
					    : -1));
	}
	for (size_t i = 0; i < runs_len; i++)
		fprintf(file, "run id=%s replica=%s service=%s at=%lld\n",
			runs[i].id, runs[i].replica->id,
			runs[i].replica->service,
			(long long)(runs[i].at - from));
	fclose(file);
}
