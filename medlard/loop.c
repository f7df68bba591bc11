/**
 * DOC: event loop of one thread
 */
#include <limits.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "medlard/clock.h"
#include "medlard/loop.h"

/*
 * More events than are ready at once, so that one iteration handles all of
 * them and its duration is a measure of the load.
 */
#define EVENTS_MAX 4096
#define WATCHES_MIN 64
#define GENERATION_SHIFT 32

/**
 * loop_init() - initialise a loop
 * @loop: memory provided by the caller
 * @client: client whose timers the loop runs
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_IO if epoll is not available.
 */
int loop_init(loop_t *loop, medlar_client_t *client)
{
	*loop = (loop_t){ .client = client, .now = clock_now() };
	loop->epoll = epoll_create1(EPOLL_CLOEXEC);
	return loop->epoll < 0 ? MEDLAR_ERR_IO : MEDLAR_OK;
}

/**
 * loop_finish() - release a loop
 * @loop: initialised loop; watched descriptors stay open
 */
void loop_finish(loop_t *loop)
{
	close(loop->epoll);
	free(loop->watches);
	*loop = (loop_t){ .epoll = -1 };
}

static int reserve_watches(loop_t *loop, int fd)
{
	size_t len = loop->watches_len ? loop->watches_len : WATCHES_MIN;
	loop_watch_t *watches;

	if ((size_t)fd < loop->watches_len)
		return MEDLAR_OK;
	while (len <= (size_t)fd)
		len *= 2;
	watches = realloc(loop->watches, len * sizeof(*watches));
	if (!watches)
		return MEDLAR_ERR_NOMEM;
	for (size_t i = loop->watches_len; i < len; i++)
		watches[i] = (loop_watch_t){ 0 };
	loop->watches = watches;
	loop->watches_len = len;
	return MEDLAR_OK;
}

/**
 * loop_watch() - watch a descriptor, or change a watch
 * @loop: loop
 * @fd: open descriptor
 * @events: epoll events; level-triggered unless EPOLLET is among them
 * @fn: called with the events that occurred
 * @data: passed to @fn
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_NOMEM or %MEDLAR_ERR_IO.
 */
int loop_watch(loop_t *loop, int fd, uint32_t events, loop_fd_fn_t fn,
	       void *data)
{
	struct epoll_event event = { .events = events };
	loop_watch_t *watch;
	int op = EPOLL_CTL_MOD;

	if (reserve_watches(loop, fd))
		return MEDLAR_ERR_NOMEM;
	watch = &loop->watches[fd];
	if (!watch->fn) {
		watch->generation++;
		op = EPOLL_CTL_ADD;
	}
	event.data.u64 = (uint64_t)watch->generation << GENERATION_SHIFT |
			 (uint32_t)fd;
	if (epoll_ctl(loop->epoll, op, fd, &event) &&
	    epoll_ctl(loop->epoll, EPOLL_CTL_ADD, fd, &event))
		return MEDLAR_ERR_IO;
	watch->fn = fn;
	watch->data = data;
	return MEDLAR_OK;
}

/**
 * loop_unwatch() - stop watching a descriptor
 * @loop: loop
 * @fd: descriptor; may be unwatched or already closed
 */
void loop_unwatch(loop_t *loop, int fd)
{
	if (fd < 0 || (size_t)fd >= loop->watches_len || !loop->watches[fd].fn)
		return;
	loop->watches[fd].fn = NULL;
	loop->watches[fd].data = NULL;
	(void)epoll_ctl(loop->epoll, EPOLL_CTL_DEL, fd, NULL);
}

/**
 * loop_add_hook() - add a callback at the end of each iteration
 * @loop: loop
 * @fn: function
 * @data: passed to @fn
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_FULL after %LOOP_HOOKS_MAX.
 */
int loop_add_hook(loop_t *loop, loop_hook_fn_t fn, void *data)
{
	if (loop->hooks_len == LOOP_HOOKS_MAX)
		return MEDLAR_ERR_FULL;
	loop->hooks[loop->hooks_len++] = (loop_hook_t){ fn, data };
	return MEDLAR_OK;
}

static int wait_timeout(const loop_t *loop)
{
	medlar_time_t due = medlar_client_due(loop->client);
	medlar_time_t now;

	if (due == MEDLAR_TIME_NEVER)
		return -1;
	now = clock_now();
	if (due <= now)
		return 0;
	return due - now > INT_MAX ? INT_MAX : (int)(due - now);
}

static void dispatch_event(loop_t *loop, const struct epoll_event *event)
{
	uint32_t fd = (uint32_t)event->data.u64;
	uint32_t generation = (uint32_t)(event->data.u64 >> GENERATION_SHIFT);
	const loop_watch_t *watch = &loop->watches[fd];

	if (watch->fn && watch->generation == generation)
		watch->fn(event->events, watch->data);
}

static void handle_events(loop_t *loop, const struct epoll_event *events,
			  int count, medlar_time_t now)
{
	loop->now = now;
	for (int i = 0; i < count; i++)
		dispatch_event(loop, &events[i]);
	medlar_client_run(loop->client, now);
	for (size_t i = 0; i < loop->hooks_len; i++)
		loop->hooks[i].fn(loop->hooks[i].data);
}

static void run_iteration(loop_t *loop)
{
	struct epoll_event events[EVENTS_MAX];
	int count = epoll_wait(loop->epoll, events, EVENTS_MAX,
			       wait_timeout(loop));

	handle_events(loop, events, count, clock_now());
}

/**
 * loop_poll() - run one iteration at a given time, without waiting
 * @loop: loop
 * @now: time of the iteration, ms
 *
 * Drives a loop on a clock of the caller.
 *
 * Return: number of events that were handled.
 */
int loop_poll(loop_t *loop, medlar_time_t now)
{
	struct epoll_event events[EVENTS_MAX];
	int count = epoll_wait(loop->epoll, events, EVENTS_MAX, 0);

	handle_events(loop, events, count, now);
	return count;
}

/**
 * loop_run() - handle events until loop_stop() is called
 * @loop: loop
 */
void loop_run(loop_t *loop)
{
	while (!loop->stopped)
		run_iteration(loop);
}

/**
 * loop_stop() - make loop_run() return at the end of the iteration
 * @loop: loop of the calling thread
 */
void loop_stop(loop_t *loop)
{
	loop->stopped = true;
}
