/**
 * DOC: writes of one service: sending to upstreams
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "medlard/writer.h"

#define NUMBER_TEXT_MAX 24
#define HEADERS_LEN 5

/* Replies are accepted this long after the deadline, to record the outcome. */
#define LATE_REPLY_MAX (30 * MEDLAR_SECOND)

/* A write without a replica is given up this long before its deadline, ms. */
#define QUEUE_MARGIN ((medlar_time_t)15)
/* Time between attempts to send queued writes, ms. */
#define QUEUE_POLL_PERIOD ((medlar_time_t)5)

static const medlar_request_result_t call_results[] = {
	[HTTP_REPLY] = MEDLAR_RESULT_ERROR,
	[HTTP_REFUSED] = MEDLAR_RESULT_REFUSED,
	[HTTP_UNSENT] = MEDLAR_RESULT_CANCELLED,
	[HTTP_RESET] = MEDLAR_RESULT_RESET,
	[HTTP_SILENT] = MEDLAR_RESULT_SILENT,
	[HTTP_MALFORMED] = MEDLAR_RESULT_ERROR,
	[HTTP_CLIENT_CLOSED] = MEDLAR_RESULT_RESET,
};

static const medlar_fault_t call_faults[] = {
	[HTTP_REPLY] = MEDLAR_FAULT_MALFORMED,
	[HTTP_REFUSED] = MEDLAR_FAULT_REFUSED,
	[HTTP_UNSENT] = MEDLAR_FAULT_UNSENT,
	[HTTP_RESET] = MEDLAR_FAULT_RESET,
	[HTTP_SILENT] = MEDLAR_FAULT_SILENT,
	[HTTP_MALFORMED] = MEDLAR_FAULT_MALFORMED,
	[HTTP_CLIENT_CLOSED] = MEDLAR_FAULT_RESET,
};

static worker_t *get_worker(const pending_write_t *pending)
{
	return pending->writer->service->worker;
}

/* Ends a dispatch without having sent anything; the core may dispatch again. */
static void fail_unsent(pending_write_t *pending)
{
	medlar_write_fail(pending->write, MEDLAR_FAULT_UNSENT);
	writer_unref_write(pending);
}

static bool has_own_id(const pending_write_t *pending)
{
	return memcmp(pending->wire.reply.id, pending->request_id,
		      MEDLAR_REQUEST_ID_LEN) == 0;
}

static bool is_usable(const pending_write_t *pending, const http_reply_t *reply)
{
	return reply->end == HTTP_REPLY && !pending->wire.malformed &&
	       has_own_id(pending);
}

static medlar_executed_t get_executed(const pending_write_t *pending,
				      const http_reply_t *reply)
{
	if (pending->wire.executed == WIRE_EXECUTED_NO)
		return MEDLAR_EXECUTED_NO;
	if (pending->wire.executed == WIRE_EXECUTED_YES ||
	    reply->status == HTTP_STATUS_OK)
		return MEDLAR_EXECUTED_YES;
	return MEDLAR_EXECUTED_UNKNOWN;
}

static void record_reply(const pending_write_t *pending,
			 medlar_executed_t executed)
{
	static const medlar_request_result_t results_by_executed[] = {
		[MEDLAR_EXECUTED_UNKNOWN] = MEDLAR_RESULT_ERROR,
		[MEDLAR_EXECUTED_YES] = MEDLAR_RESULT_OK,
		[MEDLAR_EXECUTED_NO] = MEDLAR_RESULT_SHED,
	};
	worker_t *worker = get_worker(pending);
	const medlar_reply_t *reply = &pending->wire.reply;
	medlar_time_t now = worker->loop.now;

	if (reply->incarnation > 0)
		medlar_replica_set_incarnation(&worker->client,
					       pending->replica,
					       reply->incarnation, now);
	if (reply->leaving)
		medlar_replica_set_leaving(&worker->client, pending->replica,
					   reply->incarnation, now);
	medlar_replica_report_load(&worker->client, pending->replica,
				   &reply->load, now);
	if (executed == MEDLAR_EXECUTED_YES)
		medlar_suspects_add_success(&worker->suspects,
					    pending->fingerprint);
	medlar_replica_end_request(&worker->client, pending->replica,
				   results_by_executed[executed],
				   now - pending->sent_at, now);
}

