/**
 * DOC: writes of one service: upstreams
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "medlard/writer.h"

#define NUMBER_MAX 24
#define HEADERS 5

/* How long a reply may come after the deadline; it is still recorded. */
#define DRAIN_MAX (30 * MEDLAR_SECOND)

/* Time kept to answer a write that found no replica. */
#define LINE_MARGIN ((medlar_time_t)15)
#define LINE_PERIOD ((medlar_time_t)5)

static const medlar_result_t results[] = {
	[HTTP_REPLY] = MEDLAR_RESULT_ERROR,
	[HTTP_REFUSED] = MEDLAR_RESULT_REFUSED,
	[HTTP_UNSENT] = MEDLAR_RESULT_CANCELLED,
	[HTTP_RESET] = MEDLAR_RESULT_RESET,
	[HTTP_SILENT] = MEDLAR_RESULT_SILENT,
	[HTTP_MALFORMED] = MEDLAR_RESULT_ERROR,
	[HTTP_DROPPED] = MEDLAR_RESULT_RESET,
};

static const medlar_fault_t faults[] = {
	[HTTP_REPLY] = MEDLAR_FAULT_MALFORMED,
	[HTTP_REFUSED] = MEDLAR_FAULT_REFUSED,
	[HTTP_UNSENT] = MEDLAR_FAULT_UNSENT,
	[HTTP_RESET] = MEDLAR_FAULT_RESET,
	[HTTP_SILENT] = MEDLAR_FAULT_SILENT,
	[HTTP_MALFORMED] = MEDLAR_FAULT_MALFORMED,
	[HTTP_DROPPED] = MEDLAR_FAULT_RESET,
};

static worker_t *worker_of(const writing_t *writing)
{
	return writing->writer->service->worker;
}

/* The dispatch has ended without a send, and may be asked for again. */
static void fail_unsent(writing_t *writing)
{
	medlar_write_fail(writing->write, MEDLAR_FAULT_UNSENT);
	writer_release(writing);
}

static bool is_echo(const writing_t *writing)
{
	return memcmp(writing->wire.reply.id, writing->id,
		      MEDLAR_REQUEST_ID_LEN) == 0;
}

static bool is_usable(const writing_t *writing, const http_reply_t *reply)
{
	return reply->end == HTTP_REPLY && !writing->wire.bad &&
	       is_echo(writing);
}

static medlar_executed_t executed_of(const writing_t *writing,
				     const http_reply_t *reply)
{
	if (writing->wire.executed == WIRE_EXECUTED_NO)
		return MEDLAR_EXECUTED_NO;
	if (writing->wire.executed == WIRE_EXECUTED_YES ||
	    reply->status == MHD_HTTP_OK)
		return MEDLAR_EXECUTED_YES;
	return MEDLAR_EXECUTED_UNKNOWN;
}

static void learn(const writing_t *writing, medlar_executed_t executed)
{
	static const medlar_result_t judged[] = {
		[MEDLAR_EXECUTED_UNKNOWN] = MEDLAR_RESULT_ERROR,
		[MEDLAR_EXECUTED_YES] = MEDLAR_RESULT_OK,
		[MEDLAR_EXECUTED_NO] = MEDLAR_RESULT_SHED,
	};
	worker_t *worker = worker_of(writing);
	const medlar_reply_t *told = &writing->wire.reply;
	medlar_time_t now = worker->loop.now;

	if (told->incarnation > 0)
		medlar_replica_started(&worker->client, writing->replica,
				       told->incarnation, now);
	if (told->leaving)
		medlar_replica_leave(&worker->client, writing->replica,
				     told->incarnation, now);
	medlar_replica_report(&worker->client, writing->replica, &told->load,
			      now);
	if (executed == MEDLAR_EXECUTED_YES)
		medlar_suspects_success(&worker->suspects,
					writing->fingerprint);
	medlar_replica_done(&worker->client, writing->replica, judged[executed],
			    now - writing->sent, now);
}

