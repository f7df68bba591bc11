/**
 * DOC: what the files of the forwarding service share
 */
#ifndef ROUTER_FORWARD_INTERNAL_H
#define ROUTER_FORWARD_INTERNAL_H

#include "libroute/retry_after.h"
#include "platform/headers.h"
#include "router/forward.h"

/* A request being forwarded. */
typedef struct forward_request {
	/* Must come first: exchange_t.owner is read as either type. */
	upstream_request_t upstream;
	TAILQ_ENTRY(forward_request) link;
	forward_t *forward;
	h1_conn_t *conn;
	bool is_trial; /* it was convicted, and is tried again */
	exchange_t exchange;
	medlar_buf_t id;
} forward_request_t;

/**
 * struct refusal - how a request is refused
 * @status: status of the answer
 * @stat: counter, whose name is logged as the reason
 * @may_return: the caller is told when to return
 * @reason: what that time is chosen by
 */
typedef struct refusal {
	unsigned status;
	stat_t stat;
	bool may_return;
	retry_reason_t reason;
} refusal_t;

/* forward_refuse.c */
extern const refusal_t forward_refusal_malformed;
extern const refusal_t forward_refusal_no_route;
extern const refusal_t forward_refusal_not_current;
extern const refusal_t forward_refusal_not_ready;
extern const refusal_t forward_refusal_leaving;
extern const refusal_t forward_refusal_convicted;
extern const refusal_t forward_refusal_overload;
extern const refusal_t forward_refusal_busy;
extern const refusal_t forward_refusal_limited;
extern const refusal_t forward_refusal_memory;
medlar_time_t forward_iteration_elapsed(const forward_t *forward);
medlar_time_t forward_return_delay(forward_t *forward,
				   const exchange_t *exchange);
void forward_refuse(forward_t *forward, h1_conn_t *conn,
		    const refusal_t *refusal, const request_head_t *head);
void forward_refuse_prepared(forward_request_t *request,
			     const refusal_t *refusal,
			     const request_head_t *head);
void forward_refuse_limited(forward_request_t *request,
			    const request_head_t *head);

/* forward_log.c and forward_answer.c */
bool forward_take_log_token(forward_t *forward);
void forward_log_answer(forward_request_t *request, answer_t how,
			unsigned status);
void forward_log_attempt(const attempt_t *attempt, const char *event,
			 outcome_t outcome, void *data);
void forward_answer_relayed(h1_conn_t *conn, const forward_request_t *request,
			    const h1_message_t *reply);
void forward_answer_status(h1_conn_t *conn, unsigned status,
			   medlar_time_t retry_after);
unsigned forward_answer_merged(h1_conn_t *conn, const exchange_t *exchange);

#endif /* ROUTER_FORWARD_INTERNAL_H */