static void handle_reply(pending_write_t *pending, const http_reply_t *reply)
{
	medlar_executed_t executed = get_executed(pending, reply);
	medlar_str_t result = reply->body;

	metrics_add(&get_worker(pending)->metrics, METRIC_UPSTREAM_REPLIES, 1);
	if (executed == MEDLAR_EXECUTED_NO &&
	    pending->tried_len < WRITER_TRIED_MAX)
		pending->tried[pending->tried_len++] = pending->replica;
	record_reply(pending, executed);
	if (!upstream_is_json(&get_worker(pending)->upstream, result))
		result = MEDLAR_STR("");
	medlar_write_reply(pending->write, executed, result);
}

static void handle_fault(pending_write_t *pending, const http_reply_t *reply)
{
	worker_t *worker = get_worker(pending);
	medlar_time_t now = worker->loop.now;
	const medlar_crash_t crash = {
		.fingerprint = pending->fingerprint,
		.replica = medlar_replica_id(pending->replica),
		.shard = medlar_replica_info(pending->replica)->shard,
		.local = true,
	};

	metrics_add(&worker->metrics, METRIC_UPSTREAM_FAULTS, 1);
	if (reply->end == HTTP_RESET)
		medlar_suspects_add_crash(&worker->suspects, &crash, now);
	medlar_replica_end_request(&worker->client, pending->replica,
				   call_results[reply->end],
				   now - pending->sent_at, now);
	medlar_write_fail(pending->write, call_faults[reply->end]);
}

static void on_header(medlar_str_t name, medlar_str_t value, void *data)
{
	pending_write_t *pending = data;

	wire_reply_add_header(name, value, &pending->wire);
}

static void serve_queue(writer_t *writer);

static void on_done(http_call_t *call, const http_reply_t *reply, void *data)
{
	pending_write_t *pending = data;
	writer_t *writer = pending->writer;

	if (reply->end == HTTP_CLIENT_CLOSED) {
		free(pending);
		return;
	}
	pending->call = NULL;
	if (reply->end == HTTP_REPLY)
		wire_reply_finish(&pending->wire, reply->status, reply->body);
	if (is_usable(pending, reply)) {
		handle_reply(pending, reply);
	} else {
		if (reply->end == HTTP_REPLY)
			http_call_close_connection(call);
		handle_fault(pending, reply);
	}
	writer_unref_write(pending);
	serve_queue(writer);
}

/** struct write_headers - headers of a write and buffers for their values */
typedef struct write_headers {
	http_header_t items[HEADERS_LEN];
	char id[WIRE_ID_TEXT_LEN + 1];
	char claim[WIRE_ID_TEXT_LEN + 1];
	char deadline[NUMBER_TEXT_MAX];
} write_headers_t;

_Static_assert(MEDLAR_TOKEN_LEN == MEDLAR_REQUEST_ID_LEN,
	       "tokens are formatted like request ids");

static void fill_headers(write_headers_t *headers,
			 const pending_write_t *pending)
{
	medlar_time_t left = pending->deadline - get_worker(pending)->loop.now;

	wire_format_id(pending->request_id, headers->id);
	wire_format_id(medlar_write_token(pending->write)->bytes,
		       headers->claim);
	snprintf(headers->deadline, sizeof(headers->deadline), "%" PRId64,
		 left > 0 ? left : 0);
	headers->items[0] = (http_header_t){ "Medlar-Request-Id",
					     medlar_str_from(headers->id) };
	headers->items[1] = (http_header_t){ "Medlar-Kind",
					     MEDLAR_STR("write") };
	headers->items[2] = (http_header_t){
		"Medlar-Deadline-Ms", medlar_str_from(headers->deadline)
	};
	headers->items[3] = (http_header_t){ "Idempotency-Key",
					     medlar_str_from(pending->key) };
	headers->items[4] = (http_header_t){ "Medlar-Claim",
					     medlar_str_from(headers->claim) };
}

static int start_call(pending_write_t *pending, http_pool_t *peer)
{
	worker_t *worker = get_worker(pending);
	write_headers_t headers;
	const http_request_t request = {
		.method = "POST",
		.path = "/v1/write",
		.headers = headers.items,
		.headers_len = HEADERS_LEN,
		.body = medlar_buf_str(&pending->body),
		.deadline = pending->deadline + LATE_REPLY_MAX,
		.silence = LATE_REPLY_MAX,
		.reply_max = worker->upstream.reply_max,
		.on_header = on_header,
		.done = on_done,
		.data = pending,
	};

	randombytes_buf(pending->request_id, sizeof(pending->request_id));
	fill_headers(&headers, pending);
	wire_reply_init(&pending->wire);
	return http_call_start(peer, &request, &pending->call);
}

