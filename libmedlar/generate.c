/**
 * DOC: a configuration from the answers of a questionnaire
 *
 * A pure function: equal answers give equal configurations. Answers that
 * cannot be met together are refused with the fields that clash and with the
 * nearest answers that would work; nothing is weakened silently.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlar.h"

#define HOUR_SECONDS 3600.0
#define UTILIZATION_MAX 0.95
#define ADVICE_MAX 384
#define FIELD_MAX 160

/* Percent: how far and how finely a better answer is searched for. */
#define EXTRA_LOAD_TRIED 50
#define EXTRA_LOAD_STEP 0.5

#define QUEUE_MIN 8
#define QUEUE_MAX 100000
#define SLOW_START_MEDIANS 100
#define SLOW_START_MIN MEDLAR_SECOND
#define SLOW_START_MAX (30 * MEDLAR_SECOND)
#define IDLE_MAX (30 * MEDLAR_SECOND)
#define SILENCE_P99S 3
#define SILENCE_DEADLINES 5
#define QUEUE_FACTOR 2 /* requests in flight at a replica, per slot */

/* A journal is kept at half of the largest value of the store. */
#define JOURNAL_BYTES (512 * 1024.0)
#define CLAIM_BYTES 96.0
#define PARTITIONS_MAX 4096

typedef struct check {
	medlar_client_t *client;
	medlar_str_t file;
	const medlar_questionnaire_t *answers;
	size_t product;
	size_t operations;
	int error;
} check_t;

static const medlar_product_t *product_of(const check_t *check)
{
	const medlar_product_t *products = check->answers->products.items;

	return &products[check->product];
}

static const medlar_operations_t *operations_of(const check_t *check)
{
	const medlar_operations_t *all = check->answers->operations.items;

	return &all[check->operations];
}

static void refuse(check_t *check, int error, const char *field,
		   const char *advice)
{
	medlar_fault_report_t fault = {
		.error = error,
		.file = check->file,
		.field = medlar_str_from(field),
		.advice = medlar_str_from(advice),
	};

	medlar_client_report(check->client, &fault);
	if (!check->error)
		check->error = error;
}

static void refuse_product(check_t *check, const char *name, const char *advice)
{
	char field[FIELD_MAX];

	snprintf(field, sizeof(field), "product.services[%zu].%s",
		 check->product, name);
	refuse(check, MEDLAR_ERR_CLASH, field, advice);
}

static void refuse_operations(check_t *check, const char *name,
			      const char *advice)
{
	char field[FIELD_MAX];

	snprintf(field, sizeof(field), "operations.services[%zu].%s",
		 check->operations, name);
	refuse(check, MEDLAR_ERR_CLASH, field, advice);
}

static bool meets(const medlar_product_t *product,
		  const medlar_operations_t *operations)
{
	medlar_estimate_t estimate;

	medlar_estimate_service(product, operations, &estimate);
	if (product->priority == MEDLAR_LATENCY_FIRST)
		return estimate.coverage * 100 >= product->coverage ||
		       estimate.latency <= (double)product->target;
	return estimate.latency <= (double)product->target;
}

/* Smallest extra load that meets the target, or a negative number. */
static double nearest_extra_load(const check_t *check)
{
	medlar_operations_t operations = *operations_of(check);

	while (operations.extra_load <= EXTRA_LOAD_TRIED) {
		if (meets(product_of(check), &operations))
			return operations.extra_load;
		operations.extra_load += EXTRA_LOAD_STEP;
	}
	return -1;
}

static double nearest_percentile(const check_t *check)
{
	static const double percentiles[] = { 99.9, 99, 95, 90, 75, 50 };
	medlar_product_t product = *product_of(check);
	size_t i;

	for (i = 0; i < sizeof(percentiles) / sizeof(percentiles[0]); i++) {
		if (percentiles[i] >= product_of(check)->percentile)
			continue;
		product.percentile = percentiles[i];
		if (meets(&product, operations_of(check)))
			return percentiles[i];
	}
	return -1;
}

