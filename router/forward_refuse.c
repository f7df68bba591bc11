/**
 * DOC: requests of callers that are refused
 */
#include "libroute/retry_after.h"
#include "medlard/clock.h"
#include "router/forward_internal.h"

const refusal_t forward_refusal_malformed = { 400, STAT_BAD_REQUESTS, false,
					      0 };
const refusal_t forward_refusal_no_route = { 404, STAT_NO_ROUTE, false, 0 };
const refusal_t forward_refusal_not_current = { 503, STAT_NO_ROUTE, true,
						RETRY_NOT_READY };
const refusal_t forward_refusal_not_ready = { 503, STAT_NOT_READY, true,
					      RETRY_NOT_READY };
const refusal_t forward_refusal_leaving = { 503, STAT_LEAVING, true,
					    RETRY_NOT_RUN };
const refusal_t forward_refusal_convicted = { 503, STAT_CONVICTED, true,
					      RETRY_OVERLOADED };
const refusal_t forward_refusal_overload = { 503, STAT_OVERLOAD, true,
					     RETRY_OVERLOADED };
const refusal_t forward_refusal_busy = { 503, STAT_REPLICAS_BUSY, true,
					 RETRY_OVERLOADED };
const refusal_t forward_refusal_limited = { 503, STAT_REPLICAS_LIMITED, true,
					    RETRY_NOT_RUN };
const refusal_t forward_refusal_memory = { 503, STAT_NO_MEMORY, true,
					   RETRY_OVERLOADED };

/**
 * forward_iteration_elapsed() - get the time since the start of the loop iteration
 * @forward: service
 *
 * Return: time, ms.
 */
medlar_time_t forward_iteration_elapsed(const forward_t *forward)
{
	return clock_now() - forward->loop->now;
}

/**
 * forward_return_delay() - choose when a caller should return
 * @forward: service
 * @exchange: exchange of its request, which was not run
 *
 * Return: time from now, ms.
 */
medlar_time_t forward_return_delay(forward_t *forward,
				   const exchange_t *exchange)
{
	medlar_rand_t *rand = &forward->loop->client->rand;
	medlar_time_t wait = exchange->available_at - forward->loop->now;

	if (wait > 0)
		return retry_after_wait(wait, rand);
	return retry_after_delay(RETRY_NOT_RUN, exchange->timing.timeout, rand);
}

/*
 * @lacks: name of the service that cannot be asked; empty if that is not the reason
 * @retry_after: when the caller may return, ms; 0 if it should not
 */
static void refuse_until(forward_t *forward, h1_conn_t *conn,
			 const refusal_t *refusal, const request_head_t *head,
			 medlar_str_t lacks, medlar_time_t retry_after)
{
	forward->stats->counts[refusal->stat]++;
	if (forward_take_log_token(forward))
		LOG_LINE(forward->log, LOG_LEVEL_INFO, "refuse",
			 MEDLAR_TEXT("id", head->request_id),
			 MEDLAR_NUM("status", refusal->status),
			 MEDLAR_TEXT("why", medlar_str_from(stats_counter_name(
						    refusal->stat))),
			 MEDLAR_TEXT("lacks", lacks),
			 MEDLAR_NUM("retry_ms", retry_after),
			 MEDLAR_NUM("config", forward->routes
						      ? forward->routes->version
						      : 0),
			 MEDLAR_NUM("delay_ms",
				    admission_delay(&forward->admission,
						    forward_iteration_elapsed(
							    forward))));
	forward_answer_status(conn, refusal->status, retry_after);
}

/**
 * forward_refuse() - refuse a request for which nothing was prepared
 * @forward: service
 * @conn: connection with the request
 * @refusal: how it is refused
 * @head: head of the request
 */
void forward_refuse(forward_t *forward, h1_conn_t *conn,
		    const refusal_t *refusal, const request_head_t *head)
{
	medlar_time_t retry_after = 0;

	if (refusal->may_return)
		retry_after = retry_after_delay(refusal->reason, head->timeout,
						&forward->loop->client->rand);
	refuse_until(forward, conn, refusal, head, (medlar_str_t){ 0 },
		     retry_after);
}

/**
 * forward_refuse_prepared() - refuse a request that was initialised but not started
 * @request: request
 * @refusal: how it is refused
 * @head: head of the request
 */
void forward_refuse_prepared(forward_request_t *request,
			     const refusal_t *refusal,
			     const request_head_t *head)
{
	forward_t *forward = request->forward;

	TAILQ_INSERT_TAIL(&forward->finished, request, link);
	forward_refuse(forward, request->conn, refusal, head);
}

/**
 * forward_refuse_limited() - refuse a request that was initialised but not started,
 *	until replicas that name limits have room
 * @request: request
 * @head: head of the request
 */
void forward_refuse_limited(forward_request_t *request,
			    const request_head_t *head)
{
	forward_t *forward = request->forward;
	const fleet_service_t *service = request->exchange.limited_service;

	TAILQ_INSERT_TAIL(&forward->finished, request, link);
	refuse_until(forward, request->conn, &forward_refusal_limited, head,
		     medlar_str_from(service->name),
		     forward_return_delay(forward, &request->exchange));
}
