/**
 * DOC: calls posted from one thread to the loop of another
 *
 * Concurrency Kit's ring is inline assembly, in which ThreadSanitizer sees no
 * ordering. So the accesses to the ring's own slots are hidden from it, and
 * the order that the ring gives to the calls that pass through it is told by a
 * release before and an acquire after. Nothing else is hidden.
 */
#include <sched.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <ck_pr.h>

#include "medlard/handoff.h"

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>

void AnnotateIgnoreReadsBegin(const char *file, int line);
void AnnotateIgnoreReadsEnd(const char *file, int line);
void AnnotateIgnoreWritesBegin(const char *file, int line);
void AnnotateIgnoreWritesEnd(const char *file, int line);

static void hide_slots(void)
{
	AnnotateIgnoreReadsBegin(__FILE__, __LINE__);
	AnnotateIgnoreWritesBegin(__FILE__, __LINE__);
}

static void show_slots(void)
{
	AnnotateIgnoreWritesEnd(__FILE__, __LINE__);
	AnnotateIgnoreReadsEnd(__FILE__, __LINE__);
}
#else
#define __tsan_release(address) ((void)(address))
#define __tsan_acquire(address) ((void)(address))
#define hide_slots() ((void)0)
#define show_slots() ((void)0)
#endif

static bool put(handoff_t *handoff, handoff_call_t *call)
{
	bool done;

	__tsan_release(call);
	hide_slots();
	done = ck_ring_enqueue_mpsc(&handoff->ring, handoff->slots, call);
	show_slots();
	return done;
}

static handoff_call_t *take(handoff_t *handoff)
{
	void *call = NULL;
	bool done;

	hide_slots();
	done = ck_ring_dequeue_mpsc(&handoff->ring, handoff->slots,
				    (void *)&call);
	show_slots();
	if (!done)
		return NULL;
	__tsan_acquire(call);
	return call;
}

/**
 * handoff_run() - run the calls that wait
 * @handoff: mailbox; the caller is in the thread of its loop, or that thread
 * has ended
 *
 * Return: how many ran.
 */
size_t handoff_run(handoff_t *handoff)
{
	handoff_call_t *call;
	size_t count = 0;

	while ((call = take(handoff))) {
		call->fn(call, call->data);
		count++;
	}
	return count;
}

static void on_wakeup(uint32_t events, void *data)
{
	handoff_t *handoff = data;
	uint64_t count;

	(void)events;
	if (read(handoff->wakeup, &count, sizeof(count)) < 0)
		count = 0;
	/* A call posted after this store signals anew. */
	ck_pr_fas_32(&handoff->signalled, 0);
	(void)handoff_run(handoff);
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
	return loop_watch(loop, handoff->wakeup, EPOLLIN, on_wakeup, handoff);
}

/**
 * handoff_finish() - close a mailbox
 * @handoff: a mailbox that nobody posts to any more
 *
 * Calls that have not run are dropped with the memory that they own, see
 * handoff_run().
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
	while (!put(handoff, call))
		sched_yield();
	if (ck_pr_fas_32(&handoff->signalled, 1))
		return;
	if (write(handoff->wakeup, &one, sizeof(one)) < 0)
		ck_pr_store_32(&handoff->signalled, 0);
}
