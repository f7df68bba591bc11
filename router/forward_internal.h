/**
 * DOC: what the files of the forwarding service share
 */
#ifndef ROUTER_FORWARD_INTERNAL_H
#define ROUTER_FORWARD_INTERNAL_H

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
