/**
 * DOC: event loops of the stand-ins
 */
#include <signal.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "common_loop.h"

#define EVENTS_MAX 256
#define NS_PER_US 1000
#define US_PER_SECOND 1000000

/**
 * fake_now() - read the monotonic clock
 *
 * Return: microseconds since an arbitrary start.
 */
medlar_time_t fake_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * US_PER_SECOND + ts.tv_nsec / NS_PER_US;
}

/**
 * fake_wall_time_ms() - read the time of day
 *
 * Return: milliseconds since 1970.
 */
medlar_time_t fake_wall_time_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/**
 * fake_loop_watch() - wait for a descriptor to become readable
 * @loop: loop
 * @fd: descriptor to watch
 * @data: port whose daemon then runs, or NULL to wake the loop only
 *
 * Return: 0, or -1 with errno set.
 */
int fake_loop_watch(const fake_loop_t *loop, int fd, void *data)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = data };

	return epoll_ctl(loop->epoll, EPOLL_CTL_ADD, fd, &event);
}

/**
 * fake_loop_init() - initialise a loop without ports
 * @loop: memory of the caller
 * @seed: seed of its random generator
 *
 * Return: %MEDLAR_OK or %MEDLAR_ERR_IO.
 */
int fake_loop_init(fake_loop_t *loop, uint64_t seed)
{
	*loop = (fake_loop_t){ .timer_due = MEDLAR_TIME_NEVER };
	medlar_client_init(&loop->client, MEDLAR_STR("fake"), 0, seed);
	pthread_mutex_init(&loop->lock, NULL);
	loop->epoll = epoll_create1(EPOLL_CLOEXEC);
	loop->timer = timerfd_create(CLOCK_MONOTONIC,
				     TFD_CLOEXEC | TFD_NONBLOCK);
	loop->wake_event = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (loop->epoll < 0 || loop->timer < 0 || loop->wake_event < 0)
		return MEDLAR_ERR_IO;
	if (fake_loop_watch(loop, loop->timer, NULL) ||
	    fake_loop_watch(loop, loop->wake_event, NULL))
		return MEDLAR_ERR_IO;
	return MEDLAR_OK;
}

/**
 * fake_loop_finish() - free a loop whose ports are closed
 * @loop: loop
 */
void fake_loop_finish(fake_loop_t *loop)
{
	close(loop->epoll);
	close(loop->timer);
	close(loop->wake_event);
	pthread_mutex_destroy(&loop->lock);
	medlar_client_finish(&loop->client);
}

/**
 * fake_loop_wake() - wake a loop, to check its ports and timers
 * @loop: loop; may run in another thread
 */
void fake_loop_wake(fake_loop_t *loop)
{
	const uint64_t one = 1;

	if (write(loop->wake_event, &one, sizeof(one)) < 0)
		return;
}

/**
 * fake_loop_stop() - make fake_loop_run() return
 * @loop: loop; may run in another thread
 */
void fake_loop_stop(fake_loop_t *loop)
{
	pthread_mutex_lock(&loop->lock);
	loop->stop = true;
	pthread_mutex_unlock(&loop->lock);
	fake_loop_wake(loop);
}

static void drain_event(int fd)
{
	uint64_t count;

	if (read(fd, &count, sizeof(count)) < 0)
		return;
}

static void set_loop_timer(fake_loop_t *loop)
{
	medlar_time_t due = medlar_client_due(&loop->client);
	struct itimerspec spec = { 0 };

	if (due == loop->timer_due)
		return;
	loop->timer_due = due;
	if (due != MEDLAR_TIME_NEVER) {
		spec.it_value.tv_sec = due / US_PER_SECOND;
		spec.it_value.tv_nsec = due % US_PER_SECOND * NS_PER_US;
	}
	timerfd_settime(loop->timer, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void run_timers(fake_loop_t *loop)
{
	medlar_time_t now = fake_now();

	if (medlar_client_due(&loop->client) > now)
		return;
	loop->timer_due = 0;
	medlar_client_run(&loop->client, now);
}

static bool run_ports(fake_loop_t *loop)
{
	fake_port_t *port;
	bool more = false;

	for (port = loop->ports; port; port = port->next) {
		MHD_UNSIGNED_LONG_LONG wait;

		if (!port->has_work || !port->mhd)
			continue;
		port->has_work = false;
		MHD_run(port->mhd);
		if (port->mhd && MHD_get_timeout(port->mhd, &wait) == MHD_YES &&
		    wait == 0)
			port->has_work = true;
		more |= port->has_work;
	}
	return more;
}

/**
 * fake_loop_run() - serve the ports until fake_loop_stop() is called
 * @loop: loop with at least one port
 */
void fake_loop_run(fake_loop_t *loop)
{
	struct epoll_event events[EVENTS_MAX];
	bool more = false;
	int count;
	int i;

	for (;;) {
		count = epoll_wait(loop->epoll, events, EVENTS_MAX,
				   more ? 0 : -1);
		pthread_mutex_lock(&loop->lock);
		for (i = 0; i < count; i++) {
			fake_port_t *port = events[i].data.ptr;

			if (port)
				port->has_work = true;
		}
		drain_event(loop->wake_event);
		run_timers(loop);
		more = run_ports(loop);
		set_loop_timer(loop);
		if (loop->stop)
			break;
		pthread_mutex_unlock(&loop->lock);
	}
	pthread_mutex_unlock(&loop->lock);
}

static void *wait_for_signal(void *data)
{
	fake_loop_t *loop = data;
	sigset_t set;
	int number;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigwait(&set, &number);
	fake_loop_stop(loop);
	return NULL;
}

/**
 * fake_loop_stop_on_signal() - stop a loop on SIGTERM or SIGINT
 * @loop: loop to stop
 * @thread: receives the thread that waits; join it after fake_loop_run()
 *
 * Blocks both signals in the calling thread. Call it before other threads are
 * started, so that they inherit the mask.
 *
 * Return: 0 or an error number.
 */
int fake_loop_stop_on_signal(fake_loop_t *loop, pthread_t *thread)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	return pthread_create(thread, NULL, wait_for_signal, loop);
}
