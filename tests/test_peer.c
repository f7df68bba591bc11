/* Messages between instances survive the way, and others are dropped. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>
#include <sodium.h>

#include "medlard/peer.h"

#define PORT_A 27001
#define PORT_B 27002
#define GARBAGE 2000
#define WAIT (5 * MEDLAR_SECOND)

static const char secret[] = "000102030405060708090a0b0c0d0e0f";
static const char other_secret[] = "ff0102030405060708090a0b0c0d0e0f";

/* An instance with its loop. */
typedef struct end {
	medlar_client_t client;
	loop_t loop;
	logger_t log;
	metrics_t metrics;
	peer_t peer;
	medlar_timer_t bound;
	unsigned received;
	unsigned wanted;
	uint64_t revision;
} end_t;

static void on_receive(const medlar_message_t *message, void *data)
{
	end_t *end = data;

	end->revision = message->revision;
	if (++end->received >= end->wanted)
		loop_stop(&end->loop);
}

static void on_bound(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	end_t *end = data;

	(void)client;
	(void)timer;
	(void)now;
	loop_stop(&end->loop);
}

static void open_end(end_t *end, uint16_t port, const char *key)
{
	const peer_params_t settings = { "127.0.0.1", port,
					 medlar_str_from(key), &end->metrics };

	memset(end, 0, sizeof(*end));
	medlar_client_init(&end->client, MEDLAR_STR("a"), 0, 1);
	log_init(&end->log, STDERR_FILENO, -1, LOG_LEVEL_ERROR);
	assert_int_equal(loop_init(&end->loop, &end->client), MEDLAR_OK);
	assert_int_equal(peer_init(&end->peer, &end->loop, &end->log, &settings,
				   on_receive, end),
			 MEDLAR_OK);
	medlar_timer_init(&end->bound, on_bound, end);
}

static void close_end(end_t *end)
{
	medlar_timer_clear(&end->client, &end->bound);
	peer_finish(&end->peer);
	loop_finish(&end->loop);
	log_finish(&end->log);
	medlar_client_finish(&end->client);
}

static void wait_for(end_t *end, unsigned wanted, medlar_time_t most)
{
	end->loop.stopped = false;
	end->wanted = wanted;
	medlar_timer_set(&end->client, &end->bound, end->loop.now + most);
	loop_run(&end->loop);
}

static medlar_member_info_t info_at(uint16_t port)
{
	return (medlar_member_info_t){ .name = "b",
				       .host = "127.0.0.1",
				       .peer_port = port,
				       .zone = "bkk-a" };
}

static medlar_message_t full_message(medlar_fact_t *fact,
				     const medlar_member_info_t *info,
				     medlar_fact_key_t *key, uint32_t *digests)
{
	*fact = (medlar_fact_t){ MEDLAR_FACT_MEMBER, 1, 2, 3, 4, 5, 6, info };
	*key = (medlar_fact_key_t){ MEDLAR_FACT_DRAIN, 7, 8 };
	memset(digests, 9, MEDLAR_FACT_BUCKETS * sizeof(*digests));
	return (medlar_message_t){
		.kind = MEDLAR_MESSAGE_CHUNK,
		.from = 10,
		.about = 11,
		.seq = 12,
		.digest = 13,
		.revision = 14,
		.facts = fact,
		.facts_len = 1,
		.keys = key,
		.keys_len = 1,
		.digests = digests,
		.chunk = { 15, 16, 17, 18, 19, 20, MEDLAR_STR("bytes") },
	};
}

