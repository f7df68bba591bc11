/**
 * DOC: requests to the replicas of the upstream stand-in
 */
#ifndef FAKES_COMMON_CALL_H
#define FAKES_COMMON_CALL_H

#include "common_replica.h"

/** enum fake_call_state - where a request is */
typedef enum fake_call_state {
	FAKE_CALL_CONNECTING,
	FAKE_CALL_WAITING,
	FAKE_CALL_RUNNING,
	FAKE_CALL_HELD,
	FAKE_CALL_ANSWERED,
} fake_call_state_t;

/**
 * struct fake_call - a query or write in progress
 * @prev: neighbour among the requests of the replica
 * @next: neighbour among the requests of the replica
 * @after: next in the queue for a slot
 * @replica: replica
 * @request: HTTP request
 * @timer: end of the present state
 * @state: present state
 * @write: a write, not a query
 * @id: request id, terminated
 * @range: keys asked for
 * @version: index version asked for
 * @deadline: microseconds, or %MEDLAR_TIME_NEVER
 */
struct fake_call {
	fake_call_t *prev;
	fake_call_t *next;
	fake_call_t *after;
	fake_replica_t *replica;
	fake_request_t *request;
	medlar_timer_t timer;
	fake_call_state_t state;
	bool write;
	char id[FAKE_ID_LEN + 1];
	medlar_range_t range;
	uint32_t version;
	medlar_time_t deadline;
};

#define FAKE_STATUS_CANCELLED 499

medlar_time_t fake_call_time(const fake_replica_t *replica);
struct MHD_Response *fake_call_response(const fake_replica_t *replica,
					medlar_str_t body, const char *id,
					const char *executed);
void fake_call_result(const fake_call_t *call, medlar_buf_t *out);

extern const fake_port_ops_t fake_call_ops;

#endif
