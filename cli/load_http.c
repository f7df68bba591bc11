/**
 * DOC: event loop and HTTP client of the load generator
 */
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "cli/load_http.h"

#define EVENTS_MAX 256
#define NS_PER_US 1000
#define CONNECTIONS_MAX 4096L

/* A curl handle and its buffers; they are reused for other transfers. */
struct load_transfer {
	load_transfer_t *next_idle;
	load_transfer_t *next_allocated;
	load_loop_t *loop;
	CURL *easy;
	struct curl_slist *headers;
	medlar_buf_t body;
	medlar_buf_t reply;
	load_http_fn_t done;
	void *data;
};

/**
 * load_now() - read the monotonic clock
 *
 * Return: microseconds since an arbitrary start.
 */
medlar_time_t load_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * LOAD_SECOND + ts.tv_nsec / NS_PER_US;
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *userp,
		     void *socketp)
{
	load_loop_t *loop = userp;
	struct epoll_event event = { .data.fd = fd };

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	epoll_ctl(loop->epoll_fd, socketp ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd,
		  &event);
	curl_multi_assign(loop->multi, fd, loop);
	return 0;
}

static int on_timeout(CURLM *multi, long timeout_ms, void *userp)
{
	load_loop_t *loop = userp;

	(void)multi;
	loop->curl_due = timeout_ms < 0 ? MEDLAR_TIME_NEVER
					: load_now() + timeout_ms * LOAD_MS;
	return 0;
}

/**
 * load_loop_init() - initialise an event loop without transfers
 * @loop: loop; load_loop_finish() releases it, also after an error
 *
 * Return: %MEDLAR_OK or %MEDLAR_ERR_IO.
 */
int load_loop_init(load_loop_t *loop)
{
	struct epoll_event event = { .events = EPOLLIN };

	*loop = (load_loop_t){ .curl_due = MEDLAR_TIME_NEVER };
	medlar_client_init(&loop->client, MEDLAR_STR("load"), 0, 1);
	loop->multi = curl_multi_init();
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->timer_fd = timerfd_create(CLOCK_MONOTONIC,
					TFD_CLOEXEC | TFD_NONBLOCK);
	if (!loop->multi || loop->epoll_fd < 0 || loop->timer_fd < 0)
		return MEDLAR_ERR_IO;
	event.data.fd = loop->timer_fd;
	if (epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, loop->timer_fd, &event))
		return MEDLAR_ERR_IO;
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS, CONNECTIONS_MAX);
	return MEDLAR_OK;
}

static void transfer_free(load_transfer_t *transfer)
{
	curl_multi_remove_handle(transfer->loop->multi, transfer->easy);
	curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
	medlar_buf_finish(&transfer->body);
	medlar_buf_finish(&transfer->reply);
	free(transfer);
}

/**
 * load_loop_finish() - release a loop and abort its transfers
 * @loop: loop; no callback of an aborted transfer is called
 */
void load_loop_finish(load_loop_t *loop)
{
	while (loop->allocated) {
		load_transfer_t *transfer = loop->allocated;

		loop->allocated = transfer->next_allocated;
		transfer_free(transfer);
	}
	curl_multi_cleanup(loop->multi);
	close(loop->epoll_fd);
	close(loop->timer_fd);
	medlar_client_finish(&loop->client);
}

static size_t on_data(char *data, size_t size, size_t count, void *userp)
{
	load_transfer_t *transfer = userp;

	medlar_buf_add(&transfer->reply, (medlar_str_t){ data, size * count });
	return size * count;
}

static load_transfer_t *transfer_acquire(load_loop_t *loop)
{
	load_transfer_t *transfer = loop->idle;

	if (transfer) {
		loop->idle = transfer->next_idle;
		return transfer;
	}
	transfer = calloc(1, sizeof(*transfer));
	if (!transfer)
		return NULL;
	transfer->loop = loop;
	transfer->easy = curl_easy_init();
	if (!transfer->easy) {
		free(transfer);
		return NULL;
	}
	transfer->next_allocated = loop->allocated;
	loop->allocated = transfer;
	curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(transfer->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(transfer->easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(transfer->easy, CURLOPT_NOSIGNAL, 1L);
	return transfer;
}

static void transfer_release(load_transfer_t *transfer)
{
	curl_slist_free_all(transfer->headers);
	transfer->headers = NULL;
	transfer->next_idle = transfer->loop->idle;
	transfer->loop->idle = transfer;
}

static void set_body(load_transfer_t *transfer, medlar_str_t body)
{
	CURL *easy = transfer->easy;

	if (!body.ptr) {
		curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
		return;
	}
	medlar_buf_reset(&transfer->body);
	medlar_buf_add(&transfer->body, body);
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)body.len);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
			 medlar_buf_str(&transfer->body).ptr);
}