static void a_message_arrives_as_it_was_sent(void **state)
{
	const medlar_member_info_t info = info_at(1);
	uint32_t digests[MEDLAR_FACT_BUCKETS];
	uint8_t key[PEER_KEY_LEN];
	char body[PEER_BODY_MAX];
	peer_envelope envelope;
	peer_letter_t letter;
	medlar_fact_key_t fact_key;
	medlar_fact_t fact;
	medlar_message_t sent = full_message(&fact, &info, &fact_key, digests);

	(void)state;
	assert_int_equal(peer_key_derive(key, medlar_str_from(secret)),
			 MEDLAR_OK);
	assert_int_equal(peer_seal(key, &sent, body, &envelope), MEDLAR_OK);
	assert_int_equal(peer_open(key, &envelope, &letter), MEDLAR_OK);
	assert_int_equal(letter.message.kind, sent.kind);
	assert_int_equal(letter.message.from, 10);
	assert_int_equal(letter.message.about, 11);
	assert_int_equal(letter.message.seq, 12);
	assert_int_equal(letter.message.digest, 13);
	assert_int_equal(letter.message.revision, 14);
	assert_int_equal(letter.message.facts[0].place, 5);
	assert_int_equal(letter.message.facts[0].ttl, 6);
	assert_string_equal(letter.message.facts[0].member->zone, "bkk-a");
	assert_int_equal(letter.message.keys[0].revision, 8);
	assert_memory_equal(letter.message.digests, digests, sizeof(digests));
	assert_int_equal(letter.message.chunk.hash, 20);
	assert_true(medlar_str_equal(letter.message.chunk.bytes,
				     MEDLAR_STR("bytes")));
	peer_letter_finish(&letter);
}

static void any_changed_bit_is_noticed(void **state)
{
	const medlar_message_t sent = { .kind = MEDLAR_MESSAGE_PING,
					.from = 3 };
	uint8_t key[PEER_KEY_LEN];
	char body[PEER_BODY_MAX];
	peer_envelope envelope;
	peer_letter_t letter;
	u_int bit;

	(void)state;
	peer_key_derive(key, medlar_str_from(secret));
	assert_int_equal(peer_seal(key, &sent, body, &envelope), MEDLAR_OK);
	for (bit = 0; bit < envelope.body.body_len * 8; bit++) {
		body[bit / 8] ^= (char)(1 << (bit % 8));
		assert_int_equal(peer_open(key, &envelope, &letter),
				 MEDLAR_ERR_AUTH);
		body[bit / 8] ^= (char)(1 << (bit % 8));
	}
	envelope.mac[0] ^= 1;
	assert_int_equal(peer_open(key, &envelope, &letter), MEDLAR_ERR_AUTH);
}

static void another_version_is_not_understood(void **state)
{
	const medlar_message_t sent = { .kind = MEDLAR_MESSAGE_PING };
	uint8_t key[PEER_KEY_LEN];
	char body[PEER_BODY_MAX];
	peer_envelope envelope;
	peer_letter_t letter;

	(void)state;
	peer_key_derive(key, medlar_str_from(secret));
	peer_seal(key, &sent, body, &envelope);
	body[3] = 2;
	crypto_generichash((uint8_t *)envelope.mac, PEER_MAC_LEN,
			   (const uint8_t *)body, envelope.body.body_len, key,
			   PEER_KEY_LEN);
	assert_int_equal(peer_open(key, &envelope, &letter),
			 MEDLAR_ERR_PROTOCOL);
}

static void a_weak_or_garbled_key_is_refused(void **state)
{
	uint8_t key[PEER_KEY_LEN];

	(void)state;
	assert_int_equal(peer_key_derive(key, MEDLAR_STR("")),
			 MEDLAR_ERR_MISSING);
	assert_int_equal(peer_key_derive(key, MEDLAR_STR("0011")),
			 MEDLAR_ERR_RANGE);
	assert_int_equal(peer_key_derive(key, MEDLAR_STR("no key at all")),
			 MEDLAR_ERR_SYNTAX);
}

static void calls_reach_the_other_instance(void **state)
{
	const medlar_member_info_t to = info_at(PORT_B);
	medlar_message_t message = { .kind = MEDLAR_MESSAGE_PUSH };
	end_t a;
	end_t b;

	(void)state;
	open_end(&a, PORT_A, secret);
	open_end(&b, PORT_B, secret);
	for (message.revision = 1; message.revision <= 20; message.revision++)
		assert_int_equal(peer_send(&a.peer, &to, &message), MEDLAR_OK);
	wait_for(&b, 20, WAIT);
	assert_int_equal(b.received, 20);
	assert_int_equal(b.revision, 20);
	close_end(&a);
	close_end(&b);
}

