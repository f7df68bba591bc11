/**
 * DOC: an event loop of one thread
 *
 * Waits for file descriptors with epoll and fires the timers of a client.
 */
#ifndef MEDLARD_LOOP_H
#define MEDLARD_LOOP_H

#include "libmedlar/medlar.h"

#define LOOP_HOOKS_MAX 8

typedef void (*loop_fd_fn_t)(uint32_t events, void *data);
typedef void (*loop_hook_fn_t)(void *data);

/**
 * struct loop_watch - who is told about a file descriptor
 * @fn: called with epoll events; NULL when the descriptor is not watched
 * @data: passed to @fn
 * @generation: tells events of an earlier watch of the same number apart
 */
typedef struct loop_watch {
	loop_fd_fn_t fn;
	void *data;
	uint32_t generation;
} loop_watch_t;

/** struct loop_hook - a function called once in each turn */
typedef struct loop_hook {
	loop_hook_fn_t fn;
	void *data;
} loop_hook_t;

/**
 * struct loop - an event loop
 * @epoll: epoll descriptor
 * @client: its timers are fired by the loop
 * @now: time of the current turn, ms
 * @watches: indexed by descriptor
 * @watches_len: entries of @watches
 * @hooks: called at the end of each turn, in order
 * @hooks_len: how many
 * @stopped: loop_run() returns at the end of the turn
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
int loop_hook(loop_t *loop, loop_hook_fn_t fn, void *data);
void loop_run(loop_t *loop);
void loop_stop(loop_t *loop);

#endif /* MEDLARD_LOOP_H */