static void on_reply(writing_t *writing, const http_reply_t *reply)
{
	medlar_executed_t executed = executed_of(writing, reply);
	medlar_str_t result = reply->body;

	metrics_add(&worker_of(writing)->metrics, METRIC_UPSTREAM_REPLIES, 1);
	if (executed == MEDLAR_EXECUTED_NO &&
	    writing->tried_len < WRITER_TRIED_MAX)
		writing->tried[writing->tried_len++] = writing->replica;
	learn(writing, executed);
	if (!upstream_is_json(&worker_of(writing)->upstream, result))
		result = MEDLAR_STR("");
	medlar_write_reply(writing->write, executed, result);
}

static void on_fault(writing_t *writing, const http_reply_t *reply)
{
	worker_t *worker = worker_of(writing);
	medlar_time_t now = worker->loop.now;
	const medlar_death_t death = {
		.fingerprint = writing->fingerprint,
		.replica = medlar_replica_id(writing->replica),
		.shard = medlar_replica_info(writing->replica)->shard,
		.local = true,
	};

	metrics_add(&worker->metrics, METRIC_UPSTREAM_FAULTS, 1);
	if (reply->end == HTTP_RESET)
		medlar_suspects_death(&worker->suspects, &death, now);
	medlar_replica_done(&worker->client, writing->replica,
			    results[reply->end], now - writing->sent, now);
	medlar_write_fail(writing->write, faults[reply->end]);
}

static void on_header(medlar_str_t name, medlar_str_t value, void *data)
{
	writing_t *writing = data;

	wire_header(name, value, &writing->wire);
}

static void serve_line(writer_t *writer);

static void on_done(http_call_t *call, const http_reply_t *reply, void *data)
{
	writing_t *writing = data;
	writer_t *writer = writing->writer;

	if (reply->end == HTTP_DROPPED) {
		free(writing);
		return;
	}
	writing->call = NULL;
	if (reply->end == HTTP_REPLY)
		wire_finish(&writing->wire, reply->status, reply->body);
	if (is_usable(writing, reply)) {
		on_reply(writing, reply);
	} else {
		if (reply->end == HTTP_REPLY)
			http_close_connection(call);
		on_fault(writing, reply);
	}
	writer_release(writing);
	serve_line(writer);
}

/** struct head - the headers of a write with room for their values */
typedef struct head {
	http_header_t items[HEADERS];
	char id[WIRE_ID_TEXT_LEN + 1];
	char claim[WIRE_ID_TEXT_LEN + 1];
	char deadline[NUMBER_MAX];
} head_t;

_Static_assert(MEDLAR_TOKEN_LEN == MEDLAR_REQUEST_ID_LEN,
	       "tokens are written as request ids are");

static void write_head(head_t *head, const writing_t *writing)
{
	medlar_time_t left = writing->deadline - worker_of(writing)->loop.now;

	wire_id_text(writing->id, head->id);
	wire_id_text(medlar_write_token(writing->write)->bytes, head->claim);
	snprintf(head->deadline, sizeof(head->deadline), "%" PRId64,
		 left > 0 ? left : 0);
	head->items[0] = (http_header_t){ "Medlar-Request-Id",
					  medlar_str_from(head->id) };
	head->items[1] = (http_header_t){ "Medlar-Kind", MEDLAR_STR("write") };
	head->items[2] = (http_header_t){ "Medlar-Deadline-Ms",
					  medlar_str_from(head->deadline) };
	head->items[3] = (http_header_t){ "Idempotency-Key",
					  medlar_str_from(writing->key) };
	head->items[4] = (http_header_t){ "Medlar-Claim",
					  medlar_str_from(head->claim) };
}

static int send_to(writing_t *writing, http_peer_t *peer)
{
	worker_t *worker = worker_of(writing);
	head_t head;
	const http_request_t request = {
		.method = "POST",
		.path = "/v1/write",
		.headers = head.items,
		.headers_len = HEADERS,
		.body = medlar_buf_str(&writing->body),
		.until = writing->deadline + DRAIN_MAX,
		.silence = DRAIN_MAX,
		.reply_max = worker->upstream.reply_max,
		.on_header = on_header,
		.done = on_done,
		.data = writing,
	};

	randombytes_buf(writing->id, sizeof(writing->id));
	write_head(&head, writing);
	wire_init(&writing->wire);
	return http_start(peer, &request, &writing->call);
}

