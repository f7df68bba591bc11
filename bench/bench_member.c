/**
 * DOC: what membership and spreading cost an instance
 *
 * Two instances that hold the state of a whole fleet run on a virtual clock;
 * each stands in for all others of the other one, so that each sends and
 * receives at the rates of an instance in the fleet. Messages are encoded,
 * sealed, opened and decoded as on the way. The processor time of one of them
 * is measured. Changes come at the rates of the fleet's size.
 *
 * Prints one JSON object a line.
 */
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "medlard/peer_codec.h"

#define WARM_UP (15 * MEDLAR_SECOND)
#define RUN (600 * MEDLAR_SECOND)
#define RUN_QUICK (60 * MEDLAR_SECOND)
#define ZONES 10
#define ZONES_OF_A_REGION 4

/* Bytes of IP, UDP and the call around the body of a message. */
#define OVERHEAD (28 + 40 + 4 + PEER_MAC_LEN)

/* Rates of the whole fleet at its full size. */
#define FULL_SIZE 5300
#define REPLICAS 83000
#define DAY (24 * MEDLAR_HOUR)
#define RESTARTS_A_DAY 17000
#define EDITS_A_DAY 10000
#define DOCUMENT_BYTES 20000

#define CPU_MAX 2.0
#define BYTES_MAX 3000.0
#define MEMORY_MAX 128.0
#define PERCENT 100.0
#define NS_PER_MS 1e6
#define NS_PER_SECOND 1e9
#define MB 1e6

/**
 * struct side - one of the two instances
 * @client: its client
 * @members: the membership under measurement
 * @other: the other instance
 * @key: key of messages
 * @now: current time, ms
 * @measured: its processor time counts
 * @cpu_ns: processor time
 * @sent: messages sent
 * @sent_bytes: bytes of them
 * @documents: documents received
 */
typedef struct side {
	medlar_client_t client;
	medlar_members_t members;
	struct side *other;
	uint8_t key[PEER_KEY_LEN];
	medlar_time_t now;
	double cpu_ns;
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t documents;
	struct post *posts;
} side_t;

/** struct post - a message on its way */
typedef struct post {
	struct post *next;
	uint32_t len;
	char mac[PEER_MAC_LEN];
	char body[PEER_BODY_MAX];
} post_t;

static double cpu_now(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (double)time.tv_sec * NS_PER_SECOND + (double)time.tv_nsec;
}

static void on_send(const medlar_member_info_t *to,
		    const medlar_message_t *message, void *data)
{
	side_t *side = data;
	post_t *post = malloc(sizeof(*post));
	peer_envelope envelope;

	(void)to;
	if (!post)
		abort();
	if (peer_seal(side->key, message, post->body, &envelope))
		abort();
	post->len = envelope.body.body_len;
	memcpy(post->mac, envelope.mac, sizeof(post->mac));
	post->next = side->other->posts;
	side->other->posts = post;
	side->sent++;
	side->sent_bytes += post->len + OVERHEAD;
}

static void on_document(uint64_t revision, medlar_str_t document, void *data)
{
	side_t *side = data;

	(void)revision;
	(void)document;
	side->documents++;
}

static void receive_all(side_t *side)
{
	while (side->posts) {
		post_t *post = side->posts;
		peer_envelope envelope = { { post->len, post->body }, { 0 } };
		peer_letter_t letter;

		side->posts = post->next;
		memcpy(envelope.mac, post->mac, sizeof(post->mac));
		if (peer_open(side->key, &envelope, &letter) == MEDLAR_OK) {
			medlar_members_receive(&side->client, &side->members,
					       &letter.message, side->now);
			peer_letter_finish(&letter);
		}
		free(post);
	}
}

static void turn(side_t *side, medlar_time_t now)
{
	double start;

	side->now = now;
	if (!side->posts && medlar_client_due(&side->client) > now)
		return;
	start = cpu_now();
	receive_all(side);
	medlar_client_run(&side->client, now);
	side->cpu_ns += cpu_now() - start;
}

static void describe(medlar_member_info_t *info, size_t number)
{
	unsigned zone = (unsigned)(number % ZONES);

	*info = (medlar_member_info_t){ .port = 8000, .peer_port = 8001 };
	snprintf(info->name, sizeof(info->name), "entry-%zu", number);
	snprintf(info->host, sizeof(info->host), "10.%zu.%zu.1", number / 250,
		 number % 250);
	snprintf(info->zone, sizeof(info->zone), "region%u-%u",
		 zone / ZONES_OF_A_REGION, zone);
}

