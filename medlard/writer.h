/**
 * DOC: writes of one service
 *
 * Connects the write core of a service with callers, the key-value service and
 * the upstreams. Used only by the worker that owns the service.
 */
#ifndef MEDLARD_WRITER_H
#define MEDLARD_WRITER_H

#include "medlard/upstream.h"
#include "medlard/worker.h"

/** Largest number of replicas that a write remembers as tried. */
#define WRITER_TRIED_MAX 4

typedef struct writer writer_t;
typedef struct pending_write pending_write_t;

/**
 * struct pending_write - a write that is not answered or still being sent
 * @writer: writer it belongs to
 * @next: next in the list of writes of @writer
 * @prev: previous in that list
 * @queue_next: next in the queue of writes that wait for a replica
 * @request: the caller's request; NULL once answered
 * @write: the core's object; valid during a dispatch
 * @body: body of the upstream request
 * @key: idempotency key, NUL-terminated
 * @fingerprint: fingerprint of the request, for crash detection
 * @deadline: when the caller's answer is due, ms
 * @refs: references: one until the answer, one per dispatch
 * @call: HTTP call in progress, or NULL
 * @wire: parsed headers of the reply
 * @request_id: request id of the current attempt
 * @replica: replica chosen for the current attempt
 * @sent_at: when it was sent there, ms
 * @tried: replicas that reported not having executed it
 * @tried_len: number of them
 */
struct pending_write {
	writer_t *writer;
	pending_write_t *next;
	pending_write_t *prev;
	pending_write_t *queue_next;
	request_t *request;
	medlar_write_t *write;
	medlar_buf_t body;
	char key[REQUEST_KEY_MAX + 1];
	uint64_t fingerprint;
	medlar_time_t deadline;
	unsigned refs;
	http_call_t *call;
	wire_reply_t wire;
	uint8_t request_id[MEDLAR_REQUEST_ID_LEN];
	medlar_replica_t *replica;
	medlar_time_t sent_at;
	medlar_replica_t *tried[WRITER_TRIED_MAX];
	size_t tried_len;
};

/**
 * struct writer - the writes of one service
 * @service: the service
 * @core: state of the write protocol
 * @exported: counters of @core already added to the metrics
 * @writes: list of all writes
 * @queue_head: oldest write that waits for a replica, or NULL
 * @queue_tail: newest write that waits for a replica
 * @queue_len: number of writes that wait
 * @queue_timer: retries the queue periodically
 */
struct writer {
	service_t *service;
	medlar_writes_t core;
	medlar_writes_stats_t exported;
	pending_write_t *writes;
	pending_write_t *queue_head;
	pending_write_t *queue_tail;
	size_t queue_len;
	medlar_timer_t queue_timer;
};

int writer_configure(service_t *service, uint64_t revision, size_t writers);
void writer_free(writer_t *writer);
size_t writer_pending_count(const worker_t *worker);
void writer_handle(service_t *service, request_t *request);
void writer_handle_show(request_t *request);
void writer_on_lookup(medlar_write_t *write, int error,
		      const medlar_journal_entry_t *entry, medlar_str_t result,
		      void *data);

void writer_queue_init(writer_t *writer);
void writer_dispatch(medlar_write_t *write, void *data);
void writer_unref_write(pending_write_t *pending);

#endif /* MEDLARD_WRITER_H */
