/**
 * DOC: queries and writes in progress at the replicas of fake-upstream
 */
#ifndef FAKES_COMMON_CALL_H
#define FAKES_COMMON_CALL_H

#include "common_replica.h"

/**
 * enum fake_call_state - progress of a query or write
 * @FAKE_CALL_CONNECTING: delayed by the simulated cost of a new connection
 * @FAKE_CALL_QUEUED: waits for a slot
 * @FAKE_CALL_RUNNING: occupies a slot
 * @FAKE_CALL_REPLY_DELAYED: executed; the reply is held back
 * @FAKE_CALL_ANSWERED: the reply was handed to the HTTP library
 */
typedef enum fake_call_state {
	FAKE_CALL_CONNECTING,
	FAKE_CALL_QUEUED,
	FAKE_CALL_RUNNING,
	FAKE_CALL_REPLY_DELAYED,
	FAKE_CALL_ANSWERED,
} fake_call_state_t;

/**
 * struct fake_call - a query or write in progress
 * @prev: previous call in the list of the replica
 * @next: next call in the list of the replica
 * @queue_next: next call in the queue for a slot
 * @replica: replica that received it
 * @request: HTTP request
 * @timer: fires at the end of @state, if that is timed
 * @state: progress
 * @is_write: true for a write, false for a query
 * @id: request id, NUL-terminated
 * @range: requested range of keys
 * @version: requested index version
 * @deadline: time of fake_now() in microseconds, or %MEDLAR_TIME_NEVER
 */
struct fake_call {
	fake_call_t *prev;
	fake_call_t *next;
	fake_call_t *queue_next;
	fake_replica_t *replica;
	fake_request_t *request;
	medlar_timer_t timer;
	fake_call_state_t state;
	bool is_write;
	char id[FAKE_ID_LEN + 1];
	medlar_range_t range;
	uint32_t version;
	medlar_time_t deadline;
};

/* HTTP status of a cancelled request, not registered: as nginx uses it */
#define FAKE_STATUS_CANCELLED 499

medlar_time_t fake_call_draw_service_time(const fake_replica_t *replica);
struct MHD_Response *fake_call_make_response(const fake_replica_t *replica,
					     medlar_str_t body, const char *id,
					     const char *executed);
void fake_call_write_result(const fake_call_t *call, medlar_buf_t *out);

extern const fake_port_ops_t fake_call_ops;

#endif