static void teach(side_t *side, size_t number, uint64_t incarnation)
{
	medlar_member_info_t info;
	const medlar_fact_t fact = {
		.kind = MEDLAR_FACT_MEMBER,
		.subject = 0,
		.revision = incarnation * MEDLAR_MEMBER_STATES,
		.ttl = MEDLAR_TIME_NEVER,
		.member = &info,
	};
	medlar_fact_t told = fact;
	const medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_RESULT,
		.from = 1,
		.facts = &told,
		.facts_len = 1,
	};

	describe(&info, number);
	told.subject = medlar_str_hash(medlar_str_from(info.name), 0);
	medlar_members_receive(&side->client, &side->members, &message,
			       side->now);
}

static void set_up(side_t *side, side_t *other, size_t number, size_t count)
{
	const medlar_members_ops_t ops = {
		.send = on_send,
		.document = on_document,
		.data = side,
	};
	medlar_member_info_t info;
	size_t i;

	memset(side, 0, sizeof(*side));
	side->other = other;
	side->now = 1;
	describe(&info, number);
	medlar_client_init(&side->client, medlar_str_from(info.name), 0,
			   number + 1);
	if (medlar_members_init(&side->client, &side->members, &info, 1000,
				&ops, side->now))
		abort();
	for (i = 0; i < count; i++)
		if (i != number)
			teach(side, i, 1000);
}

static void tear_down(side_t *side)
{
	while (side->posts) {
		post_t *post = side->posts;

		side->posts = post->next;
		free(post);
	}
	medlar_members_finish(&side->client, &side->members);
	medlar_client_finish(&side->client);
}

/* A replica that leaves, and an instance that returns with a later start. */
static void restart(side_t *side, size_t count, medlar_rand_t *rand)
{
	medlar_member_info_t info;
	medlar_fact_t fact = {
		.kind = MEDLAR_FACT_DRAIN,
		.subject = medlar_rand_next(rand),
		.revision = (uint64_t)side->now,
		.ttl = MEDLAR_MINUTE,
	};
	const medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_PUSH,
		.from = 1,
		.facts = &fact,
		.facts_len = 1,
	};

	medlar_members_tell(&side->client, &side->members, &fact, side->now);
	if (count <= 2)
		return;
	describe(&info, 2 + medlar_rand_below(rand, count - 2));
	fact = (medlar_fact_t){
		.kind = MEDLAR_FACT_MEMBER,
		.subject = medlar_str_hash(medlar_str_from(info.name), 0),
		.revision = (uint64_t)(1000 + side->now) * MEDLAR_MEMBER_STATES,
		.ttl = MEDLAR_TIME_NEVER,
		.member = &info,
	};
	medlar_members_receive(&side->client, &side->members, &message,
			       side->now);
}

static void edit(side_t *side, char *document, medlar_rand_t *rand)
{
	uint64_t revision = medlar_members_revision(&side->members) + 1;
	size_t at = medlar_rand_below(rand, DOCUMENT_BYTES - 100);

	for (size_t i = 0; i < 100; i++)
		document[at + i] = (char)('a' + medlar_rand_below(rand, 26));
	medlar_members_set_document(&side->client, &side->members, revision,
				    (medlar_str_t){ document, DOCUMENT_BYTES },
				    side->now);
}

/* Whether something that happens so often a day happens in this millisecond. */
static bool happens(medlar_rand_t *rand, double times_a_day)
{
	return medlar_rand_unit(rand) < times_a_day / (double)DAY;
}

static void print(size_t count, const char *metric, const char *unit,
		  double value, double bound)
{
	printf("{\"area\":\"control\",\"case\":\"membership of %zu "
	       "instances\",\"metric\":\"%s\",\"unit\":\"%s\","
	       "\"value\":%.4f,\"baseline\":null,\"bound\":",
	       count, metric, unit, value);
	printf(bound < 0 ? "null}\n" : "%.1f}\n", bound);
}