static void calls_with_another_key_are_counted_and_dropped(void **state)
{
	const medlar_member_info_t to = info_at(PORT_B);
	const medlar_message_t message = { .kind = MEDLAR_MESSAGE_PUSH };
	end_t a;
	end_t b;
	end_t c;

	(void)state;
	open_end(&a, PORT_A, other_secret);
	open_end(&b, PORT_B, secret);
	open_end(&c, PORT_A + 2, secret);
	peer_send(&a.peer, &to, &message);
	peer_send(&a.peer, &to, &message);
	peer_send(&c.peer, &to, &message);
	wait_for(&b, 1, WAIT);
	assert_int_equal(b.received, 1);
	assert_int_equal(b.metrics.counts[METRIC_PEER_UNAUTHENTICATED], 2);
	close_end(&a);
	close_end(&b);
	close_end(&c);
}

static void send_garbage(uint16_t port)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	medlar_rand_t rand = { 5 };
	uint8_t bytes[1500];
	size_t i;

	assert_true(fd >= 0);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)medlar_rand_next(&rand);
	for (i = 0; i < sizeof(bytes); i += 97)
		assert_true(sendto(fd, bytes, i, 0, (struct sockaddr *)&to,
				   sizeof(to)) >= 0);
	close(fd);
}

static void garbage_on_the_port_does_no_harm(void **state)
{
	const medlar_member_info_t to = info_at(PORT_B);
	const medlar_message_t message = { .kind = MEDLAR_MESSAGE_PUSH };
	end_t a;
	end_t b;

	(void)state;
	open_end(&a, PORT_A, secret);
	open_end(&b, PORT_B, secret);
	send_garbage(PORT_B);
	peer_send(&a.peer, &to, &message);
	wait_for(&b, 1, WAIT);
	assert_int_equal(b.received, 1);
	close_end(&a);
	close_end(&b);
}

static void garbled_bodies_with_a_right_mac_do_no_harm(void **state)
{
	const medlar_member_info_t info = info_at(1);
	uint32_t digests[MEDLAR_FACT_BUCKETS];
	uint8_t key[PEER_KEY_LEN];
	char body[PEER_BODY_MAX];
	peer_envelope envelope;
	peer_letter_t letter;
	medlar_rand_t rand = { 11 };
	medlar_fact_key_t fact_key;
	medlar_fact_t fact;
	const medlar_message_t sent = full_message(&fact, &info, &fact_key,
						   digests);
	unsigned i;

	(void)state;
	peer_key_derive(key, medlar_str_from(secret));
	for (i = 0; i < GARBAGE; i++) {
		peer_seal(key, &sent, body, &envelope);
		body[medlar_rand_below(&rand, envelope.body.body_len)] = (char)
			medlar_rand_next(&rand);
		body[medlar_rand_below(&rand, 120)] = (char)medlar_rand_next(
			&rand);
		envelope.body.body_len -= (u_int)medlar_rand_below(&rand, 2) *
					  4;
		crypto_generichash((uint8_t *)envelope.mac, PEER_MAC_LEN,
				   (const uint8_t *)body,
				   envelope.body.body_len, key, PEER_KEY_LEN);
		if (peer_open(key, &envelope, &letter) == MEDLAR_OK)
			peer_letter_finish(&letter);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_message_arrives_as_it_was_sent),
		cmocka_unit_test(any_changed_bit_is_noticed),
		cmocka_unit_test(another_version_is_not_understood),
		cmocka_unit_test(a_weak_or_garbled_key_is_refused),
		cmocka_unit_test(calls_reach_the_other_instance),
		cmocka_unit_test(
			calls_with_another_key_are_counted_and_dropped),
		cmocka_unit_test(garbage_on_the_port_does_no_harm),
		cmocka_unit_test(garbled_bodies_with_a_right_mac_do_no_harm),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
