/**
 * DOC: tests of the encoding and transport of messages between instances
 */
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
#define CORRUPT_BODIES 2000
#define RECEIVE_TIMEOUT (5 * MEDLAR_SECOND)

static const char secret[] = "000102030405060708090a0b0c0d0e0f";
static const char other_secret[] = "ff0102030405060708090a0b0c0d0e0f";

/**
 * struct peer_fixture - a transport with an event loop of its own
 * @client: client of the loop
 * @loop: event loop
 * @log: log
 * @metrics: counters of the transport
 * @transport: transport
 * @timeout_timer: stops the loop
 * @received: messages received
 * @expected: number of messages after which the loop stops
 * @revision: revision in the last message
 */
typedef struct peer_fixture {
	medlar_client_t client;
	loop_t loop;
	logger_t log;
	metrics_t metrics;
	peer_transport_t transport;
	medlar_timer_t timeout_timer;
	unsigned received;
	unsigned expected;
	uint64_t revision;
} peer_fixture_t;

static void on_receive(const medlar_message_t *message, void *data)
{
	peer_fixture_t *fixture = data;

	fixture->revision = message->revision;
	if (++fixture->received >= fixture->expected)
		loop_stop(&fixture->loop);
}

static void on_timeout(medlar_client_t *client, medlar_timer_t *timer,
		       medlar_time_t now, void *data)
{
	peer_fixture_t *fixture = data;

	(void)client;
	(void)timer;
	(void)now;
	loop_stop(&fixture->loop);
}

static void open_fixture(peer_fixture_t *fixture, uint16_t port,
			 const char *key)
{
	const peer_params_t settings = { "127.0.0.1", port,
					 medlar_str_from(key),
					 &fixture->metrics };

	memset(fixture, 0, sizeof(*fixture));
	medlar_client_init(&fixture->client, MEDLAR_STR("a"), 0, 1);
	log_init(&fixture->log, STDERR_FILENO, -1, LOG_LEVEL_ERROR);
	assert_int_equal(loop_init(&fixture->loop, &fixture->client),
			 MEDLAR_OK);
	assert_int_equal(peer_init(&fixture->transport, &fixture->loop,
				   &fixture->log, &settings, on_receive,
				   fixture),
			 MEDLAR_OK);
	medlar_timer_init(&fixture->timeout_timer, on_timeout, fixture);
}

static void close_fixture(peer_fixture_t *fixture)
{
	medlar_timer_clear(&fixture->client, &fixture->timeout_timer);
	peer_finish(&fixture->transport);
	loop_finish(&fixture->loop);
	log_finish(&fixture->log);
	medlar_client_finish(&fixture->client);
}

static void wait_for_messages(peer_fixture_t *fixture, unsigned expected,
			      medlar_time_t timeout)
{
	fixture->loop.stopped = false;
	fixture->expected = expected;
	medlar_timer_set(&fixture->client, &fixture->timeout_timer,
			 fixture->loop.now + timeout);
	loop_run(&fixture->loop);
}

static medlar_member_info_t make_member_info(uint16_t port)
{
	return (medlar_member_info_t){ .name = "b",
				       .host = "127.0.0.1",
				       .peer_port = port,
				       .zone = "bkk-a" };
}

static medlar_message_t make_full_message(medlar_fact_t *fact,
					  const medlar_member_info_t *info,
					  medlar_fact_key_t *key,
					  uint32_t *digests)
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

static void decoded_message_equals_the_encoded_one(void **state)
{
	const medlar_member_info_t info = make_member_info(1);
	uint32_t digests[MEDLAR_FACT_BUCKETS];
	uint8_t key[PEER_KEY_LEN];
	char body[PEER_BODY_MAX];
	peer_envelope envelope;
	peer_decoded_t received;
	medlar_fact_key_t fact_key;
	medlar_fact_t fact;
	medlar_message_t sent = make_full_message(&fact, &info, &fact_key,
						  digests);

	(void)state;
	assert_int_equal(peer_key_derive(key, medlar_str_from(secret)),
			 MEDLAR_OK);
	assert_int_equal(peer_encode(key, &sent, body, &envelope), MEDLAR_OK);
	assert_int_equal(peer_decode(key, &envelope, &received), MEDLAR_OK);
	assert_int_equal(received.message.kind, sent.kind);
	assert_int_equal(received.message.from, 10);
	assert_int_equal(received.message.about, 11);
	assert_int_equal(received.message.seq, 12);
	assert_int_equal(received.message.digest, 13);
	assert_int_equal(received.message.revision, 14);
	assert_int_equal(received.message.facts[0].shard, 5);
	assert_int_equal(received.message.facts[0].ttl, 6);
	assert_string_equal(received.message.facts[0].member->zone, "bkk-a");
	assert_int_equal(received.message.keys[0].revision, 8);
	assert_memory_equal(received.message.digests, digests, sizeof(digests));
	assert_int_equal(received.message.chunk.hash, 20);
	assert_true(medlar_str_equal(received.message.chunk.bytes,
				     MEDLAR_STR("bytes")));
	peer_decoded_finish(&received);
}

static void flipped_bits_fail_authentication(void **state)
{
	const medlar_message_t sent = { .kind = MEDLAR_MESSAGE_PING,
					.from = 3 };
	uint8_t key[PEER_KEY_LEN];
	char body[PEER_BODY_MAX];
	peer_envelope envelope;
	peer_decoded_t received;
	u_int bit;

	(void)state;
	peer_key_derive(key, medlar_str_from(secret));
	assert_int_equal(peer_encode(key, &sent, body, &envelope), MEDLAR_OK);
	for (bit = 0; bit < envelope.body.body_len * 8; bit++) {
		body[bit / 8] ^= (char)(1 << (bit % 8));
		assert_int_equal(peer_decode(key, &envelope, &received),
				 MEDLAR_ERR_AUTH);
		body[bit / 8] ^= (char)(1 << (bit % 8));
	}
	envelope.mac[0] ^= 1;
	assert_int_equal(peer_decode(key, &envelope, &received),
			 MEDLAR_ERR_AUTH);
}