static void measure(size_t count, medlar_time_t time, char *document)
{
	double restarts = RESTARTS_A_DAY * (double)count / FULL_SIZE;
	medlar_rand_t rand = { 7 };
	side_t *sides = calloc(2, sizeof(*sides));
	size_t before = mallinfo2().uordblks;
	size_t memory;
	double seconds = (double)time / (double)MEDLAR_SECOND;
	uint64_t received = 0;
	uint64_t edits = 0;

	if (!sides)
		abort();
	set_up(&sides[0], &sides[1], 0, count);
	memory = mallinfo2().uordblks - before;
	set_up(&sides[1], &sides[0], 1, count);
	for (medlar_time_t now = 2; now < WARM_UP + time; now++) {
		if (now == WARM_UP) {
			sides[0].cpu_ns = 0;
			sides[0].sent_bytes = 0;
			received = sides[1].sent_bytes;
		}
		if (happens(&rand, restarts))
			restart(&sides[1], count, &rand);
		if (happens(&rand, EDITS_A_DAY)) {
			edit(&sides[1], document, &rand);
			edits++;
		}
		turn(&sides[0], now);
		turn(&sides[1], now);
	}
	received = sides[1].sent_bytes - received;
	print(count, "processor time", "percent of a core",
	      PERCENT * sides[0].cpu_ns / (seconds * NS_PER_SECOND), CPU_MAX);
	print(count, "sent", "bytes/s", (double)sides[0].sent_bytes / seconds,
	      BYTES_MAX);
	print(count, "received", "bytes/s", (double)received / seconds,
	      BYTES_MAX);
	print(count, "memory", "MB", (double)memory / MB, MEMORY_MAX);
	print(count, "documents received of those edited", "percent",
	      edits ? PERCENT * (double)sides[0].documents / (double)edits
		    : PERCENT,
	      -1);
	tear_down(&sides[0]);
	tear_down(&sides[1]);
	free(sides);
}

static void put_replicas(medlar_client_t *client, medlar_service_t *service)
{
	for (uint32_t i = 0; i < REPLICAS; i++) {
		medlar_replica_info_t info = {
			.shard = i % (REPLICAS / 437),
			.slots = 3,
			.connections = 30,
			.incarnation = 1,
			.versions = { 1 },
		};

		snprintf(info.name, sizeof(info.name), "replica-%u", i);
		snprintf(info.host, sizeof(info.host), "10.0.0.1");
		medlar_service_put_replica(client, service, &info, 1);
	}
}

static int compare(const void *a, const void *b)
{
	uint64_t first = *(const uint64_t *)a;
	uint64_t second = *(const uint64_t *)b;

	return (first > second) - (first < second);
}

static double time_change(medlar_client_t *client, medlar_service_t *service,
			  const uint64_t *ids, size_t len)
{
	const medlar_peers_t peers = { .ids = ids, .len = len };
	double start = cpu_now();

	medlar_service_set_peers(client, service, &peers, 2);
	return (cpu_now() - start) / NS_PER_MS;
}

/* Replicas of the whole fleet, and what one more instance costs their shares */
static void measure_replicas(void)
{
	const medlar_service_ops_t ops = { 0 };
	medlar_client_t client;
	medlar_service_t service;
	medlar_policy_t policy;
	uint64_t *ids = calloc(FULL_SIZE, sizeof(*ids));
	size_t before = mallinfo2().uordblks;
	double all;
	double one;

	if (!ids)
		abort();
	medlar_client_init(&client, MEDLAR_STR("entry-0"), 0, 1);
	medlar_policy_default(&policy, "bench");
	medlar_service_init(&client, &service, &policy, &ops, NULL, 1);
	put_replicas(&client, &service);
	print(FULL_SIZE, "memory of 83,000 replicas", "MB",
	      (double)(mallinfo2().uordblks - before) / MB, MEMORY_MAX);
	ids[0] = client.instance;
	for (size_t i = 1; i < FULL_SIZE; i++)
		ids[i] = medlar_rand_next(&client.rand);
	qsort(ids, FULL_SIZE, sizeof(*ids), compare);
	all = time_change(&client, &service, ids, FULL_SIZE);
	one = time_change(&client, &service, ids + (ids[0] != client.instance),
			  FULL_SIZE - 1);
	print(FULL_SIZE, "shares of 83,000 replicas, all instances new", "ms",
	      all, -1);
	print(FULL_SIZE, "shares of 83,000 replicas, one instance less", "ms",
	      one, -1);
	medlar_service_finish(&client, &service);
	medlar_client_finish(&client);
	free(ids);
}

int main(int argc, char **argv)
{
	static const size_t counts[] = { 4, 64, 512, FULL_SIZE };
	bool quick = argc > 1 && strcmp(argv[1], "--quick") == 0;
	char *document = malloc(DOCUMENT_BYTES);

	if (!document)
		return EXIT_FAILURE;
	if (sodium_init() < 0)
		abort();
	memset(document, 'x', DOCUMENT_BYTES);
	for (size_t i = 0; i < sizeof(counts) / sizeof(*counts); i++)
		measure(counts[i], quick ? RUN_QUICK : RUN, document);
	measure_replicas();
	free(document);
	return EXIT_SUCCESS;
}
