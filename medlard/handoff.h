/**
 * DOC: calls posted from one thread to the loop of another
 *
 * A mailbox belongs to one loop. Any thread may post to it; calls of one
 * sender run in the order of posting.
 */
#ifndef MEDLARD_HANDOFF_H
#define MEDLARD_HANDOFF_H

#include <ck_ring.h>

#include "medlard/loop.h"

#define HANDOFF_RING_SIZE 16384

typedef struct handoff_call handoff_call_t;
typedef void (*handoff_fn_t)(handoff_call_t *call, void *data);

/**
 * struct handoff_call - a posted call, in memory of the sender
 * @fn: called by the receiving thread; owns the memory from then on
 * @data: passed to @fn
 *
 * A call that has been posted must not be posted again before it has run.
 */
struct handoff_call {
	handoff_fn_t fn;
	void *data;
};

/**
 * struct handoff - the mailbox of a loop
 * @loop: loop that runs the calls
 * @wakeup: eventfd that wakes the loop
 * @signalled: 1 while a wake-up is under way
 * @ring: positions of producers and consumer
 * @slots: memory of @ring
 */
typedef struct handoff {
	loop_t *loop;
	int wakeup;
	uint32_t signalled;
	ck_ring_t ring;
	ck_ring_buffer_t slots[HANDOFF_RING_SIZE];
} handoff_t;

int handoff_init(handoff_t *mailbox, loop_t *loop);
void handoff_finish(handoff_t *mailbox);
size_t handoff_run(handoff_t *mailbox);
void handoff_post(handoff_t *mailbox, handoff_call_t *call, handoff_fn_t fn,
		  void *data);

#endif /* MEDLARD_HANDOFF_H */
