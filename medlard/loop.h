/**
 * DOC: event loop of one thread
 *
 * Waits for file descriptors with epoll and runs the timers of a client.
 */
#ifndef MEDLARD_LOOP_H
#define MEDLARD_LOOP_H

#include "libmedlar/medlar.h"

#define LOOP_HOOKS_MAX 8

typedef void (*loop_fd_fn_t)(uint32_t events, void *data);
typedef void (*loop_hook_fn_t)(void *data);

/**
 * struct loop_watch - callback for a file descriptor
 * @fn: called with epoll events; NULL if the descriptor is not watched
 * @data: passed to @fn
 * @generation: number of watches so far, to drop events of an earlier watch of
 *	the same descriptor number
 */
typedef struct loop_watch {
	loop_fd_fn_t fn;
	void *data;
	uint32_t generation;
} loop_watch_t;

/**
 * struct loop_hook - callback at the end of each iteration
 * @fn: function
 * @data: passed to @fn
 */
typedef struct loop_hook {
	loop_hook_fn_t fn;
	void *data;
} loop_hook_t;

/**
 * struct loop - event loop
 * @epoll: epoll descriptor
 * @client: client whose timers the loop runs
 * @now: time at the start of the current iteration, ms; see clock_now()
 * @watches: callbacks, indexed by file descriptor
 * @watches_len: entries of @watches
 * @hooks: callbacks at the end of each iteration, in order
 * @hooks_len: entries of @hooks
 * @stopped: loop_run() returns at the end of the iteration
 */
typedef struct loop {
	int epoll;
	medlar_client_t *client;
	medlar_time_t now;
	loop_watch_t *watches;
	size_t watches_len;
	loop_hook_t hooks[LOOP_HOOKS_MAX];
	size_t hooks_len;
	bool stopped;
} loop_t;

int loop_init(loop_t *loop, medlar_client_t *client);
void loop_finish(loop_t *loop);
int loop_watch(loop_t *loop, int fd, uint32_t events, loop_fd_fn_t fn,
	       void *data);
void loop_unwatch(loop_t *loop, int fd);
int loop_add_hook(loop_t *loop, loop_hook_fn_t fn, void *data);
int loop_poll(loop_t *loop, medlar_time_t now);
void loop_run(loop_t *loop);
void loop_stop(loop_t *loop);

#endif /* MEDLARD_LOOP_H */
