/**
 * DOC: writes of one service
 *
 * Joins the write core of a service to callers, to the key-value service and
 * to the upstreams. Belongs to the worker that owns the service.
 */
#ifndef MEDLARD_WRITER_H
#define MEDLARD_WRITER_H

#include "medlard/upstream.h"
#include "medlard/worker.h"

#define WRITER_TRIED_MAX 4

typedef struct writer writer_t;
typedef struct pending_write pending_write_t;

/**
 * struct writing - a write from its caller's request to its last dispatch
 * @writer: owner
 * @next: next write of @writer
 * @prev: previous write of @writer
 * @queue_next: next write that waits for a replica
 * @request: the request; NULL once it is answered
 * @write: the core's object; valid while a dispatch is under way
 * @body: what is sent to the upstream
 * @key: idempotency key, terminated
 * @fingerprint: of the request
 * @deadline: by when the caller needs the answer
 * @refs: reasons to keep this object: the answer, and the dispatch
 * @call: HTTP call under way, or NULL
 * @wire: headers of its reply
 * @request_id: its request id
 * @replica: where it was sent
 * @sent_at: when, ms
 * @tried: replicas that did not execute it
 * @tried_len: how many
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
 * @core: its write core
 * @exported: counters of the core that the metrics show
 * @writes: all writes
 * @queue_head: writes that wait for a replica, oldest first
 * @queue_tail: newest of them
 * @queue_len: how many
 * @queue_timer: looks at the line again
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
size_t writer_pending(const worker_t *worker);
void writer_handle(service_t *service, request_t *request);
void writer_handle_show(request_t *request);
void writer_on_lookup(medlar_write_t *write, int error,
		      const medlar_entry_t *entry, medlar_str_t result,
		      void *data);

void writer_queue_init(writer_t *writer);
void writer_dispatch(medlar_write_t *write, void *data);
void writer_unref_write(pending_write_t *pending);

#endif /* MEDLARD_WRITER_H */
