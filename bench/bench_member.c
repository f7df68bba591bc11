/**
 * DOC: cost of membership and gossip for one instance
 *
 * Two instances run on a virtual clock, each with the state of a whole fleet.
 * Each one plays all other members for the other one, so both send and receive
 * at the rates of an instance in the fleet. Messages are encoded, authenticated
 * and decoded as in the daemon. Changes occur at the rates that belong to the
 * size of the fleet. The processor time of one instance is measured.
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

#define WARM_UP_TIME (15 * MEDLAR_SECOND)
#define RUN_TIME (600 * MEDLAR_SECOND)
#define RUN_TIME_QUICK (60 * MEDLAR_SECOND)
#define ZONES 10
#define ZONES_OF_A_REGION 4

/* Bytes of the IP, UDP and RPC headers and the MAC of each message. */
#define MESSAGE_OVERHEAD (28 + 40 + 4 + PEER_MAC_LEN)

/* The fleet at its full size, and its rates of change. */
#define FLEET_INSTANCES 5300
#define FLEET_REPLICAS 83000
#define DAY (24 * MEDLAR_HOUR)
#define RESTARTS_A_DAY 17000
#define EDITS_A_DAY 10000
#define DOCUMENT_BYTES 20000

#define CPU_PERCENT_MAX 2.0
#define BYTES_PER_SECOND_MAX 3000.0
#define MEMORY_MB_MAX 128.0
#define PERCENT 100.0
#define NS_PER_MS 1e6
#define NS_PER_SECOND 1e9
#define MB 1e6

/**
 * struct instance - one of the two instances
 * @client: client of the core
 * @members: membership, the code under measurement
 * @other: the other instance
 * @key: key that authenticates messages
 * @now: virtual time, milliseconds
 * @cpu_ns: processor time used, nanoseconds
 * @sent: messages sent
 * @sent_bytes: bytes sent, with headers
 * @documents: new configuration documents received
 * @inbox: messages received and not yet handled
 */
typedef struct instance {
	medlar_client_t client;
	medlar_members_t members;
	struct instance *other;
	uint8_t key[PEER_KEY_LEN];
	medlar_time_t now;
	double cpu_ns;
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t documents;
	struct queued_message *inbox;
} instance_t;

/* An encoded message that waits in the inbox of its receiver. */
typedef struct queued_message {
	struct queued_message *next;
	uint32_t len;
	char mac[PEER_MAC_LEN];
	char body[PEER_BODY_MAX];
} queued_message_t;

static double cpu_now(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (double)time.tv_sec * NS_PER_SECOND + (double)time.tv_nsec;
}

static void on_send(const medlar_member_info_t *to,
		    const medlar_message_t *message, void *data)
{
	instance_t *instance = data;
	queued_message_t *queued = malloc(sizeof(*queued));
	peer_envelope envelope;

	(void)to;
	if (!queued)
		abort();
	if (peer_encode(instance->key, message, queued->body, &envelope))
		abort();
	queued->len = envelope.body.body_len;
	memcpy(queued->mac, envelope.mac, sizeof(queued->mac));
	queued->next = instance->other->inbox;
	instance->other->inbox = queued;
	instance->sent++;
	instance->sent_bytes += queued->len + MESSAGE_OVERHEAD;
}

static void on_document(uint64_t revision, medlar_str_t document, void *data)
{
	instance_t *instance = data;

	(void)revision;
	(void)document;
	instance->documents++;
}

static void receive_all(instance_t *instance)
{
	while (instance->inbox) {
		queued_message_t *queued = instance->inbox;
		peer_envelope envelope = { { queued->len, queued->body },
					   { 0 } };
		peer_decoded_t decoded;

		instance->inbox = queued->next;
		memcpy(envelope.mac, queued->mac, sizeof(queued->mac));
		if (peer_decode(instance->key, &envelope, &decoded) ==
		    MEDLAR_OK) {
			medlar_members_receive(&instance->client,
					       &instance->members,
					       &decoded.message, instance->now);
			peer_decoded_finish(&decoded);
		}
		free(queued);
	}
}

static void run_instance(instance_t *instance, medlar_time_t now)
{
	double start;

	instance->now = now;
	if (!instance->inbox && medlar_client_due(&instance->client) > now)
		return;
	start = cpu_now();
	receive_all(instance);
	medlar_client_run(&instance->client, now);
	instance->cpu_ns += cpu_now() - start;
}

static void make_member_info(medlar_member_info_t *info, size_t number)
{
	unsigned zone = (unsigned)(number % ZONES);

	*info = (medlar_member_info_t){ .port = 8000, .peer_port = 8001 };
	snprintf(info->name, sizeof(info->name), "entry-%zu", number);
	snprintf(info->host, sizeof(info->host), "10.%zu.%zu.1", number / 250,
		 number % 250);
	snprintf(info->zone, sizeof(info->zone), "region%u-%u",
		 zone / ZONES_OF_A_REGION, zone);
}

