/**
 * DOC: log of forwarded requests
 */
#include "router/forward_internal.h"

#define LOG_LINES_PER_SECOND 100.0
/* One of this many plain successes is logged. */
#define LOG_SAMPLE_INTERVAL 128
#define MISSING_LOGGED_MAX 4

/**
 * forward_take_log_token() - decide whether a line about a request may be logged
 * @forward: service
 *
 * Return: false if the log is at its limit; the line is counted as left out.
 */
bool forward_take_log_token(forward_t *forward)
{
	medlar_time_t now = forward->loop->now;

	forward->log_tokens += LOG_LINES_PER_SECOND *
			       (double)(now - forward->log_refilled_at) /
			       MEDLAR_SECOND;
	forward->log_refilled_at = now;
	if (forward->log_tokens > LOG_LINES_PER_SECOND)
		forward->log_tokens = LOG_LINES_PER_SECOND;
	if (forward->log_tokens < 1) {
		forward->stats->counts[STAT_LOG_LEFT_OUT]++;
		return false;
	}
	forward->log_tokens -= 1;
	return true;
}

static bool is_plain_success(const exchange_t *exchange, answer_t how,
			     bool is_late)
{
	return how <= ANSWER_MERGED && !is_late &&
	       exchange->extra_attempts == 0 &&
	       exchange->parts_ok == exchange->parts_len;
}

/* Appends the names of the first few services that have not answered. */
static void append_missing_services(const exchange_t *exchange,
				    medlar_buf_t *out)
{
	size_t names_len = 0;

	for (size_t i = 0; i < exchange->parts_len; i++) {
		const exchange_part_t *part = &exchange->parts[i];

		if (part->ok || names_len == MISSING_LOGGED_MAX)
			continue;
		medlar_buf_printf(out, "%s%s", names_len++ ? "," : "",
				  part->service->name);
	}
}

/**
 * forward_log_answer() - count an answer, and log it unless it is a plain success
 * @request: request that was answered
 * @how: kind of answer
 * @status: HTTP status
 */
void forward_log_answer(forward_request_t *request, answer_t how,
			unsigned status)
{
	medlar_buf_t missing;
	forward_t *forward = request->forward;
	const exchange_t *exchange = &request->exchange;
	medlar_time_t latency = forward->loop->now - exchange->started_at;
	bool is_late = exchange->timing.elapsed + exchange->timing.round_trip +
			       latency >
		       exchange->route->target_latency;

	stats_record_latency(forward->stats, latency);
	forward->stats->answers[how]++;
	forward->stats->late_answers += is_late;
	if (how == ANSWER_MERGED && exchange->parts_ok < exchange->parts_len)
		forward->stats->partial_answers++;
	if (is_plain_success(exchange, how, is_late) &&
	    forward->stats->counts[STAT_REQUESTS] % LOG_SAMPLE_INTERVAL)
		return;
	if (!forward_take_log_token(forward))
		return;
	medlar_buf_init(&missing);
	if (how != ANSWER_RELAY)
		append_missing_services(exchange, &missing);
	LOG_LINE(forward->log, LOG_LEVEL_INFO, "answer",
		 MEDLAR_TEXT("id", medlar_buf_str(&request->id)),
		 MEDLAR_TEXT("route", medlar_str_from(exchange->route->name)),
		 MEDLAR_TEXT("how", medlar_str_from(stats_answer_name(how))),
		 MEDLAR_NUM("status", status), MEDLAR_NUM("took_ms", latency),
		 MEDLAR_NUM("target_ms", exchange->route->target_latency),
		 MEDLAR_NUM("elapsed_ms", exchange->timing.elapsed),
		 MEDLAR_NUM("round_trip_ms", exchange->timing.round_trip),
		 MEDLAR_NUM("parts", exchange->parts_len),
		 MEDLAR_NUM("missing",
			    how == ANSWER_RELAY
				    ? 0
				    : exchange->parts_len - exchange->parts_ok),
		 MEDLAR_NUM("deferred", exchange->parts_deferred),
		 MEDLAR_NUM("sends", exchange->attempts_made),
		 MEDLAR_NUM("extra", exchange->extra_attempts),
		 MEDLAR_TEXT("lacks", medlar_buf_str(&missing)),
		 MEDLAR_NUM("config", exchange->routes->version));
	medlar_buf_finish(&missing);
}

/**
 * forward_log_attempt() - log the end of an attempt or a hedge
 * @attempt: attempt
 * @event: name of the event
 * @outcome: outcome; %OUTCOME_COUNT if it has not ended
 * @data: the service, a &struct forward
 */
void forward_log_attempt(const attempt_t *attempt, const char *event,
			 outcome_t outcome, void *data)
{
	forward_t *forward = data;
	const exchange_t *exchange = attempt->exchange;
	const forward_request_t *request = exchange->owner;

	if (!forward_take_log_token(forward))
		return;
	LOG_LINE(forward->log, LOG_LEVEL_INFO, event,
		 MEDLAR_TEXT("id", medlar_buf_str(&request->id)),
		 MEDLAR_TEXT("service",
			     medlar_str_from(attempt->part->service->name)),
		 MEDLAR_TEXT("replica", medlar_str_from(attempt->replica->id)),
		 MEDLAR_TEXT("outcome", medlar_str_from(outcome_name(outcome))),
		 MEDLAR_NUM("after_ms",
			    forward->loop->now - exchange->started_at),
		 MEDLAR_NUM("send", attempt->part->attempts_len),
		 MEDLAR_NUM("breaks", exchange->broken_attempts));
}
