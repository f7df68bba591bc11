/**
 * DOC: processing of one forwarded request
 *
 * An exchange sends a request to one replica, or to one replica of each shard.
 * It retries and hedges where the route and the retry budget allow it, and ends
 * with exactly one answer. It does no I/O itself: callbacks do.
 */
#ifndef LIBROUTE_EXCHANGE_H
#define LIBROUTE_EXCHANGE_H

#include "libroute/answer_time.h"
#include "libroute/outcome.h"
#include "libroute/routes.h"
#include "libroute/suspects.h"

/** Most attempts for one part, including those that were not run. */
#define EXCHANGE_ATTEMPTS_MAX 8

typedef struct exchange exchange_t;
typedef struct exchange_part exchange_part_t;
typedef struct attempt attempt_t;

/**
 * struct attempt - one send of a part to a replica
 * @exchange: exchange that it belongs to
 * @part: part that it asks for
 * @replica: replica that it is sent to
 * @transport: private data of the &exchange_events callbacks; NULL unless in
 *	flight
 * @connection: identifies the connection that it was sent on, also after its end;
 *	0 if nothing was sent. Set by the &exchange_events callbacks.
 * @is_extra: it is a retry or a hedge, charged to the retry budget
 * @refused: the replica did not run it and may be asked again
 * @counts_against_limit: it was counted against the limit that the replica names
 */
struct attempt {
	exchange_t *exchange;
	exchange_part_t *part;
	replica_t *replica;
	void *transport;
	uint64_t connection;
	bool is_extra;
	bool refused;
	bool counts_against_limit;
};

/**
 * struct exchange_part - the request to one service
 * @service: service
 * @attempts: attempts made so far
 * @attempts_len: number of @attempts
 * @in_flight: attempts in flight
 * @possible_runs: attempts that are in flight, were run or may have been run
 * @next_is_extra: the next attempt is charged to the retry budget
 * @backoff_until: replicas that refused the part are not asked again before
 *	this time, ms
 * @hedged: an attempt was made while another was in flight
 * @deferred: the part is not asked for unless the answer needs it
 * @settled: the part was answered or given up
 * @ok: the part was answered
 * @signature: signature of the reply, by which a caller can verify its origin
 * @body: records of the part
 */
struct exchange_part {
	fleet_service_t *service;
	attempt_t attempts[EXCHANGE_ATTEMPTS_MAX];
	unsigned attempts_len;
	unsigned in_flight;
	unsigned possible_runs;
	bool next_is_extra;
	medlar_time_t backoff_until;
	bool hedged;
	bool deferred;
	bool settled;
	bool ok;
	medlar_buf_t signature;
	medlar_buf_t body;
};

/**
 * struct exchange_reply - reply of a replica
 * @outcome: outcome of the attempt
 * @signature: signature of the replica; may be empty
 * @body: body of the reply
 * @message: the whole reply, passed on to the answer callback; or NULL
 */
typedef struct exchange_reply {
	outcome_t outcome;
	medlar_str_t signature;
	medlar_str_t body;
	const void *message;
} exchange_reply_t;

/**
 * enum answer - kind of answer that ends an exchange
 * @ANSWER_RELAY: the reply of one replica is passed on
 * @ANSWER_MERGED: the parts received so far are merged
 * @ANSWER_NOT_RUN: no replica has run the request, and none will
 * @ANSWER_FAILED: replicas failed, or too few parts can be obtained
 * @ANSWER_TIMEOUT: the deadline has passed
 */
typedef enum answer {
	ANSWER_RELAY,
	ANSWER_MERGED,
	ANSWER_NOT_RUN,
	ANSWER_FAILED,
	ANSWER_TIMEOUT,
} answer_t;

/**
 * struct exchange_events - callbacks that do the I/O of exchanges
 * @send: starts an attempt and sets its private data; returns %MEDLAR_OK or an
 *	error. exchange_end_attempt() reports its end, but not before @send has returned
 * @cancel: cancels an attempt in flight and clears its private data; returns
 *	whether no byte of it was sent or will be
 * @answer: answers the caller; exchange_finish() may be called only after the
 *	exchange function that made this call has returned
 * @log: logs an attempt that has ended ("attempt_end") or a hedge ("hedge")
 */