static void check_target(check_t *check)
{
	const medlar_product_t *product = product_of(check);
	medlar_estimate_t estimate;
	double extra;
	double percentile;
	char advice[ADVICE_MAX];
	size_t len;

	if (product->target > product->deadline)
		refuse_product(check, "target_ms",
			       "clashes with deadline_ms; give a target of at "
			       "most the deadline");
	if (meets(product, operations_of(check)))
		return;
	medlar_estimate_service(product, operations_of(check), &estimate);
	len = (size_t)snprintf(
		advice, sizeof(advice),
		"clashes with target_percentile, coverage_percent and the "
		"operations answers extra_load_percent, replicas and slots: "
		"%.0f ms expected; works with target_ms %.0f",
		estimate.latency, ceil(estimate.latency));
	extra = nearest_extra_load(check);
	if (extra >= 0)
		len += (size_t)snprintf(advice + len, sizeof(advice) - len,
					", or extra_load_percent %.1f", extra);
	percentile = nearest_percentile(check);
	if (percentile >= 0)
		snprintf(advice + len, sizeof(advice) - len,
			 ", or target_percentile %.1f", percentile);
	refuse_product(check, "target_ms", advice);
}

static void check_capacity(check_t *check)
{
	const medlar_operations_t *operations = operations_of(check);
	medlar_estimate_t estimate;
	char advice[ADVICE_MAX];

	medlar_estimate_service(product_of(check), operations, &estimate);
	if (operations->lost >= operations->replicas) {
		refuse_operations(check, "replicas_lost",
				  "clashes with replicas; leave at least one");
		return;
	}
	if (estimate.utilization_lost <= UTILIZATION_MAX)
		return;
	snprintf(
		advice, sizeof(advice),
		"clashes with replicas_lost, slots, service_median_ms and the "
		"product answer peak_rate: %.0f%% of the slots busy; works "
		"with peak_rate %.1f, or replicas %.0f",
		100 * estimate.utilization_lost,
		floor(product_of(check)->peak_rate * 10 * UTILIZATION_MAX /
		      estimate.utilization_lost) /
			10,
		(double)operations->lost +
			ceil((double)(operations->replicas - operations->lost) *
			     estimate.utilization_lost / UTILIZATION_MAX));
	refuse_operations(check, "replicas", advice);
}

static void check_sharing(check_t *check)
{
	const medlar_operations_t *operations = operations_of(check);
	int64_t instances = check->answers->instances;
	int64_t room = operations->replicas * operations->slots * QUEUE_FACTOR;
	char advice[ADVICE_MAX];

	if (operations->p99 < operations->median)
		refuse_operations(check, "service_p99_ms",
				  "clashes with service_median_ms; give a time "
				  "of at least the median");
	if (operations->connections < operations->slots)
		refuse_operations(check, "connections",
				  "clashes with slots; each request in flight "
				  "needs a connection");
	if (room >= instances)
		return;
	snprintf(advice, sizeof(advice),
		 "clashes with operations.instances: a shard has room for "
		 "%lld requests and %lld instances share it; works with slots "
		 "%lld",
		 (long long)room, (long long)instances,
		 (long long)((instances + operations->replicas * QUEUE_FACTOR -
			      1) /
			     (operations->replicas * QUEUE_FACTOR)));
	refuse_operations(check, "slots", advice);
}

static double partitions_needed(const medlar_product_t *product)
{
	double claims = product->peak_rate * HOUR_SECONDS *
			(double)product->window;

	return product->writes ? ceil(claims * CLAIM_BYTES / JOURNAL_BYTES) : 1;
}

static void check_window(check_t *check)
{
	double needed = partitions_needed(product_of(check));

	if (needed > PARTITIONS_MAX)
		refuse_product(check, "write_window_hours",
			       "clashes with peak_rate: the store cannot hold "
			       "that many write keys; shorten the window");
}