static medlar_shard_t *shard_of(const writing_t *writing)
{
	medlar_service_t *core = &writing->writer->service->core;
	uint64_t key = medlar_key_hash(medlar_str_from(writing->key));
	const medlar_map_entry_t *entry = medlar_map_find(
		medlar_service_map(core), key);

	if (!entry || entry->shard >= medlar_service_shards(core))
		return NULL;
	return medlar_service_shard(core, entry->shard);
}

static int choose(writing_t *writing)
{
	worker_t *worker = worker_of(writing);
	medlar_shard_t *shard = shard_of(writing);
	const medlar_pick_t pick = {
		.tried = writing->tried,
		.tried_len = writing->tried_len,
	};

	if (!shard)
		return MEDLAR_ERR_NO_REPLICA;
	return medlar_replica_pick(&worker->client, shard, &pick,
				   worker->loop.now, &writing->replica);
}

static void send_now(writing_t *writing)
{
	worker_t *worker = worker_of(writing);
	http_peer_t *peer = upstream_peer(&writing->writer->service->link,
					  writing->replica);

	metrics_add(&worker->metrics, METRIC_UPSTREAM_SENDS, 1);
	metrics_service_add(writing->writer->service->metrics,
			    SERVICE_METRIC_SENDS, 1);
	if (!peer || send_to(writing, peer)) {
		fail_unsent(writing);
		return;
	}
	writing->sent = worker->loop.now;
	medlar_replica_sent(&worker->client, writing->replica,
			    worker->loop.now);
}

static void set_timer(writer_t *writer)
{
	worker_t *worker = writer->service->worker;

	/* Without memory the next write sets it. */
	(void)medlar_timer_set(&worker->client, &writer->timer,
			       worker->loop.now + LINE_PERIOD);
}

static void join_line(writing_t *writing)
{
	writer_t *writer = writing->writer;

	writing->line_next = NULL;
	if (writer->line_last)
		writer->line_last->line_next = writing;
	else
		writer->line_first = writing;
	writer->line_last = writing;
	writer->line_len++;
	if (!writer->timer.slot)
		set_timer(writer);
}

static writing_t *leave_line(writer_t *writer)
{
	writing_t *first = writer->line_first;

	writer->line_first = first->line_next;
	if (!writer->line_first)
		writer->line_last = NULL;
	writer->line_len--;
	return first;
}

static bool is_late(const writing_t *writing)
{
	return writing->deadline - worker_of(writing)->loop.now < LINE_MARGIN;
}

/* Send the writes that wait, as far as replicas have room. */
static void serve_line(writer_t *writer)
{
	writing_t *first;

	while ((first = writer->line_first)) {
		int error = choose(first);

		if (error == MEDLAR_ERR_FULL && !is_late(first))
			return;
		(void)leave_line(writer);
		if (error)
			fail_unsent(first);
		else
			send_now(first);
	}
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	writer_t *writer = data;

	(void)client;
	(void)timer;
	(void)now;
	serve_line(writer);
	if (writer->line_first)
		set_timer(writer);
}

/**
 * writer_send_init() - prepare the line of writes that wait for a replica
 * @writer: writer
 */
void writer_send_init(writer_t *writer)
{
	medlar_timer_init(&writer->timer, on_timer, writer);
}

/**
 * writer_dispatch() - send a write; see &medlar_writes_ops_t
 * @write: write
 * @data: its writer
 */
void writer_dispatch(medlar_write_t *write, void *data)
{
	writing_t *writing = medlar_write_data(write);
	writer_t *writer = data;
	int error;

	writing->write = write;
	writing->holds++;
	error = writer->line_first ? MEDLAR_ERR_FULL : choose(writing);
	if (error == MEDLAR_ERR_FULL)
		join_line(writing);
	else if (error)
		fail_unsent(writing);
	else
		send_now(writing);
}