static void other_protocol_version_is_rejected(void **state)
{
	const medlar_message_t sent = { .kind = MEDLAR_MESSAGE_PING };
	uint8_t key[PEER_KEY_LEN];
	char body[PEER_BODY_MAX];
	peer_envelope envelope;
	peer_decoded_t received;

	(void)state;
	peer_key_derive(key, medlar_str_from(secret));
	peer_encode(key, &sent, body, &envelope);
	body[3] = 2;
	crypto_generichash((uint8_t *)envelope.mac, PEER_MAC_LEN,
			   (const uint8_t *)body, envelope.body.body_len, key,
			   PEER_KEY_LEN);
	assert_int_equal(peer_decode(key, &envelope, &received),
			 MEDLAR_ERR_PROTOCOL);
}

static void short_or_malformed_secret_is_rejected(void **state)
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

static void messages_reach_the_other_instance(void **state)
{
	const medlar_member_info_t to = make_member_info(PORT_B);
	medlar_message_t message = { .kind = MEDLAR_MESSAGE_PUSH };
	peer_fixture_t a;
	peer_fixture_t b;

	(void)state;
	open_fixture(&a, PORT_A, secret);
	open_fixture(&b, PORT_B, secret);
	for (message.revision = 1; message.revision <= 20; message.revision++)
		assert_int_equal(peer_send(&a.transport, &to, &message),
				 MEDLAR_OK);
	wait_for_messages(&b, 20, RECEIVE_TIMEOUT);
	assert_int_equal(b.received, 20);
	assert_int_equal(b.revision, 20);
	close_fixture(&a);
	close_fixture(&b);
}

static void messages_with_another_key_are_dropped_and_counted(void **state)
{
	const medlar_member_info_t to = make_member_info(PORT_B);
	const medlar_message_t message = { .kind = MEDLAR_MESSAGE_PUSH };
	peer_fixture_t a;
	peer_fixture_t b;
	peer_fixture_t c;

	(void)state;
	open_fixture(&a, PORT_A, other_secret);
	open_fixture(&b, PORT_B, secret);
	open_fixture(&c, PORT_A + 2, secret);
	peer_send(&a.transport, &to, &message);
	peer_send(&a.transport, &to, &message);
	peer_send(&c.transport, &to, &message);
	wait_for_messages(&b, 1, RECEIVE_TIMEOUT);
	assert_int_equal(b.received, 1);
	assert_int_equal(b.metrics.counts[METRIC_PEER_UNAUTHENTICATED], 2);
	close_fixture(&a);
	close_fixture(&b);
	close_fixture(&c);
}

static void send_random_datagrams(uint16_t port)
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

static void random_datagrams_are_ignored(void **state)
{
	const medlar_member_info_t to = make_member_info(PORT_B);
	const medlar_message_t message = { .kind = MEDLAR_MESSAGE_PUSH };
	peer_fixture_t a;
	peer_fixture_t b;

	(void)state;
	open_fixture(&a, PORT_A, secret);
	open_fixture(&b, PORT_B, secret);
	send_random_datagrams(PORT_B);
	peer_send(&a.transport, &to, &message);
	wait_for_messages(&b, 1, RECEIVE_TIMEOUT);
	assert_int_equal(b.received, 1);
	close_fixture(&a);
	close_fixture(&b);
}

static void corrupt_bodies_with_a_valid_mac_are_handled(void **state)
{
	const medlar_member_info_t info = make_member_info(1);
	uint32_t digests[MEDLAR_FACT_BUCKETS];
	uint8_t key[PEER_KEY_LEN];
	char body[PEER_BODY_MAX];
	peer_envelope envelope;
	peer_decoded_t received;
	medlar_rand_t rand = { 11 };
	medlar_fact_key_t fact_key;
	medlar_fact_t fact;
	const medlar_message_t sent = make_full_message(&fact, &info, &fact_key,
							digests);
	unsigned i;

	(void)state;
	peer_key_derive(key, medlar_str_from(secret));
	for (i = 0; i < CORRUPT_BODIES; i++) {
		peer_encode(key, &sent, body, &envelope);
		body[medlar_rand_below(&rand, envelope.body.body_len)] = (char)
			medlar_rand_next(&rand);
		body[medlar_rand_below(&rand, 120)] = (char)medlar_rand_next(
			&rand);
		envelope.body.body_len -= (u_int)medlar_rand_below(&rand, 2) *
					  4;
		crypto_generichash((uint8_t *)envelope.mac, PEER_MAC_LEN,
				   (const uint8_t *)body,
				   envelope.body.body_len, key, PEER_KEY_LEN);
		if (peer_decode(key, &envelope, &received) == MEDLAR_OK)
			peer_decoded_finish(&received);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(decoded_message_equals_the_encoded_one),
		cmocka_unit_test(flipped_bits_fail_authentication),
		cmocka_unit_test(other_protocol_version_is_rejected),
		cmocka_unit_test(short_or_malformed_secret_is_rejected),
		cmocka_unit_test(messages_reach_the_other_instance),
		cmocka_unit_test(
			messages_with_another_key_are_dropped_and_counted),
		cmocka_unit_test(random_datagrams_are_ignored),
		cmocka_unit_test(corrupt_bodies_with_a_valid_mac_are_handled),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