/* Makes a member known, as a received message does. */
static void add_member(instance_t *instance, size_t number,
		       uint64_t incarnation)
{
	medlar_member_info_t info;
	const medlar_fact_t fact = {
		.kind = MEDLAR_FACT_MEMBER,
		.subject = 0,
		.revision = incarnation * MEDLAR_MEMBER_STATES,
		.ttl = MEDLAR_TIME_NEVER,
		.member = &info,
	};
	medlar_fact_t member_fact = fact;
	const medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_SYNC_FACTS,
		.from = 1,
		.facts = &member_fact,
		.facts_len = 1,
	};

	make_member_info(&info, number);
	member_fact.subject = medlar_str_hash(medlar_str_from(info.name), 0);
	medlar_members_receive(&instance->client, &instance->members, &message,
			       instance->now);
}

static void set_up_instance(instance_t *instance, instance_t *other,
			    size_t number, size_t count)
{
	const medlar_members_ops_t ops = {
		.send = on_send,
		.document = on_document,
		.data = instance,
	};
	medlar_member_info_t info;
	size_t i;

	memset(instance, 0, sizeof(*instance));
	instance->other = other;
	instance->now = 1;
	make_member_info(&info, number);
	medlar_client_init(&instance->client, medlar_str_from(info.name), 0,
			   number + 1);
	if (medlar_members_init(&instance->client, &instance->members, &info,
				1000, &ops, instance->now))
		abort();
	for (i = 0; i < count; i++)
		if (i != number)
			add_member(instance, i, 1000);
}

static void tear_down_instance(instance_t *instance)
{
	while (instance->inbox) {
		queued_message_t *queued = instance->inbox;

		instance->inbox = queued->next;
		free(queued);
	}
	medlar_members_finish(&instance->client, &instance->members);
	medlar_client_finish(&instance->client);
}

/* Announces that a replica drains, and that an instance has restarted. */
static void restart_random(instance_t *instance, size_t count,
			   medlar_rand_t *rand)
{
	medlar_member_info_t info;
	medlar_fact_t fact = {
		.kind = MEDLAR_FACT_DRAIN,
		.subject = medlar_rand_next(rand),
		.revision = (uint64_t)instance->now,
		.ttl = MEDLAR_MINUTE,
	};
	const medlar_message_t message = {
		.kind = MEDLAR_MESSAGE_PUSH,
		.from = 1,
		.facts = &fact,
		.facts_len = 1,
	};

	medlar_members_broadcast(&instance->client, &instance->members, &fact,
				 instance->now);
	if (count <= 2)
		return;
	make_member_info(&info, 2 + medlar_rand_below(rand, count - 2));
	fact = (medlar_fact_t){
		.kind = MEDLAR_FACT_MEMBER,
		.subject = medlar_str_hash(medlar_str_from(info.name), 0),
		.revision = (uint64_t)(1000 + instance->now) *
			    MEDLAR_MEMBER_STATES,
		.ttl = MEDLAR_TIME_NEVER,
		.member = &info,
	};
	medlar_members_receive(&instance->client, &instance->members, &message,
			       instance->now);
}

/* Changes 100 bytes of the document and publishes it as a new revision. */
static void edit_document(instance_t *instance, char *document,
			  medlar_rand_t *rand)
{
	uint64_t revision = medlar_members_revision(&instance->members) + 1;
	size_t at = medlar_rand_below(rand, DOCUMENT_BYTES - 100);

	for (size_t i = 0; i < 100; i++)
		document[at + i] = (char)('a' + medlar_rand_below(rand, 26));
	medlar_members_set_document(
		&instance->client, &instance->members, revision,
		(medlar_str_t){ document, DOCUMENT_BYTES }, instance->now);
}

/* Draws whether an event with a daily rate occurs in this millisecond. */
static bool occurs_this_ms(medlar_rand_t *rand, double events_a_day)
{
	return medlar_rand_unit(rand) < events_a_day / (double)DAY;
}

static void print_row(size_t count, const char *metric, const char *unit,
		      double value, double bound)
{
	printf("{\"area\":\"control\",\"case\":\"membership of %zu "
	       "instances\",\"metric\":\"%s\",\"unit\":\"%s\","
	       "\"value\":%.4f,\"baseline\":null,\"bound\":",
	       count, metric, unit, value);
	printf(bound < 0 ? "null}\n" : "%.1f}\n", bound);
}

