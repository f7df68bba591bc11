/**
 * DOC: outcomes of attempts
 */
#include "libroute/outcome.h"

static const struct {
	const char *name;
	inflight_end_t result;
} outcomes[OUTCOME_COUNT] = {
	[OUTCOME_OK] = { "ok", INFLIGHT_OK },
	[OUTCOME_FAILED] = { "failed", INFLIGHT_FAILED },
	[OUTCOME_REFUSED] = { "refused", INFLIGHT_REFUSED },
	[OUTCOME_OTHER_REPLICA] = { "other_replica", INFLIGHT_IGNORED },
	[OUTCOME_NOT_SENT] = { "not_sent", INFLIGHT_UNREACHABLE },
	[OUTCOME_LOST] = { "lost", INFLIGHT_FAILED },
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
 * outcome_inflight_end() - result of an attempt as load balancing counts it
 * @outcome: outcome of an attempt that has ended
 *
 * Return: result to pass to inflight_end().
 */
inflight_end_t outcome_inflight_end(outcome_t outcome)
{
	return outcomes[outcome].result;
}