static bool find_operations(check_t *check)
{
	const medlar_operations_t *all = check->answers->operations.items;
	const char *name = product_of(check)->name;

	for (check->operations = 0;
	     check->operations < check->answers->operations.len;
	     check->operations++)
		if (strcmp(all[check->operations].name, name) == 0)
			return true;
	return false;
}

static bool find_product(const check_t *check, const char *name, size_t before)
{
	const medlar_product_t *products = check->answers->products.items;
	size_t i;

	for (i = 0; i < before; i++)
		if (strcmp(products[i].name, name) == 0)
			return true;
	return false;
}

static void check_product(check_t *check)
{
	const char *name = product_of(check)->name;

	if (find_product(check, name, check->product))
		refuse_product(check, "name",
			       "another service has this name; rename one");
	if (!find_operations(check)) {
		refuse_product(check, "name",
			       "no service of this name in operations; add "
			       "its answers there");
		return;
	}
	check_sharing(check);
	check_capacity(check);
	check_window(check);
	if (!check->error)
		check_target(check);
}

static void check_answers(check_t *check)
{
	const medlar_questionnaire_t *answers = check->answers;
	const medlar_operations_t *all = answers->operations.items;

	for (check->product = 0; check->product < answers->products.len;
	     check->product++)
		check_product(check);
	for (check->operations = 0; check->operations < answers->operations.len;
	     check->operations++)
		if (!find_product(check, all[check->operations].name,
				  answers->products.len))
			refuse_operations(check, "name",
					  "no service of this name in product; "
					  "add its answers there");
}

static medlar_time_t clamp(double value, medlar_time_t min, medlar_time_t max)
{
	return (medlar_time_t)fmin(fmax(ceil(value), (double)min), (double)max);
}

/* Queries that an instance can finish in the time beyond the target. */
static uint32_t queue_of(const check_t *check)
{
	const medlar_product_t *product = product_of(check);
	const medlar_operations_t *operations = operations_of(check);
	double servers = (double)(operations->replicas * operations->slots);
	double spare = (double)(product->deadline - product->target);

	return (uint32_t)clamp(servers * spare / operations->median /
				       (double)check->answers->instances,
			       QUEUE_MIN, QUEUE_MAX);
}

static medlar_time_t silence_of(const check_t *check)
{
	double deadline = (double)product_of(check)->deadline;
	double silence = fmax(SILENCE_P99S * operations_of(check)->p99,
			      deadline / SILENCE_DEADLINES);

	return clamp(fmin(silence, deadline / 2), 1, MEDLAR_HOUR);
}

static double eject_of(int64_t replicas)
{
	if (replicas == 1)
		return 0;
	if (replicas == 2)
		return 0.5;
	return floor((double)replicas / 3) / (double)replicas;
}

static void generate_policy(const check_t *check, medlar_policy_t *policy)
{
	const medlar_product_t *product = product_of(check);
	const medlar_operations_t *operations = operations_of(check);
	double extra = operations->extra_load / 100;

	*policy = (medlar_policy_t){
		.writes = product->writes,
		.shards = (uint32_t)operations->shards,
		.priority = (medlar_priority_t)product->priority,
		.deadline = product->deadline,
		.target = product->target,
		.target_quantile = product->percentile / 100,
		.coverage_min = product->coverage / 100,
		.extra_load = extra,
		.hedge_quantile = medlar_hedge_quantile(extra),
		.slots = (uint32_t)operations->slots,
		.connections = (uint32_t)operations->connections,
		.connect_cost = operations->connect_cost,
		.queue_max = queue_of(check),
		.eject_max = eject_of(operations->replicas),
		.slow_start = clamp(SLOW_START_MEDIANS * operations->median,
				    SLOW_START_MIN, SLOW_START_MAX),
		.idle_max = IDLE_MAX,
		.silence = silence_of(check),
		.window = product->window * MEDLAR_HOUR,
		.partitions = (uint32_t)partitions_needed(product),
	};
	memcpy(policy->name, product->name, sizeof(policy->name));
}

