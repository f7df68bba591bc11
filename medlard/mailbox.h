/**
 * DOC: mailbox of an event loop, for calls from other threads
 *
 * Any thread may post calls to a mailbox; the thread of its loop runs them.
 * Calls of one sender run in the order in which they were posted.
 */
#ifndef MEDLARD_MAILBOX_H
#define MEDLARD_MAILBOX_H

#include <ck_ring.h>

#include "medlard/loop.h"

/** Entries of the ring; a power of two. */
#define MAILBOX_RING_SIZE 16384

typedef struct mailbox_call mailbox_call_t;
typedef void (*mailbox_fn_t)(mailbox_call_t *call, void *data);

/**
 * struct mailbox_call - a posted call, allocated by the sender
 * @fn: called by the receiving thread; takes ownership of the call
 * @data: passed to @fn
 *
 * A posted call must not be posted again before it has run.
 */
struct mailbox_call {
	mailbox_fn_t fn;
	void *data;
};

/**
 * struct mailbox - the mailbox of an event loop
 * @loop: loop whose thread runs the calls
 * @wakeup: eventfd that wakes the loop
 * @signalled: 1 while a wake-up is pending
 * @ring: lock-free ring with many producers and one consumer
 * @slots: entries of @ring
 */
typedef struct mailbox {
	loop_t *loop;
	int wakeup;
	uint32_t signalled;
	ck_ring_t ring;
	ck_ring_buffer_t slots[MAILBOX_RING_SIZE];
} mailbox_t;

int mailbox_init(mailbox_t *mailbox, loop_t *loop);
void mailbox_finish(mailbox_t *mailbox);
size_t mailbox_run(mailbox_t *mailbox);
void mailbox_post(mailbox_t *mailbox, mailbox_call_t *call, mailbox_fn_t fn,
		  void *data);

#endif /* MEDLARD_MAILBOX_H */