static void measure_membership(size_t count, medlar_time_t time, char *document)
{
	double restarts = RESTARTS_A_DAY * (double)count / FLEET_INSTANCES;
	medlar_rand_t rand = { 7 };
	instance_t *instances = calloc(2, sizeof(*instances));
	size_t before = mallinfo2().uordblks;
	size_t memory;
	double seconds = (double)time / (double)MEDLAR_SECOND;
	uint64_t received = 0;
	uint64_t edits = 0;

	if (!instances)
		abort();
	set_up_instance(&instances[0], &instances[1], 0, count);
	memory = mallinfo2().uordblks - before;
	set_up_instance(&instances[1], &instances[0], 1, count);
	for (medlar_time_t now = 2; now < WARM_UP_TIME + time; now++) {
		if (now == WARM_UP_TIME) {
			instances[0].cpu_ns = 0;
			instances[0].sent_bytes = 0;
			received = instances[1].sent_bytes;
		}
		if (occurs_this_ms(&rand, restarts))
			restart_random(&instances[1], count, &rand);
		if (occurs_this_ms(&rand, EDITS_A_DAY)) {
			edit_document(&instances[1], document, &rand);
			edits++;
		}
		run_instance(&instances[0], now);
		run_instance(&instances[1], now);
	}
	received = instances[1].sent_bytes - received;
	print_row(count, "processor time", "percent of a core",
		  PERCENT * instances[0].cpu_ns / (seconds * NS_PER_SECOND),
		  CPU_PERCENT_MAX);
	print_row(count, "sent", "bytes/s",
		  (double)instances[0].sent_bytes / seconds,
		  BYTES_PER_SECOND_MAX);
	print_row(count, "received", "bytes/s", (double)received / seconds,
		  BYTES_PER_SECOND_MAX);
	print_row(count, "memory", "MB", (double)memory / MB, MEMORY_MB_MAX);
	print_row(count, "documents received of those edited", "percent",
		  edits ? PERCENT * (double)instances[0].documents /
				  (double)edits
			: PERCENT,
		  -1);
	tear_down_instance(&instances[0]);
	tear_down_instance(&instances[1]);
	free(instances);
}

static void put_replicas(medlar_client_t *client, medlar_service_t *service)
{
	for (uint32_t i = 0; i < FLEET_REPLICAS; i++) {
		medlar_replica_info_t info = {
			.shard = i % (FLEET_REPLICAS / 437),
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

static int compare_ids(const void *a, const void *b)
{
	uint64_t first = *(const uint64_t *)a;
	uint64_t second = *(const uint64_t *)b;

	return (first > second) - (first < second);
}

static double time_set_peers(medlar_client_t *client, medlar_service_t *service,
			     const uint64_t *ids, size_t len)
{
	const medlar_peers_t peers = { .ids = ids, .len = len };
	double start = cpu_now();

	medlar_service_set_peers(client, service, &peers, 2);
	return (cpu_now() - start) / NS_PER_MS;
}

/* Measures the memory of all replicas, and the time to assign their shares. */
static void measure_replicas(void)
{
	const medlar_service_ops_t ops = { 0 };
	medlar_client_t client;
	medlar_service_t service;
	medlar_policy_t policy;
	uint64_t *ids = calloc(FLEET_INSTANCES, sizeof(*ids));
	size_t before = mallinfo2().uordblks;
	double all;
	double one;

	if (!ids)
		abort();
	medlar_client_init(&client, MEDLAR_STR("entry-0"), 0, 1);
	medlar_policy_default(&policy, "bench");
	medlar_service_init(&client, &service, &policy, &ops, NULL, 1);
	put_replicas(&client, &service);
	print_row(FLEET_INSTANCES, "memory of 83,000 replicas", "MB",
		  (double)(mallinfo2().uordblks - before) / MB, MEMORY_MB_MAX);
	ids[0] = client.instance;
	for (size_t i = 1; i < FLEET_INSTANCES; i++)
		ids[i] = medlar_rand_next(&client.rand);
	qsort(ids, FLEET_INSTANCES, sizeof(*ids), compare_ids);
	all = time_set_peers(&client, &service, ids, FLEET_INSTANCES);
	one = time_set_peers(&client, &service,
			     ids + (ids[0] != client.instance),
			     FLEET_INSTANCES - 1);
	print_row(FLEET_INSTANCES,
		  "shares of 83,000 replicas, all instances new", "ms", all,
		  -1);
	print_row(FLEET_INSTANCES,
		  "shares of 83,000 replicas, one instance less", "ms", one,
		  -1);
	medlar_service_finish(&client, &service);
	medlar_client_finish(&client);
	free(ids);
}

int main(int argc, char **argv)
{
	static const size_t counts[] = { 4, 64, 512, FLEET_INSTANCES };
	bool quick = argc > 1 && strcmp(argv[1], "--quick") == 0;
	char *document = malloc(DOCUMENT_BYTES);

	if (!document)
		return EXIT_FAILURE;
	if (sodium_init() < 0)
		abort();
	memset(document, 'x', DOCUMENT_BYTES);
	for (size_t i = 0; i < sizeof(counts) / sizeof(*counts); i++)
		measure_membership(counts[i], quick ? RUN_TIME_QUICK : RUN_TIME,
				   document);
	measure_replicas();
	free(document);
	return EXIT_SUCCESS;
}
