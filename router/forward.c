/**
 * DOC: forwarding of the requests of callers
 */
#include <stdlib.h>
#include <string.h>

#include "platform/headers.h"
#include "router/forward_internal.h"

/* Assumed round trip time of connections for which the kernel has none. */
#define ROUND_TRIP_DEFAULT_MS 8

static void free_finished(forward_t *forward)
{
	forward_request_t *request;

	while ((request = TAILQ_FIRST(&forward->finished))) {
		TAILQ_REMOVE(&forward->finished, request, link);
		exchange_finish(&request->exchange);
		medlar_buf_finish(&request->upstream.head);
		medlar_buf_finish(&request->upstream.body);
		medlar_buf_finish(&request->id);
		free(request);
	}
}

/**
 * forward_end_iteration() - finish an iteration of the event loop
 * @data: the service, a &struct forward; this is a loop hook
 *
 * Frees the requests that have ended, and records how long the iteration took
 * for the admission of further requests.
 */
void forward_end_iteration(void *data)
{
	forward_t *forward = data;

	free_finished(forward);
	admission_add_iteration(&forward->admission,
				forward_iteration_elapsed(forward));
}

static void on_answer(exchange_t *exchange, answer_t how,
		      const exchange_reply_t *reply, void *data)
{
	static const unsigned statuses[] = {
		[ANSWER_NOT_RUN] = 503,
		[ANSWER_FAILED] = 502,
		[ANSWER_TIMEOUT] = 504,
	};
	forward_t *forward = data;
	forward_request_t *request = exchange->owner;
	h1_conn_t *conn = request->conn;
	unsigned status;

	TAILQ_INSERT_TAIL(&forward->finished, request, link);
	if (how == ANSWER_RELAY) {
		const h1_message_t *message = reply->message;

		status = message->status;
		forward_answer_relayed(conn, request, message);
	} else if (how == ANSWER_MERGED) {
		status = forward_answer_merged(conn, exchange);
	} else {
		status = statuses[how];
		forward_answer_status(
			conn, status,
			how == ANSWER_NOT_RUN
				? forward_return_delay(forward, exchange)
				: 0);
	}
	delay_add(&forward->setup.write_delay,
		  forward_iteration_elapsed(forward));
	if (request->is_trial && (how == ANSWER_RELAY || how == ANSWER_MERGED))
		trials_report_answer(&forward->trials, exchange->fingerprint);
	forward_log_answer(request, how, status);
}

static int on_send(attempt_t *attempt, void *data)
{
	forward_t *forward = data;

	return upstream_send_attempt(forward->upstream, attempt);
}

static bool on_drop(attempt_t *attempt, void *data)
{
	forward_t *forward = data;

	return upstream_cancel_attempt(forward->upstream, attempt);
}

static const exchange_events_t exchange_events = {
	.send = on_send,
	.cancel = on_drop,
	.answer = on_answer,
	.log = forward_log_attempt,
};

static uint64_t fingerprint_request(const h1_message_t *message,
				    medlar_str_t host)
{
	uint64_t hash = medlar_str_hash(host, 0);

	hash = medlar_str_hash(h1_message_target(message), hash);
	hash = medlar_str_hash(medlar_buf_str(&message->body), hash);
	return hash ? hash : 1;
}

static void copy_request(forward_request_t *request,
			 const h1_message_t *message,
			 const request_head_t *head)
{
	upstream_request_t *upstream = &request->upstream;

	medlar_buf_init(&upstream->head);
	medlar_buf_init(&upstream->body);
	medlar_buf_init(&request->id);
	medlar_buf_add(&request->id, head->request_id);
	upstream->id = medlar_buf_str(&request->id);
	headers_write_forward(message, &upstream->head);
	medlar_buf_add(&upstream->body, medlar_buf_str(&message->body));
	upstream->has_body =
		h1_message_find_header(message, MEDLAR_STR("content-length"))
			.ptr ||
		h1_message_find_header(message, MEDLAR_STR("transfer-encoding"))
			.ptr;
	upstream->method_is_head = strcmp(message->method, "HEAD") == 0;
}