/**
 * medlar_config_generate() - generate the configuration of a deployment
 * @client: its error handler receives every clash
 * @questionnaire: checked answers
 * @file: name of the questionnaire for error reports
 * @revision: revision that the configuration gets
 * @config: memory of the caller; to be finished when %MEDLAR_OK is returned
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_CLASH, or %MEDLAR_ERR_NOMEM.
 */
int medlar_config_generate(medlar_client_t *client,
			   const medlar_questionnaire_t *questionnaire,
			   medlar_str_t file, uint64_t revision,
			   medlar_config_t *config)
{
	check_t check = { .client = client,
			  .file = file,
			  .answers = questionnaire };

	*config = (medlar_config_t){
		.revision = revision,
		.instances = (uint32_t)questionnaire->instances,
		.address_ttl = questionnaire->address_ttl * MEDLAR_SECOND,
		.len = questionnaire->products.len,
	};
	check_answers(&check);
	if (check.error)
		return check.error;
	config->services = calloc(config->len + 1, sizeof(*config->services));
	if (!config->services)
		return MEDLAR_ERR_NOMEM;
	for (check.product = 0; check.product < config->len; check.product++) {
		find_operations(&check);
		generate_policy(&check, &config->services[check.product]);
	}
	return MEDLAR_OK;
}

static void explain_value(medlar_buf_t *out, const char *name, double value,
			  const char *unit, const char *from)
{
	medlar_buf_printf(out, "  %-18s %10.10g %-8s from %s\n", name, value,
			  unit, from);
}

static void explain_policy(const medlar_policy_t *policy, medlar_buf_t *out)
{
	explain_value(out, "hedge_quantile", policy->hedge_quantile, "",
		      "extra_load_percent");
	explain_value(out, "queue_max", policy->queue_max, "queries",
		      "replicas, slots, deadline_ms, target_ms, "
		      "service_median_ms, instances");
	explain_value(out, "eject_max", policy->eject_max, "", "replicas");
	explain_value(out, "slow_start_ms", (double)policy->slow_start, "ms",
		      "service_median_ms");
	explain_value(out, "silence_ms", (double)policy->silence, "ms",
		      "service_p99_ms, deadline_ms");
	explain_value(out, "partitions", policy->partitions, "journals",
		      "writes, peak_rate, write_window_hours");
}

static void explain_estimate(const check_t *check, medlar_buf_t *out)
{
	medlar_estimate_t estimate;

	medlar_estimate_service(product_of(check), operations_of(check),
				&estimate);
	medlar_buf_printf(out,
			  "  expected: %.0f ms at the %.5gth percentile with "
			  "full coverage, %.2f%% covered at %lld ms,\n"
			  "  %.1f%% extra load at most, %.0f%% of the slots "
			  "busy at peak, %.0f%% with %lld replicas lost\n",
			  estimate.latency, product_of(check)->percentile,
			  100 * estimate.coverage,
			  (long long)product_of(check)->target,
			  100 * estimate.extra_load, 100 * estimate.utilization,
			  100 * estimate.utilization_lost,
			  (long long)operations_of(check)->lost);
}

/**
 * medlar_config_explain() - append what the answers lead to
 * @client: its error handler receives every clash
 * @questionnaire: checked answers
 * @out: buffer; receives text for people
 *
 * Return: %MEDLAR_OK, or an error of medlar_config_generate().
 */
int medlar_config_explain(medlar_client_t *client,
			  const medlar_questionnaire_t *questionnaire,
			  medlar_buf_t *out)
{
	check_t check = { .client = client, .answers = questionnaire };
	medlar_config_t config;
	int error;

	error = medlar_config_generate(client, questionnaire,
				       MEDLAR_STR("questionnaire"), 1, &config);
	if (error)
		return error;
	for (check.product = 0; check.product < config.len; check.product++) {
		find_operations(&check);
		medlar_buf_printf(out, "%s\n", product_of(&check)->name);
		explain_policy(&config.services[check.product], out);
		explain_estimate(&check, out);
	}
	medlar_config_finish(&config);
	return out->error;
}
