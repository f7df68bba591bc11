/**
 * DOC: tests of calls between threads, of worth under ThreadSanitizer
 */
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

#include "medlard/handoff.h"

#define SENDERS 3
#define CALLS 20000

/**
 * struct box - a receiver
 * @client: client of its loop
 * @loop: its loop
 * @inbox: its mailbox
 * @next: number of the call that each sender must make next
 * @left: calls still to come
 * @in_order: no call came out of order
 */
typedef struct box {
	medlar_client_t client;
	loop_t loop;
	handoff_t inbox;
	unsigned next[SENDERS];
	unsigned left;
	bool in_order;
} box_t;

/** struct parcel - a call with plain memory that the receiver reads */
typedef struct parcel {
	handoff_call_t call;
	unsigned sender;
	unsigned number;
	box_t *box;
} parcel_t;

/** struct sender - a sending thread */
typedef struct sender {
	pthread_t thread;
	unsigned index;
	box_t *box;
} sender_t;

static void receive(handoff_call_t *call, void *data)
{
	parcel_t *parcel = data;
	box_t *box = parcel->box;

	(void)call;
	if (box->next[parcel->sender]++ != parcel->number)
		box->in_order = false;
	free(parcel);
	if (--box->left == 0)
		loop_stop(&box->loop);
}

static void *send_all(void *data)
{
	const sender_t *sender = data;

	for (unsigned i = 0; i < CALLS; i++) {
		parcel_t *parcel = malloc(sizeof(*parcel));

		parcel->sender = sender->index;
		parcel->number = i;
		parcel->box = sender->box;
		handoff_post(&sender->box->inbox, &parcel->call, receive,
			     parcel);
	}
	return NULL;
}

static box_t *new_box(unsigned expected)
{
	box_t *box = calloc(1, sizeof(*box));

	medlar_client_init(&box->client, MEDLAR_STR("test"), 0, 1);
	assert_int_equal(loop_init(&box->loop, &box->client), MEDLAR_OK);
	assert_int_equal(handoff_init(&box->inbox, &box->loop), MEDLAR_OK);
	box->left = expected;
	box->in_order = true;
	return box;
}

static void free_box(box_t *box)
{
	handoff_finish(&box->inbox);
	loop_finish(&box->loop);
	medlar_client_finish(&box->client);
	free(box);
}

static void calls_of_each_sender_arrive_in_order(void **state)
{
	box_t *box = new_box(SENDERS * CALLS);
	sender_t senders[SENDERS];

	(void)state;
	for (unsigned i = 0; i < SENDERS; i++) {
		senders[i] = (sender_t){ .index = i, .box = box };
		assert_int_equal(pthread_create(&senders[i].thread, NULL,
						send_all, &senders[i]),
				 0);
	}
	loop_run(&box->loop);
	for (unsigned i = 0; i < SENDERS; i++)
		pthread_join(senders[i].thread, NULL);
	assert_true(box->in_order);
	for (unsigned i = 0; i < SENDERS; i++)
		assert_int_equal(box->next[i], CALLS);
	free_box(box);
}

static void a_call_posted_before_the_loop_runs_arrives(void **state)
{
	box_t *box = new_box(1);
	parcel_t *parcel = calloc(1, sizeof(*parcel));

	(void)state;
	parcel->box = box;
	handoff_post(&box->inbox, &parcel->call, receive, parcel);
	loop_run(&box->loop);
	assert_int_equal(box->left, 0);
	free_box(box);
}

static void a_call_posted_after_the_loop_ended_can_still_run(void **state)
{
	box_t *box = new_box(2);

	(void)state;
	for (unsigned i = 0; i < 2; i++) {
		parcel_t *parcel = calloc(1, sizeof(*parcel));

		parcel->box = box;
		parcel->number = i;
		handoff_post(&box->inbox, &parcel->call, receive, parcel);
	}
	assert_int_equal(handoff_run(&box->inbox), 2);
	assert_int_equal(handoff_run(&box->inbox), 0);
	assert_int_equal(box->left, 0);
	assert_true(box->in_order);
	free_box(box);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(calls_of_each_sender_arrive_in_order),
		cmocka_unit_test(a_call_posted_before_the_loop_runs_arrives),
		cmocka_unit_test(
			a_call_posted_after_the_loop_ended_can_still_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