static caller_timing_t caller_timing(forward_t *forward, h1_conn_t *conn,
				     const route_t *route,
				     const request_head_t *head)
{
	medlar_time_t round_trip = h1_conn_round_trip(conn);
	caller_timing_t timing = { .timeout = head->timeout };

	timing.round_trip = round_trip < 0 ? ROUND_TRIP_DEFAULT_MS : round_trip;
	timing.elapsed = timeouts_add(&forward->timeouts, route, head->timeout);
	return timing;
}

/* What is known of a request that may crash replicas. */
typedef struct trial_state {
	uint64_t fingerprint;
	bool is_trial; /* it was convicted, and is tried again */
} trial_state_t;

static void start_request(forward_t *forward, h1_conn_t *conn,
			  const route_t *route, const request_head_t *head,
			  const trial_state_t *trial)
{
	const caller_timing_t timing = caller_timing(forward, conn, route,
						     head);
	forward_request_t *request = calloc(1, sizeof(*request));
	medlar_time_t now = forward->loop->now;

	if (!request) {
		forward_refuse(forward, conn, &forward_refusal_memory, head);
		return;
	}
	request->forward = forward;
	request->conn = conn;
	if (exchange_init(&request->exchange, &forward->setup, forward->routes,
			  route, &timing, now)) {
		forward_refuse_prepared(request, &forward_refusal_memory, head);
		return;
	}
	if (!admission_meets_target(&request->exchange, now) ||
	    !admission_within_capacity(&request->exchange, now)) {
		forward_refuse_prepared(request, &forward_refusal_busy, head);
		return;
	}
	if (!admission_fits_limits(&request->exchange, now)) {
		forward_refuse_limited(request, head);
		return;
	}
	copy_request(request, &conn->parser.message, head);
	if (request->upstream.head.error || request->upstream.body.error) {
		forward_refuse_prepared(request, &forward_refusal_memory, head);
		return;
	}
	if (forward->stop_at)
		exchange_limit_deadline(&request->exchange, forward->stop_at,
					now);
	request->exchange.fingerprint = trial->fingerprint;
	request->is_trial = trial->is_trial;
	request->exchange.owner = request;
	conn->handler_data = request;
	exchange_start(&request->exchange, now);
}

/*
 * A request that may run once must not be left without its result. Callers may
 * send it to another instance at once.
 */
static bool may_outlast_shutdown(const forward_t *forward, const route_t *route,
				 medlar_time_t timeout)
{
	medlar_time_t time_max = timeout < route->timeout ? timeout
							  : route->timeout;

	return forward->stop_at && !route->idempotent &&
	       forward->loop->now + time_max > forward->stop_at;
}

static void log_trial(forward_t *forward, uint64_t fingerprint)
{
	const suspect_t *suspect = suspects_find_convicted(&forward->suspects,
							   fingerprint);

	LOG_LINE(forward->log, LOG_LEVEL_NOTICE, "trial",
		 MEDLAR_HEX("request", fingerprint),
		 MEDLAR_NUM("crashes", suspect ? suspect->crashes : 0),
		 MEDLAR_NUM("age_ms",
			    suspect ? forward->loop->now - suspect->updated_at
				    : -1),
		 MEDLAR_NUM("owner",
			    !peers_owner_of(forward->peers, fingerprint)));
}

/* Admits a request that has passed all checks of itself, or refuses it. */
static void admit_request(forward_t *forward, h1_conn_t *conn,
			  const route_t *route, const request_head_t *head,
			  const trial_state_t *trial)
{
	if (may_outlast_shutdown(forward, route, head->timeout)) {
		forward_refuse(forward, conn, &forward_refusal_leaving, head);
		return;
	}
	if (!admission_allows(&forward->admission, route,
			      forward_iteration_elapsed(forward),
			      head->timeout)) {
		forward_refuse(forward, conn, &forward_refusal_overload, head);
		return;
	}
	if (trial->is_trial)
		log_trial(forward, trial->fingerprint);
	start_request(forward, conn, route, head, trial);
}

/*
 * A request that was convicted is refused, tried, or waits until the instance that
 * decides on it has replied.
 */
