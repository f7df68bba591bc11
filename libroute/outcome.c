/**
 * DOC: outcomes of attempts
 */
#include "libroute/outcome.h"

static const struct {
	const char *name;
	flight_end_t result;
} outcomes[OUTCOME_COUNT] = {
	[OUTCOME_OK] = { "ok", FLIGHT_OK },
	[OUTCOME_FAILED] = { "failed", FLIGHT_FAILED },
	[OUTCOME_REFUSED] = { "refused", FLIGHT_REFUSED },
	[OUTCOME_ELSEWHERE] = { "other_replica", FLIGHT_FORGOTTEN },
	[OUTCOME_NOT_SENT] = { "not_sent", FLIGHT_UNREACHABLE },
	[OUTCOME_LOST] = { "lost", FLIGHT_FAILED },
};

/**
 * outcome_name() - name of an outcome in logs and metrics
 * @outcome: outcome of an attempt; %OUTCOME_COUNT if it has not ended
 *
 * Return: a static string; "none" if the attempt has not ended.
 */
const char *outcome_name(outcome_t outcome)
{
	return outcome < OUTCOME_COUNT ? outcomes[outcome].name : "none";
}

/**
 * outcome_flight() - result of an attempt as load balancing counts it
 * @outcome: outcome of an attempt that has ended
 *
 * Return: result to pass to flight_end().
 */
flight_end_t outcome_flight(outcome_t outcome)
{
	return outcomes[outcome].result;
}