typedef struct exchange_events {
	int (*send)(attempt_t *attempt, void *data);
	bool (*cancel)(attempt_t *attempt, void *data);
	void (*answer)(exchange_t *exchange, answer_t how,
		       const exchange_reply_t *reply, void *data);
	void (*log)(const attempt_t *attempt, const char *event,
		    outcome_t outcome, void *data);
} exchange_events_t;

/**
 * struct exchange_setup - environment shared by the exchanges of an instance
 * @client: timers and random numbers
 * @fleet: services and replicas
 * @suspects: requests suspected of crashing replicas
 * @timer_delay: how late timers expire, learned from those of exchanges
 * @write_delay: time from the decision to answer until the answer is handed to
 *	the kernel
 * @events: I/O callbacks
 * @data: passed to @events
 */
typedef struct exchange_setup {
	medlar_client_t *client;
	fleet_t *fleet;
	suspects_t *suspects;
	delay_estimate_t timer_delay;
	delay_estimate_t write_delay;
	const exchange_events_t *events;
	void *data;
} exchange_setup_t;

/**
 * struct exchange - a request being forwarded
 * @setup: environment shared by the exchanges of the instance
 * @routes: configuration version in force when the request arrived
 * @route: route of the request
 * @fingerprint: hash of host, path and body
 * @timing: time that the caller has
 * @started_at: when the request arrived, ms
 * @deadline: when the request must be answered, ms
 * @soft_deadline: when an answer must leave to meet the target latency, ms
 * @hedge_at: when attempts without a reply may be hedged, ms
 * @parts: requests to the services
 * @parts_len: number of @parts
 * @parts_settled: number of parts that were answered or given up
 * @parts_ok: number of parts that were answered
 * @parts_deferred: number of parts that are asked for only if others fail
 * @attempts_made: attempts made
 * @extra_attempts: attempts among @attempts_made that were charged to the retry
 *	budget
 * @in_flight: attempts in flight
 * @broken_attempts: attempts whose connection broke before a usable reply
 * @available_at: when replicas of the parts that were given up take requests
 *	again, ms; 0 if not known
 * @limited_service: service whose limits left no room for the request; NULL if none
 * @may_have_run: a replica has run the request or may have run it
 * @answered: the caller was answered or has left
 * @timer: expires at the next time at which a decision is due
 * @owner: private data of the caller of exchange_init()
 */
struct exchange {
	exchange_setup_t *setup;
	routes_t *routes;
	const route_t *route;
	uint64_t fingerprint;
	caller_timing_t timing;
	medlar_time_t started_at;
	medlar_time_t deadline;
	medlar_time_t soft_deadline;
	medlar_time_t hedge_at;
	exchange_part_t *parts;
	size_t parts_len;
	size_t parts_settled;
	size_t parts_ok;
	size_t parts_deferred;
	unsigned attempts_made;
	unsigned extra_attempts;
	unsigned in_flight;
	unsigned broken_attempts;
	medlar_time_t available_at;
	const fleet_service_t *limited_service;
	bool may_have_run;
	bool answered;
	medlar_timer_t timer;
	void *owner;
};

int exchange_init(exchange_t *exchange, exchange_setup_t *setup,
		  routes_t *routes, const route_t *route,
		  const caller_timing_t *timing, medlar_time_t now);
void exchange_defer_part(exchange_t *exchange, exchange_part_t *part);
void exchange_start(exchange_t *exchange, medlar_time_t now);
void exchange_end_attempt(attempt_t *attempt, const exchange_reply_t *reply,
			  medlar_time_t now);
void exchange_cancel(exchange_t *exchange);
void exchange_limit_deadline(exchange_t *exchange, medlar_time_t until,
			     medlar_time_t now);
void exchange_finish(exchange_t *exchange);

#endif /* LIBROUTE_EXCHANGE_H */