static void handle_convicted(forward_t *forward, h1_conn_t *conn,
			     const route_t *route, const request_head_t *head,
			     const suspect_t *suspect)
{
	const trial_state_t trial = { suspect->fingerprint, true };
	medlar_time_t now = forward->loop->now;

	if (suspect_is_refused(suspect, now)) {
		forward_refuse(forward, conn, &forward_refusal_convicted, head);
		return;
	}
	if (peers_owner_of(forward->peers, trial.fingerprint)) {
		if (trials_ask(&forward->trials, conn, trial.fingerprint))
			forward_refuse(forward, conn,
				       &forward_refusal_convicted, head);
		return;
	}
	if (suspects_grant_trial(&forward->suspects, trial.fingerprint, now))
		admit_request(forward, conn, route, head, &trial);
	else
		forward_refuse(forward, conn, &forward_refusal_convicted, head);
}

/* Return: the route of a request; NULL if it was refused. */
static const route_t *find_route(forward_t *forward, h1_conn_t *conn,
				 request_head_t *head)
{
	const h1_message_t *message = &conn->parser.message;
	const route_t *route;

	headers_parse_request(message, head);
	if (head->malformed) {
		conn->closing = true;
		forward_refuse(forward, conn, &forward_refusal_malformed, head);
		return NULL;
	}
	if (!forward->routes) {
		forward_refuse(forward, conn, &forward_refusal_not_ready, head);
		return NULL;
	}
	route = routes_find(forward->routes, head->host,
			    h1_message_target(message));
	if (!route) {
		bool is_current = forward->routes_are_current(forward->data);

		forward_refuse(forward, conn,
			       is_current ? &forward_refusal_no_route
					  : &forward_refusal_not_current,
			       head);
		return NULL;
	}
	head->timeout = head->timeout ? head->timeout : route->timeout;
	return route;
}

static void on_request(h1_conn_t *conn, void *data)
{
	forward_t *forward = data;
	request_head_t head;
	const route_t *route;
	const suspect_t *suspect;
	trial_state_t trial = { 0 };

	forward->stats->counts[STAT_REQUESTS]++;
	route = find_route(forward, conn, &head);
	if (!route)
		return;
	trial.fingerprint = fingerprint_request(&conn->parser.message,
						head.host);
	suspect = suspects_find_convicted(&forward->suspects,
					  trial.fingerprint);
	if (suspect)
		handle_convicted(forward, conn, route, &head, suspect);
	else
		admit_request(forward, conn, route, &head, &trial);
}

/* The route, or what is known of the request, may have changed while it waited. */
static void on_trial_decided(h1_conn_t *conn, bool granted,
			     medlar_time_t waited, void *data)
{
	forward_t *forward = data;
	request_head_t head;
	const route_t *route = find_route(forward, conn, &head);
	trial_state_t trial = { .is_trial = true };
	const suspect_t *suspect;

	if (!route)
		return;
	trial.fingerprint = fingerprint_request(&conn->parser.message,
						head.host);
	head.timeout -= waited;
	suspect = suspects_find_convicted(&forward->suspects,
					  trial.fingerprint);
	if (granted && head.timeout > 0 &&
	    !(suspect && suspect_is_refused(suspect, forward->loop->now)))
		admit_request(forward, conn, route, &head, &trial);
	else
		forward_refuse(forward, conn, &forward_refusal_convicted,
			       &head);
}

static void on_caller_disconnected(h1_conn_t *conn, void *data)
{
	forward_t *forward = data;
	forward_request_t *request = conn->handler_data;

	if (trials_forget(&forward->trials, conn))
		forward->stats->counts[STAT_CALLERS_LEFT]++;
	if (!request)
		return;
	forward->stats->counts[STAT_CALLERS_LEFT]++;
	exchange_cancel(&request->exchange);
	TAILQ_INSERT_TAIL(&forward->finished, request, link);
}

static const h1_handler_t caller_handler = {
	.request = on_request, .disconnected = on_caller_disconnected
};

/**
 * forward_init() - start to listen for callers
 * @forward: uninitialised memory
 * @loop: event loop
 * @log: log for requests
 * @stats: counters
 * @upstream: connections to replicas
 * @fleet: services and replicas
 * @peers: other instances, which are told of convicted requests
 * @settings: address to listen on and limit of connections
 * @routes_are_current: checks whether the routes are known to be current; a
 *	request without a route gets 404 if they are, else 503
 * @data: passed to @routes_are_current
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_SYNTAX or %MEDLAR_ERR_IO.
 */
