/**
 * DOC: default configuration of a service
 */
#include <stdio.h>

#include "medlar.h"

#define DEFAULT_DEADLINE (2 * MEDLAR_SECOND)
#define DEFAULT_TARGET ((medlar_time_t)300)
#define DEFAULT_TARGET_QUANTILE 0.99
#define DEFAULT_COVERAGE_MIN 0.0
#define DEFAULT_EXTRA_LOAD 0.05
#define DEFAULT_HEDGE_QUANTILE 0.95
#define DEFAULT_SLOTS 2
#define DEFAULT_CONNECTIONS 25
#define DEFAULT_CONNECT_COST ((medlar_time_t)6)
#define DEFAULT_QUEUE_MAX 64
#define DEFAULT_EJECT_MAX 0.5
#define DEFAULT_SLOW_START (10 * MEDLAR_SECOND)
#define DEFAULT_IDLE_MAX (60 * MEDLAR_SECOND)
#define DEFAULT_SILENCE (2 * MEDLAR_SECOND)
#define DEFAULT_WINDOW (24 * MEDLAR_HOUR)
#define DEFAULT_PARTITIONS 64

const char *const medlar_priority_names[] = {
	[MEDLAR_COVERAGE_FIRST] = "coverage",
	[MEDLAR_LATENCY_FIRST] = "latency",
	NULL,
};

/**
 * medlar_policy_default() - initialise a policy with default values
 * @policy: policy in memory of the caller
 * @name: name of the service; truncated to %MEDLAR_NAME_MAX bytes
 */
void medlar_policy_default(medlar_policy_t *policy, const char *name)
{
	*policy = (medlar_policy_t){
		.shards = 1,
		.priority = MEDLAR_COVERAGE_FIRST,
		.deadline = DEFAULT_DEADLINE,
		.target = DEFAULT_TARGET,
		.target_quantile = DEFAULT_TARGET_QUANTILE,
		.coverage_min = DEFAULT_COVERAGE_MIN,
		.extra_load = DEFAULT_EXTRA_LOAD,
		.hedge_quantile = DEFAULT_HEDGE_QUANTILE,
		.slots = DEFAULT_SLOTS,
		.connections = DEFAULT_CONNECTIONS,
		.connect_cost = DEFAULT_CONNECT_COST,
		.queue_max = DEFAULT_QUEUE_MAX,
		.eject_max = DEFAULT_EJECT_MAX,
		.slow_start = DEFAULT_SLOW_START,
		.idle_max = DEFAULT_IDLE_MAX,
		.silence = DEFAULT_SILENCE,
		.window = DEFAULT_WINDOW,
		.partitions = DEFAULT_PARTITIONS,
	};
	snprintf(policy->name, sizeof(policy->name), "%s", name);
}
