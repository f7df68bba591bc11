/**
 * DOC: the life of one forwarded request
 *
 * An exchange sends a request to one replica, or to one replica of each
 * shard, repeats it where that is allowed, paid for and of use, and ends with
 * exactly one answer. What it wants done leaves through callbacks.
 */
#ifndef LIBROUTE_EXCHANGE_H
#define LIBROUTE_EXCHANGE_H

#include "libroute/outcome.h"
#include "libroute/routes.h"
#include "libroute/suspects.h"

/** Sends for one part, counting those that were not run. */
#define EXCHANGE_SENDS_MAX 8

typedef struct exchange exchange_t;
typedef struct exchange_part exchange_part_t;
typedef struct attempt attempt_t;

/**
 * struct attempt - one send of a part
 * @exchange: exchange
 * @part: part
 * @replica: where it is sent
 * @io: of the owner of connections; NULL when not under way
 * @extra: it is not the first of its part
 * @refused: the replica has not run it and may be asked again
 */
struct attempt {
	exchange_t *exchange;
	exchange_part_t *part;
	replica_t *replica;
	void *io;
	bool extra;
	bool refused;
};

/**
 * struct exchange_part - what is asked of one service
 * @service: service
 * @attempts: sends
 * @attempts_len: how many
 * @flying: sends under way
 * @may_have_run: sends that are under way, ran or may have run
 * @repeats: the next send is paid from the budget
 * @rest_until: replicas that refused it are not asked again before
 * @hedged: a send was made while another was under way
 * @settled: answered or given up
 * @ok: answered
 * @proof: proof of the part
 * @body: its records
 */
struct exchange_part {
	fleet_service_t *service;
	attempt_t attempts[EXCHANGE_SENDS_MAX];
	unsigned attempts_len;
	unsigned flying;
	unsigned may_have_run;
	bool repeats;
	medlar_time_t rest_until;
	bool hedged;
	bool settled;
	bool ok;
	medlar_buf_t proof;
	medlar_buf_t body;
};

/**
 * struct exchange_reply - what a replica answered
 * @outcome: how it counts
 * @proof: its proof; may be empty
 * @body: its body
 * @message: the whole reply, for the owner
 */
typedef struct exchange_reply {
	outcome_t outcome;
	medlar_str_t proof;
	medlar_str_t body;
	const void *message;
} exchange_reply_t;

/**
 * enum answer - how an exchange ends
 * @ANSWER_RELAY: with the reply of a replica
 * @ANSWER_MERGED: with the parts that are in
 * @ANSWER_NOT_RUN: no replica has run it, and none will
 * @ANSWER_FAILED: replicas failed, or too few parts can be had
 * @ANSWER_TIMEOUT: the time is over
 */
typedef enum answer {
	ANSWER_RELAY,
	ANSWER_MERGED,
	ANSWER_NOT_RUN,
	ANSWER_FAILED,
	ANSWER_TIMEOUT,
} answer_t;

/**
 * struct exchange_events - what an exchange wants done
 * @send: send an attempt, which sets its io; its end is told by
 *	exchange_end(), never before @send returns
 * @drop: forget an attempt, whose io is cleared; return whether no byte of it
 *	was sent nor will be
 * @answer: answer the caller; the exchange may be finished once the call into
 *	it has returned, not before
 * @note: an attempt has ended, or was made besides another
 */
typedef struct exchange_events {
	int (*send)(attempt_t *attempt, void *data);
	bool (*drop)(attempt_t *attempt, void *data);
	void (*answer)(exchange_t *exchange, answer_t how,
		       const exchange_reply_t *reply, void *data);
	void (*note)(const attempt_t *attempt, const char *event,
		     outcome_t outcome, void *data);
} exchange_events_t;

/**
 * struct exchange_setup - what exchanges of an instance share
 * @client: timers and randomness
 * @fleet: replicas
 * @suspects: requests that seem to crash replicas
 * @margin: time an answer needs to the caller and back, ms
 * @events: what is wanted done
 * @data: passed to @events
 */
typedef struct exchange_setup {
	medlar_client_t *client;
	fleet_t *fleet;
	suspects_t *suspects;
	medlar_time_t margin;
	const exchange_events_t *events;
	void *data;
} exchange_setup_t;

/**
 * struct exchange - a request under way
 * @setup: shared by the exchanges of the instance
 * @routes: version in force when it began
 * @route: its route
 * @fingerprint: hash of what is asked
 * @began: when the request came
 * @deadline: when it must be answered
 * @aim: until then an answer has its full worth
 * @hedge_at: until then attempts are left alone
 * @parts: what is asked of the services
 * @parts_len: how many
 * @settled: parts that are settled
 * @ok: parts that are in
 * @sends: attempts made
 * @extra: of these, the ones that were paid from the budget
 * @flying: attempts under way
 * @breaks: attempts whose connection broke off
 * @ran: a replica has run it or may have run it
 * @answered: the answer was given
 * @timer: next decision
 * @owner: of the creator
 */
struct exchange {
	const exchange_setup_t *setup;
	routes_t *routes;
	const route_t *route;
	uint64_t fingerprint;
	medlar_time_t began;
	medlar_time_t deadline;
	medlar_time_t aim;
	medlar_time_t hedge_at;
	exchange_part_t *parts;
	size_t parts_len;
	size_t settled;
	size_t ok;
	unsigned sends;
	unsigned extra;
	unsigned flying;
	unsigned breaks;
	bool ran;
	bool answered;
	medlar_timer_t timer;
	void *owner;
};

int exchange_init(exchange_t *exchange, const exchange_setup_t *setup,
		  routes_t *routes, const route_t *route, medlar_time_t limit,
		  medlar_time_t now);
void exchange_start(exchange_t *exchange, medlar_time_t now);
void exchange_end(attempt_t *attempt, const exchange_reply_t *reply,
		  medlar_time_t now);
void exchange_cancel(exchange_t *exchange);
void exchange_finish(exchange_t *exchange);

#endif /* LIBROUTE_EXCHANGE_H */