int forward_init(forward_t *forward, loop_t *loop, logger_t *log,
		 stats_t *stats, upstream_t *upstream, fleet_t *fleet,
		 peers_t *peers, const router_settings_t *settings,
		 bool (*routes_are_current)(void *), void *data)
{
	static const h1_server_options_t options = {
		.message = { 16384, 1 << 20 },
		.receive_ms = 10 * MEDLAR_SECOND,
		.idle_ms = MEDLAR_MINUTE,
	};
	struct sockaddr_in address;

	*forward = (forward_t){ .loop = loop,
				.log = log,
				.stats = stats,
				.upstream = upstream,
				.peers = peers,
				.routes_are_current = routes_are_current,
				.data = data,
				.log_refilled_at = loop->now };
	forward->setup = (exchange_setup_t){ .client = loop->client,
					     .fleet = fleet,
					     .suspects = &forward->suspects,
					     .events = &exchange_events,
					     .data = forward };
	TAILQ_INIT(&forward->finished);
	trials_init(&forward->trials, loop, &forward->suspects, peers,
		    on_trial_decided, forward);
	if (router_address_parse(medlar_str_from(settings->callers), &address))
		return MEDLAR_ERR_SYNTAX;
	return h1_server_init(&forward->server, loop,
			      (const struct sockaddr *)&address, &options,
			      (size_t)settings->connections_max,
			      &caller_handler, forward);
}

/**
 * forward_begin_shutdown() - answer all requests before the process ends
 * @forward: service
 * @stop_at: when the last answers have to leave, ms
 *
 * What is not complete by then is answered with the parts that are in, or with
 * what is known of the request: not run, or unknown.
 */
void forward_begin_shutdown(forward_t *forward, medlar_time_t stop_at)
{
	h1_conn_t *conn;

	forward->stop_at = stop_at;
	forward->server.closing = true;
	TAILQ_FOREACH(conn, &forward->server.conns, link) {
		forward_request_t *request = conn->handler_data;

		if (request)
			exchange_limit_deadline(&request->exchange, stop_at,
						forward->loop->now);
	}
}

/**
 * forward_report_crash() - record that a replica crashed while it ran a request
 * @forward: service
 * @fingerprint: fingerprint of the request
 * @replica: replica that crashed
 *
 * Other instances are told at the end of the iteration of the loop. The request is
 * refused from the time at which it has crashed %SUSPECT_BREAKS replicas, at
 * whatever instances.
 */
void forward_report_crash(forward_t *forward, uint64_t fingerprint,
			  const replica_t *replica)
{
	unsigned crashes = suspects_add_crash(&forward->suspects, fingerprint,
					      replica->hash,
					      forward->loop->now);

	LOG_LINE(forward->log, LOG_LEVEL_WARNING, "crash",
		 MEDLAR_HEX("request", fingerprint),
		 MEDLAR_TEXT("replica", medlar_str_from(replica->id)),
		 MEDLAR_NUM("crashes", crashes),
		 MEDLAR_NUM("refused", crashes >= SUSPECT_BREAKS));
	if (crashes == SUSPECT_BREAKS)
		peers_share_conviction(forward->peers, fingerprint);
}

/**
 * forward_set_routes() - put a configuration version into force
 * @forward: service
 * @routes: configuration version; the service takes a reference
 */
void forward_set_routes(forward_t *forward, routes_t *routes)
{
	const route_limits_t *limits = &routes->limits;

	routes_unref(forward->routes);
	forward->routes = routes_ref(routes);
	forward->server.options = (h1_server_options_t){
		.message = { limits->head_max, limits->body_max },
		.receive_ms = limits->receive_ms,
		.idle_ms = limits->idle_ms,
	};
}

/**
 * forward_finish() - close the listener and all connections of callers
 * @forward: service, also after a failed forward_init()
 */
void forward_finish(forward_t *forward)
{
	h1_server_finish(&forward->server);
	trials_finish(&forward->trials);
	free_finished(forward);
	routes_unref(forward->routes);
}
