/**
 * DOC: mailbox of an event loop, for calls from other threads
 *
 * Concurrency Kit implements the ring in inline assembly, whose memory ordering
 * ThreadSanitizer doesn't see. So accesses to the ring's slots are hidden from
 * it, and the ordering that the ring provides is declared by a release before
 * an enqueue and an acquire after a dequeue. Nothing else is hidden.
 */
#include <sched.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <ck_pr.h>

#include "medlard/mailbox.h"

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>

void AnnotateIgnoreReadsBegin(const char *file, int line);
void AnnotateIgnoreReadsEnd(const char *file, int line);
void AnnotateIgnoreWritesBegin(const char *file, int line);
void AnnotateIgnoreWritesEnd(const char *file, int line);

static void ignore_accesses_begin(void)
{
	AnnotateIgnoreReadsBegin(__FILE__, __LINE__);
	AnnotateIgnoreWritesBegin(__FILE__, __LINE__);
}

static void ignore_accesses_end(void)
{
	AnnotateIgnoreWritesEnd(__FILE__, __LINE__);
	AnnotateIgnoreReadsEnd(__FILE__, __LINE__);
}
#else
#define __tsan_release(address) ((void)(address))
#define __tsan_acquire(address) ((void)(address))
#define ignore_accesses_begin() ((void)0)
#define ignore_accesses_end() ((void)0)
#endif

static bool enqueue_call(mailbox_t *mailbox, mailbox_call_t *call)
{
	bool done;

	__tsan_release(call);
	ignore_accesses_begin();
	done = ck_ring_enqueue_mpsc(&mailbox->ring, mailbox->slots, call);
	ignore_accesses_end();
	return done;
}

static mailbox_call_t *dequeue_call(mailbox_t *mailbox)
{
	void *call = NULL;
	bool done;

	ignore_accesses_begin();
	done = ck_ring_dequeue_mpsc(&mailbox->ring, mailbox->slots,
				    (void *)&call);
	ignore_accesses_end();
	if (!done)
		return NULL;
	__tsan_acquire(call);
	return call;
}

/**
 * mailbox_run() - run the posted calls
 * @mailbox: mailbox; the calling thread must be that of its loop, or that
 *	thread must have ended
 *
 * Return: number of calls run.
 */
size_t mailbox_run(mailbox_t *mailbox)
{
	mailbox_call_t *call;
	size_t count = 0;

	while ((call = dequeue_call(mailbox))) {
		call->fn(call, call->data);
		count++;
	}
	return count;
}

static void on_wakeup(uint32_t events, void *data)
{
	mailbox_t *mailbox = data;
	uint64_t count;

	(void)events;
	if (read(mailbox->wakeup, &count, sizeof(count)) < 0)
		count = 0;
	/*
	 * A call posted after this store writes to the eventfd again, and one
	 * posted before it is seen below. Weakly ordered processors need the
	 * fence for that.
	 */
	ck_pr_fas_32(&mailbox->signalled, 0);
	ck_pr_fence_memory();
	(void)mailbox_run(mailbox);
}

/**
 * mailbox_init() - open the mailbox of an event loop
 * @mailbox: mailbox to initialize
 * @loop: loop of the receiving thread
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_NOMEM or %MEDLAR_ERR_IO.
 */
int mailbox_init(mailbox_t *mailbox, loop_t *loop)
{
	mailbox->loop = loop;
	mailbox->signalled = 0;
	ck_ring_init(&mailbox->ring, MAILBOX_RING_SIZE);
	mailbox->wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (mailbox->wakeup < 0)
		return MEDLAR_ERR_IO;
	return loop_watch(loop, mailbox->wakeup, EPOLLIN, on_wakeup, mailbox);
}

/**
 * mailbox_finish() - close a mailbox
 * @mailbox: mailbox to which no thread posts any more
 *
 * Calls that have not run are lost, and the memory they own is leaked; run them
 * with mailbox_run() before.
 */
void mailbox_finish(mailbox_t *mailbox)
{
	loop_unwatch(mailbox->loop, mailbox->wakeup);
	close(mailbox->wakeup);
}

/**
 * mailbox_post() - run a function in the thread of another loop
 * @mailbox: mailbox of that loop
 * @call: memory for the call; must stay valid until @fn runs
 * @fn: function to run
 * @data: passed to @fn
 *
 * Each request and each store call has at most two posted calls, and the
 * settings limit their number, so the ring should never be full. If it is, the
 * sender yields until the receiver has made room.
 */
void mailbox_post(mailbox_t *mailbox, mailbox_call_t *call, mailbox_fn_t fn,
		  void *data)
{
	const uint64_t one = 1;

	*call = (mailbox_call_t){ fn, data };
	while (!enqueue_call(mailbox, call))
		sched_yield();
	ck_pr_fence_memory();
	if (ck_pr_fas_32(&mailbox->signalled, 1))
		return;
	if (write(mailbox->wakeup, &one, sizeof(one)) < 0)
		ck_pr_store_32(&mailbox->signalled, 0);
}
