/**
 * DOC: one-shot timers in a binary heap
 */
#include <stdlib.h>

#include "medlar.h"

#define TIMERS_CAP_MIN 64

/**
 * medlar_timer_init() - initialise a timer that is not set
 * @timer: timer in memory of the caller; must stay valid while it is set
 * @fn: called when it fires
 * @data: passed to @fn
 */
void medlar_timer_init(medlar_timer_t *timer, medlar_timer_fn_t fn, void *data)
{
	*timer = (medlar_timer_t){ .fn = fn, .data = data };
}

static void place_timer(medlar_timers_t *timers, size_t at,
			medlar_timer_t *timer)
{
	timers->heap[at] = timer;
	timer->slot = at + 1;
}

static void sift_up(medlar_timers_t *timers, size_t at, medlar_timer_t *timer)
{
	while (at > 0) {
		size_t parent = (at - 1) / 2;

		if (timers->heap[parent]->due <= timer->due)
			break;
		place_timer(timers, at, timers->heap[parent]);
		at = parent;
	}
	place_timer(timers, at, timer);
}

static void sift_down(medlar_timers_t *timers, size_t at, medlar_timer_t *timer)
{
	for (;;) {
		size_t child = 2 * at + 1;

		if (child >= timers->len)
			break;
		if (child + 1 < timers->len &&
		    timers->heap[child + 1]->due < timers->heap[child]->due)
			child++;
		if (timers->heap[child]->due >= timer->due)
			break;
		place_timer(timers, at, timers->heap[child]);
		at = child;
	}
	place_timer(timers, at, timer);
}

static bool grow_heap(medlar_timers_t *timers)
{
	size_t cap = timers->cap ? 2 * timers->cap : TIMERS_CAP_MIN;
	medlar_timer_t **heap;

	heap = realloc(timers->heap, cap * sizeof(*heap));
	if (!heap)
		return false;
	timers->heap = heap;
	timers->cap = cap;
	return true;
}

/**
 * medlar_timer_set() - set a timer, or change the time of one that is set
 * @client: client whose medlar_client_run() fires it
 * @timer: an initialised timer
 * @due: absolute time at which it fires, ms
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM; the timer is not set then.
 */
int medlar_timer_set(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t due)
{
	medlar_timers_t *timers = &client->timers;

	medlar_timer_clear(client, timer);
	if (timers->len == timers->cap && !grow_heap(timers))
		return MEDLAR_ERR_NOMEM;
	timer->due = due;
	sift_up(timers, timers->len++, timer);
	return MEDLAR_OK;
}

/**
 * medlar_timer_clear() - cancel a timer
 * @client: client that it was set with
 * @timer: an initialised timer, set or not
 */
void medlar_timer_clear(medlar_client_t *client, medlar_timer_t *timer)
{
	medlar_timers_t *timers = &client->timers;
	medlar_timer_t *last;
	size_t at;

	if (timer->slot == 0)
		return;
	at = timer->slot - 1;
	timer->slot = 0;
	last = timers->heap[--timers->len];
	if (last == timer)
		return;
	sift_down(timers, at, last);
	sift_up(timers, last->slot - 1, last);
}
