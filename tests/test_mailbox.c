/**
 * DOC: tests of the mailbox; meant to be run under ThreadSanitizer as well
 */
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

#include "medlard/mailbox.h"

#define SENDERS 3
#define CALLS 20000

/**
 * struct receiver - a thread that receives calls
 * @client: client of the core
 * @loop: event loop
 * @inbox: mailbox of @loop
 * @next: number of the next call expected from each sender
 * @left: number of calls still expected
 * @calls_in_order: no call has arrived out of order
 */
typedef struct receiver {
	medlar_client_t client;
	loop_t loop;
	mailbox_t inbox;
	unsigned next[SENDERS];
	unsigned left;
	bool calls_in_order;
} receiver_t;

/** struct message - a call and plain data that the receiver reads */
typedef struct message {
	mailbox_call_t call;
	unsigned sender;
	unsigned number;
	receiver_t *receiver;
} message_t;

/** struct sender - a sending thread */
typedef struct sender {
	pthread_t thread;
	unsigned index;
	receiver_t *receiver;
} sender_t;

static void receive(mailbox_call_t *call, void *data)
{
	message_t *message = data;
	receiver_t *receiver = message->receiver;

	(void)call;
	if (receiver->next[message->sender]++ != message->number)
		receiver->calls_in_order = false;
	free(message);
	if (--receiver->left == 0)
		loop_stop(&receiver->loop);
}

static void *send_all(void *data)
{
	const sender_t *sender = data;

	for (unsigned i = 0; i < CALLS; i++) {
		message_t *message = malloc(sizeof(*message));

		message->sender = sender->index;
		message->number = i;
		message->receiver = sender->receiver;
		mailbox_post(&sender->receiver->inbox, &message->call, receive,
			     message);
	}
	return NULL;
}

static receiver_t *new_receiver(unsigned expected)
{
	receiver_t *receiver = calloc(1, sizeof(*receiver));

	medlar_client_init(&receiver->client, MEDLAR_STR("test"), 0, 1);
	assert_int_equal(loop_init(&receiver->loop, &receiver->client),
			 MEDLAR_OK);
	assert_int_equal(mailbox_init(&receiver->inbox, &receiver->loop),
			 MEDLAR_OK);
	receiver->left = expected;
	receiver->calls_in_order = true;
	return receiver;
}

static void free_receiver(receiver_t *receiver)
{
	mailbox_finish(&receiver->inbox);
	loop_finish(&receiver->loop);
	medlar_client_finish(&receiver->client);
	free(receiver);
}

static void calls_of_each_sender_arrive_in_order(void **state)
{
	receiver_t *receiver = new_receiver(SENDERS * CALLS);
	sender_t senders[SENDERS];

	(void)state;
	for (unsigned i = 0; i < SENDERS; i++) {
		senders[i] = (sender_t){ .index = i, .receiver = receiver };
		assert_int_equal(pthread_create(&senders[i].thread, NULL,
						send_all, &senders[i]),
				 0);
	}
	loop_run(&receiver->loop);
	for (unsigned i = 0; i < SENDERS; i++)
		pthread_join(senders[i].thread, NULL);
	assert_true(receiver->calls_in_order);
	for (unsigned i = 0; i < SENDERS; i++)
		assert_int_equal(receiver->next[i], CALLS);
	free_receiver(receiver);
}

static void a_call_posted_before_the_loop_runs_arrives(void **state)
{
	receiver_t *receiver = new_receiver(1);
	message_t *message = calloc(1, sizeof(*message));

	(void)state;
	message->receiver = receiver;
	mailbox_post(&receiver->inbox, &message->call, receive, message);
	loop_run(&receiver->loop);
	assert_int_equal(receiver->left, 0);
	free_receiver(receiver);
}

static void a_call_posted_after_the_loop_ended_can_still_run(void **state)
{
	receiver_t *receiver = new_receiver(2);

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		message_t *message = calloc(1, sizeof(*message));

		message->receiver = receiver;
		message->number = i;
		mailbox_post(&receiver->inbox, &message->call, receive,
			     message);
	}
	assert_int_equal(mailbox_run(&receiver->inbox), 2);
	assert_int_equal(mailbox_run(&receiver->inbox), 0);
	assert_int_equal(receiver->left, 0);
	assert_true(receiver->calls_in_order);
	free_receiver(receiver);
}

#define BOUNCES 20000

/** struct bounce - a call that goes to and fro between two loops */
typedef struct bounce {
	mailbox_call_t call;
	receiver_t *receivers[2];
	unsigned count;
} bounce_t;

static void stop_receiver(mailbox_call_t *call, void *data)
{
	receiver_t *receiver = data;

	(void)call;
	loop_stop(&receiver->loop);
}

/* Once the call is posted, the other thread owns it. */
static void bounce_back(mailbox_call_t *call, void *data)
{
	bounce_t *bounce = data;
	unsigned count = ++bounce->count;
	receiver_t *from = bounce->receivers[(count + 1) % 2];
	receiver_t *to = bounce->receivers[count % 2];

	if (count < BOUNCES) {
		mailbox_post(&to->inbox, call, bounce_back, data);
		return;
	}
	mailbox_post(&to->inbox, call, stop_receiver, to);
	loop_stop(&from->loop);
}

static void *run_loop(void *data)
{
	receiver_t *receiver = data;

	loop_run(&receiver->loop);
	return NULL;
}

/* Each call is posted while its receiver is about to wait for events. */
static void a_receiver_that_falls_asleep_gets_the_call(void **state)
{
	bounce_t bounce = { .receivers = { new_receiver(0), new_receiver(0) } };
	pthread_t threads[2];

	(void)state;
	mailbox_post(&bounce.receivers[0]->inbox, &bounce.call, bounce_back,
		     &bounce);
	for (int i = 0; i < 2; i++)
		assert_int_equal(pthread_create(&threads[i], NULL, run_loop,
						bounce.receivers[i]),
				 0);
	for (int i = 0; i < 2; i++)
		pthread_join(threads[i], NULL);
	assert_int_equal(bounce.count, BOUNCES);
	for (int i = 0; i < 2; i++)
		free_receiver(bounce.receivers[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_receiver_that_falls_asleep_gets_the_call),
		cmocka_unit_test(calls_of_each_sender_arrive_in_order),
		cmocka_unit_test(a_call_posted_before_the_loop_runs_arrives),
		cmocka_unit_test(
			a_call_posted_after_the_loop_ended_can_still_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
