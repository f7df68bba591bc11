/**
 * DOC: calls posted from one thread to the loop of another
 *
 * Concurrency Kit's ring is inline assembly, in which ThreadSanitizer sees no
 * ordering. The release before and the acquire after each passage through the
 * ring are therefore told to it here, and nowhere else.
 */
#include <sched.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <ck_pr.h>

#include "medlard/handoff.h"

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define TSAN_RELEASE(address) __tsan_release(address)
#define TSAN_ACQUIRE(address) __tsan_acquire(address)
#else
#define TSAN_RELEASE(address) ((void)(address))
#define TSAN_ACQUIRE(address) ((void)(address))
#endif

static void run_calls(uint32_t events, void *data)
{
	handoff_t *handoff = data;
	handoff_call_t *call;
	uint64_t count;

	(void)events;
	if (read(handoff->wakeup, &count, sizeof(count)) < 0)
		count = 0;
	/* A call posted after this store signals anew. */
	ck_pr_fas_32(&handoff->signalled, 0);
	while (ck_ring_dequeue_mpsc(&handoff->ring, handoff->slots,
				    (void *)&call)) {
		TSAN_ACQUIRE(call);
		call->fn(call, call->data);
	}
}

/**
 * handoff_init() - open the mailbox of a loop
 * @handoff: memory of the caller
 * @loop: loop of the receiving thread
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_NOMEM or %MEDLAR_ERR_IO.
 */
int handoff_init(handoff_t *handoff, loop_t *loop)
{
	handoff->loop = loop;
	handoff->signalled = 0;
	ck_ring_init(&handoff->ring, HANDOFF_RING_SIZE);
	handoff->wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (handoff->wakeup < 0)
		return MEDLAR_ERR_IO;
	return loop_watch(loop, handoff->wakeup, EPOLLIN, run_calls, handoff);
}

/**
 * handoff_finish() - close a mailbox
 * @handoff: a mailbox that nobody posts to any more
 *
 * Calls that have not run are dropped.
 */
void handoff_finish(handoff_t *handoff)
{
	loop_unwatch(handoff->loop, handoff->wakeup);
	close(handoff->wakeup);
}

/**
 * handoff_post() - run a function in the thread of another loop
 * @handoff: mailbox of that loop
 * @call: memory for the call, lent until @fn runs
 * @fn: function
 * @data: passed to @fn
 *
 * Each request and each store call has at most two calls under way and their
 * number is bounded by the settings, so that the ring has room. Should it be
 * full all the same, the sender waits for the receiver.
 */
void handoff_post(handoff_t *handoff, handoff_call_t *call, handoff_fn_t fn,
		  void *data)
{
	const uint64_t one = 1;

	*call = (handoff_call_t){ fn, data };
	TSAN_RELEASE(call);
	while (!ck_ring_enqueue_mpsc(&handoff->ring, handoff->slots, call))
		sched_yield();
	if (ck_pr_fas_32(&handoff->signalled, 1))
		return;
	if (write(handoff->wakeup, &one, sizeof(one)) < 0)
		ck_pr_store_32(&handoff->signalled, 0);
}