static medlar_shard_t *find_shard(const pending_write_t *pending)
{
	medlar_service_t *core = &pending->writer->service->core;
	uint64_t key = medlar_key_hash(medlar_str_from(pending->key));
	const medlar_map_entry_t *entry = medlar_map_find(
		medlar_service_map(core), key);

	if (!entry || entry->shard >= medlar_service_shards_count(core))
		return NULL;
	return medlar_service_shard(core, entry->shard);
}

static int choose_replica(pending_write_t *pending)
{
	worker_t *worker = get_worker(pending);
	medlar_shard_t *shard = find_shard(pending);
	const medlar_pick_t pick = {
		.tried = pending->tried,
		.tried_len = pending->tried_len,
	};

	if (!shard)
		return MEDLAR_ERR_NO_REPLICA;
	return medlar_replica_pick(&worker->client, shard, &pick,
				   worker->loop.now, &pending->replica);
}

static void send_write(pending_write_t *pending)
{
	worker_t *worker = get_worker(pending);
	http_pool_t *peer = upstream_pool(&pending->writer->service->context,
					  pending->replica);

	metrics_add(&worker->metrics, METRIC_UPSTREAM_SENDS, 1);
	metrics_service_add(pending->writer->service->metrics,
			    SERVICE_METRIC_SENDS, 1);
	if (!peer || start_call(pending, peer)) {
		fail_unsent(pending);
		return;
	}
	pending->sent_at = worker->loop.now;
	medlar_replica_begin_request(&worker->client, pending->replica,
				     worker->loop.now);
}

static void set_queue_timer(writer_t *writer)
{
	worker_t *worker = writer->service->worker;

	/* If memory is short, the next queued write sets the timer. */
	(void)medlar_timer_set(&worker->client, &writer->queue_timer,
			       worker->loop.now + QUEUE_POLL_PERIOD);
}

static void enqueue(pending_write_t *pending)
{
	writer_t *writer = pending->writer;

	pending->queue_next = NULL;
	if (writer->queue_tail)
		writer->queue_tail->queue_next = pending;
	else
		writer->queue_head = pending;
	writer->queue_tail = pending;
	writer->queue_len++;
	if (!writer->queue_timer.slot)
		set_queue_timer(writer);
}

static pending_write_t *dequeue(writer_t *writer)
{
	pending_write_t *first = writer->queue_head;

	writer->queue_head = first->queue_next;
	if (!writer->queue_head)
		writer->queue_tail = NULL;
	writer->queue_len--;
	return first;
}

static bool is_near_deadline(const pending_write_t *pending)
{
	return pending->deadline - get_worker(pending)->loop.now < QUEUE_MARGIN;
}

/* Sends queued writes, oldest first, until no replica has capacity. */
static void serve_queue(writer_t *writer)
{
	pending_write_t *first;

	while ((first = writer->queue_head)) {
		int error = choose_replica(first);

		if (error == MEDLAR_ERR_FULL && !is_near_deadline(first))
			return;
		(void)dequeue(writer);
		if (error)
			fail_unsent(first);
		else
			send_write(first);
	}
}

static void on_queue_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	writer_t *writer = data;

	(void)client;
	(void)timer;
	(void)now;
	serve_queue(writer);
	if (writer->queue_head)
		set_queue_timer(writer);
}

/**
 * writer_queue_init() - initialize the queue of writes that wait for a replica
 * @writer: writer
 */
void writer_queue_init(writer_t *writer)
{
	medlar_timer_init(&writer->queue_timer, on_queue_timer, writer);
}

/**
 * writer_dispatch() - send a write to a replica; see &medlar_writes_ops_t
 * @write: write of the core
 * @data: the &struct writer
 *
 * Queues the write if no replica has capacity or others already wait.
 */
void writer_dispatch(medlar_write_t *write, void *data)
{
	pending_write_t *pending = medlar_write_data(write);
	writer_t *writer = data;
	int error;

	pending->write = write;
	pending->refs++;
	error = writer->queue_head ? MEDLAR_ERR_FULL : choose_replica(pending);
	if (error == MEDLAR_ERR_FULL)
		enqueue(pending);
	else if (error)
		fail_unsent(pending);
	else
		send_write(pending);
}