static void add_headers(load_transfer_t *transfer, const char *const *headers)
{
	for (; headers && *headers; headers++)
		transfer->headers = curl_slist_append(transfer->headers,
						      *headers);
	transfer->headers = curl_slist_append(transfer->headers, "Expect:");
	curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
}

/**
 * load_http_send() - start an HTTP transfer
 * @loop: loop that runs the transfer
 * @request: request; copied
 * @done: called once when the transfer ends, never from within this call
 * @data: passed to @done
 *
 * Return: %MEDLAR_OK; or %MEDLAR_ERR_NOMEM, in which case @done is not called.
 */
int load_http_send(load_loop_t *loop, const load_http_request_t *request,
		   load_http_fn_t done, void *data)
{
	load_transfer_t *transfer = transfer_acquire(loop);

	if (!transfer)
		return MEDLAR_ERR_NOMEM;
	medlar_buf_reset(&transfer->reply);
	transfer->done = done;
	transfer->data = data;
	curl_easy_setopt(transfer->easy, CURLOPT_URL, request->url);
	curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS,
			 request->timeout_ms);
	set_body(transfer, request->body);
	add_headers(transfer, request->headers);
	if (curl_multi_add_handle(loop->multi, transfer->easy) == CURLM_OK)
		return MEDLAR_OK;
	transfer_release(transfer);
	return MEDLAR_ERR_NOMEM;
}

static void transfer_end(load_loop_t *loop, CURL *easy, CURLcode code)
{
	load_http_reply_t reply = { 0 };
	load_transfer_t *transfer;
	curl_off_t sent = 0;
	long request_size = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
	if (code == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply.status);
	curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
	reply.not_sent = sent == 0 && request_size == 0;
	reply.body = medlar_buf_str(&transfer->reply);
	curl_multi_remove_handle(loop->multi, easy);
	transfer->done(&reply, transfer->data);
	transfer_release(transfer);
}

static void end_finished_transfers(load_loop_t *loop)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(loop->multi, &left))) {
		CURL *easy = message->easy_handle;

		if (message->msg == CURLMSG_DONE)
			transfer_end(loop, easy, message->data.result);
	}
}

static void handle_event(load_loop_t *loop, const struct epoll_event *event)
{
	int mask = 0;
	int running;

	if (event->data.fd == loop->timer_fd) {
		uint64_t count;

		if (read(loop->timer_fd, &count, sizeof(count)) < 0)
			return;
		return;
	}
	if (event->events & EPOLLIN)
		mask |= CURL_CSELECT_IN;
	if (event->events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (event->events & (EPOLLERR | EPOLLHUP))
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(loop->multi, event->data.fd, mask, &running);
}

static void arm_timer(const load_loop_t *loop)
{
	medlar_time_t due = medlar_client_due(&loop->client);
	struct itimerspec spec = { 0 };

	if (loop->curl_due < due)
		due = loop->curl_due;
	if (due != MEDLAR_TIME_NEVER) {
		spec.it_value.tv_sec = due / LOAD_SECOND;
		spec.it_value.tv_nsec = due % LOAD_SECOND * NS_PER_US;
	}
	timerfd_settime(loop->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void run_timers(load_loop_t *loop)
{
	medlar_time_t now = load_now();
	int running;

	if (loop->curl_due <= now) {
		loop->curl_due = MEDLAR_TIME_NEVER;
		curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
	medlar_client_run(&loop->client, now);
}

/**
 * load_loop_run() - run the event loop until its stop member is set
 * @loop: loop
 */
void load_loop_run(load_loop_t *loop)
{
	struct epoll_event events[EVENTS_MAX];
	int count;
	int i;

	while (!loop->stop) {
		arm_timer(loop);
		count = epoll_wait(loop->epoll_fd, events, EVENTS_MAX, -1);
		for (i = 0; i < count; i++)
			handle_event(loop, &events[i]);
		run_timers(loop);
		end_finished_transfers(loop);
	}
}
