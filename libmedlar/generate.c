/**
 * DOC: generation of a configuration from the answers of a questionnaire
 *
 * Generation is a pure function: equal answers give equal configurations.
 * Answers that contradict each other are rejected. The error report names the
 * fields and the nearest answers that would work; no answer is relaxed
 * silently.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlar.h"

#define SECONDS_PER_HOUR 3600.0
#define UTILIZATION_MAX 0.95
#define ADVICE_MAX 384
#define FIELD_MAX 160

/* Range and step of the search for a sufficient extra load, percent. */
#define EXTRA_LOAD_SEARCH_MAX 50
#define EXTRA_LOAD_SEARCH_STEP 0.5

#define QUEUE_MIN 8 /* queries */
#define QUEUE_MAX 100000
#define SLOW_START_PER_MEDIAN 100 /* median service times */
#define SLOW_START_MIN MEDLAR_SECOND
#define SLOW_START_MAX (30 * MEDLAR_SECOND)
#define CONNECTION_IDLE_MAX (30 * MEDLAR_SECOND)
#define SILENCE_PER_P99 3
#define SILENCE_DEADLINE_DIVISOR 5
#define IN_FLIGHT_PER_SLOT 2 /* requests in flight at a replica, per slot */

/* Target for a journal: half of the largest value that the store accepts. */
#define JOURNAL_TARGET_SIZE (512 * 1024.0) /* bytes */
#define CLAIM_SIZE_ESTIMATE 96.0 /* bytes */
#define PARTITIONS_MAX 4096

typedef struct validation {
	medlar_client_t *client;
	medlar_str_t file;
	const medlar_questionnaire_t *answers;
	size_t product;
	size_t operations;
	int error;
} validation_t;

static const medlar_product_t *current_product(const validation_t *validation)
{
	const medlar_product_t *products = validation->answers->products.items;

	return &products[validation->product];
}

static const medlar_operations_t *
current_operations(const validation_t *validation)
{
	const medlar_operations_t *all = validation->answers->operations.items;

	return &all[validation->operations];
}

static void report_contradiction(validation_t *validation, int error,
				 const char *field, const char *advice)
{
	medlar_error_report_t fault = {
		.error = error,
		.file = validation->file,
		.field = medlar_str_from(field),
		.advice = medlar_str_from(advice),
	};

	medlar_client_report(validation->client, &fault);
	if (!validation->error)
		validation->error = error;
}

static void report_product_contradiction(validation_t *validation,
					 const char *name, const char *advice)
{
	char field[FIELD_MAX];

	snprintf(field, sizeof(field), "product.services[%zu].%s",
		 validation->product, name);
	report_contradiction(validation, MEDLAR_ERR_CLASH, field, advice);
}

static void report_operations_contradiction(validation_t *validation,
					    const char *name,
					    const char *advice)
{
	char field[FIELD_MAX];

	snprintf(field, sizeof(field), "operations.services[%zu].%s",
		 validation->operations, name);
	report_contradiction(validation, MEDLAR_ERR_CLASH, field, advice);
}

static bool meets_target(const medlar_product_t *product,
			 const medlar_operations_t *operations)
{
	medlar_estimate_t estimate;

	medlar_estimate_service(product, operations, &estimate);
	if (product->priority == MEDLAR_LATENCY_FIRST)
		return estimate.coverage * 100 >= product->coverage ||
		       estimate.latency <= (double)product->target;
	return estimate.latency <= (double)product->target;
}

/* Smallest extra load that meets the target, percent; -1 for none. */
static double find_extra_load(const validation_t *validation)
{
	medlar_operations_t operations = *current_operations(validation);

	while (operations.extra_load <= EXTRA_LOAD_SEARCH_MAX) {
		if (meets_target(current_product(validation), &operations))
			return operations.extra_load;
		operations.extra_load += EXTRA_LOAD_SEARCH_STEP;
	}
	return -1;
}

/* Highest lower percentile at which the target is met, or -1. */
static double find_percentile(const validation_t *validation)
{
	static const double percentiles[] = { 99.9, 99, 95, 90, 75, 50 };
	medlar_product_t product = *current_product(validation);
	size_t i;

	for (i = 0; i < sizeof(percentiles) / sizeof(percentiles[0]); i++) {
		if (percentiles[i] >= current_product(validation)->percentile)
			continue;
		product.percentile = percentiles[i];
		if (meets_target(&product, current_operations(validation)))
			return percentiles[i];
	}
	return -1;
}

static void check_target(validation_t *validation)
{
	const medlar_product_t *product = current_product(validation);
	medlar_estimate_t estimate;
	double extra;
	double percentile;
	char advice[ADVICE_MAX];
	size_t len;

	if (product->target > product->deadline)
		report_product_contradiction(
			validation, "target_ms",
			"contradicts deadline_ms; the target must not be "
			"later than the deadline");
	if (meets_target(product, current_operations(validation)))
		return;
	medlar_estimate_service(product, current_operations(validation),
				&estimate);
	len = (size_t)snprintf(
		advice, sizeof(advice),
		"contradicts target_percentile, coverage_percent and, in "
		"operations, extra_load_percent, replicas and slots: the "
		"estimated latency is %.0f ms; accepted with target_ms %.0f",
		estimate.latency, ceil(estimate.latency));
	extra = find_extra_load(validation);
	if (extra >= 0)
		len += (size_t)snprintf(advice + len, sizeof(advice) - len,
					", or extra_load_percent %.1f", extra);
	percentile = find_percentile(validation);
	if (percentile >= 0)
		snprintf(advice + len, sizeof(advice) - len,
			 ", or target_percentile %.1f", percentile);
	report_product_contradiction(validation, "target_ms", advice);
}

static void check_capacity(validation_t *validation)
{
	const medlar_operations_t *operations = current_operations(validation);
	medlar_estimate_t estimate;
	char advice[ADVICE_MAX];

	medlar_estimate_service(current_product(validation), operations,
				&estimate);
	if (operations->replicas_lost >= operations->replicas) {
		report_operations_contradiction(
			validation, "replicas_lost",
			"contradicts replicas; one replica must be left");
		return;
	}
	if (estimate.utilization_lost <= UTILIZATION_MAX)
		return;
	snprintf(advice, sizeof(advice),
		 "contradicts replicas_lost, slots, service_median_ms and, in "
		 "product, peak_rate: %.0f%% of the slots busy; accepted with "
		 "peak_rate %.1f, or replicas %.0f",
		 100 * estimate.utilization_lost,
		 floor(current_product(validation)->peak_rate * 10 *
		       UTILIZATION_MAX / estimate.utilization_lost) /
			 10,
		 (double)operations->replicas_lost +
			 ceil((double)(operations->replicas -
				       operations->replicas_lost) *
			      estimate.utilization_lost / UTILIZATION_MAX));
	report_operations_contradiction(validation, "replicas", advice);
}

static void check_limits(validation_t *validation)
{
	const medlar_operations_t *operations = current_operations(validation);
	int64_t instances = validation->answers->instances;
	int64_t in_flight_max = operations->replicas * operations->slots *
				IN_FLIGHT_PER_SLOT;
	char advice[ADVICE_MAX];

	if (operations->service_p99 < operations->service_median)
		report_operations_contradiction(
			validation, "service_p99_ms",
			"contradicts service_median_ms; must be at "
			"least the median");
	if (operations->connections < operations->slots)
		report_operations_contradiction(
			validation, "connections",
			"contradicts slots; each request in flight "
			"needs a connection");
	if (in_flight_max >= instances)
		return;
	snprintf(advice, sizeof(advice),
		 "contradicts operations.instances: a shard accepts %lld "
		 "requests in flight, which %lld instances must share; "
		 "accepted with slots %lld",
		 (long long)in_flight_max, (long long)instances,
		 (long long)((instances +
			      operations->replicas * IN_FLIGHT_PER_SLOT - 1) /
			     (operations->replicas * IN_FLIGHT_PER_SLOT)));
	report_operations_contradiction(validation, "slots", advice);
}

static double compute_partitions(const medlar_product_t *product)
{
	double claims = product->peak_rate * SECONDS_PER_HOUR *
			(double)product->window;

	return product->writes ? ceil(claims * CLAIM_SIZE_ESTIMATE /
				      JOURNAL_TARGET_SIZE)
			       : 1;
}

static void check_window(validation_t *validation)
{
	double needed = compute_partitions(current_product(validation));

	if (needed > PARTITIONS_MAX)
		report_product_contradiction(
			validation, "write_window_hours",
			"contradicts peak_rate: too many write keys for the "
			"store; shorten the window");
}

static bool find_operations(validation_t *validation)
{
	const medlar_operations_t *all = validation->answers->operations.items;
	const char *name = current_product(validation)->name;

	for (validation->operations = 0;
	     validation->operations < validation->answers->operations.len;
	     validation->operations++)
		if (strcmp(all[validation->operations].name, name) == 0)
			return true;
	return false;
}

static bool has_product(const validation_t *validation, const char *name,
			size_t before)
{
	const medlar_product_t *products = validation->answers->products.items;
	size_t i;

	for (i = 0; i < before; i++)
		if (strcmp(products[i].name, name) == 0)
			return true;
	return false;
}

static void check_product(validation_t *validation)
{
	const char *name = current_product(validation)->name;

	if (has_product(validation, name, validation->product))
		report_product_contradiction(
			validation, "name",
			"duplicate service name; rename one of the services");
	if (!find_operations(validation)) {
		report_product_contradiction(
			validation, "name",
			"no service with this name in operations; add "
			"its answers there");
		return;
	}
	check_limits(validation);
	check_capacity(validation);
	check_window(validation);
	if (!validation->error)
		check_target(validation);
}

static void check_answers(validation_t *validation)
{
	const medlar_questionnaire_t *answers = validation->answers;
	const medlar_operations_t *all = answers->operations.items;

	for (validation->product = 0;
	     validation->product < answers->products.len; validation->product++)
		check_product(validation);
	for (validation->operations = 0;
	     validation->operations < answers->operations.len;
	     validation->operations++)
		if (!has_product(validation, all[validation->operations].name,
				 answers->products.len))
			report_operations_contradiction(
				validation, "name",
				"no service with this name in product; "
				"add its answers there");
}

static medlar_time_t clamp_time(double value, medlar_time_t min,
				medlar_time_t max)
{
	return (medlar_time_t)fmin(fmax(ceil(value), (double)min), (double)max);
}

/* Queries that an instance can finish between the target and the deadline. */
static uint32_t compute_queue_max(const validation_t *validation)
{
	const medlar_product_t *product = current_product(validation);
	const medlar_operations_t *operations = current_operations(validation);
	double servers = (double)(operations->replicas * operations->slots);
	double spare = (double)(product->deadline - product->target);

	return (uint32_t)clamp_time(
		servers * spare / operations->service_median /
			(double)validation->answers->instances,
		QUEUE_MIN, QUEUE_MAX);
}

static medlar_time_t compute_silence(const validation_t *validation)
{
	double deadline = (double)current_product(validation)->deadline;
	double silence = fmax(
		SILENCE_PER_P99 * current_operations(validation)->service_p99,
		deadline / SILENCE_DEADLINE_DIVISOR);

	return clamp_time(fmin(silence, deadline / 2), 1, MEDLAR_HOUR);
}

static double compute_eject_max(int64_t replicas)
{
	if (replicas == 1)
		return 0;
	if (replicas == 2)
		return 0.5;
	return floor((double)replicas / 3) / (double)replicas;
}

static void generate_policy(const validation_t *validation,
			    medlar_policy_t *policy)
{
	const medlar_product_t *product = current_product(validation);
	const medlar_operations_t *operations = current_operations(validation);
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
		.hedge_quantile = medlar_estimate_hedge_quantile(extra),
		.slots = (uint32_t)operations->slots,
		.connections = (uint32_t)operations->connections,
		.connect_cost = operations->connect_cost,
		.queue_max = compute_queue_max(validation),
		.eject_max = compute_eject_max(operations->replicas),
		.slow_start = clamp_time(SLOW_START_PER_MEDIAN *
						 operations->service_median,
					 SLOW_START_MIN, SLOW_START_MAX),
		.idle_max = CONNECTION_IDLE_MAX,
		.silence = compute_silence(validation),
		.window = product->window * MEDLAR_HOUR,
		.partitions = (uint32_t)compute_partitions(product),
	};
	memcpy(policy->name, product->name, sizeof(policy->name));
}

/**
 * medlar_config_generate() - generate a configuration from answers
 * @client: its error handler receives a report for every contradiction
 * @questionnaire: answers accepted by medlar_questionnaire_parse()
 * @file: name of the questionnaire for error reports
 * @revision: revision of the new configuration
 * @config: memory of the caller; to be finished if %MEDLAR_OK is returned
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_CLASH if answers contradict each other, or
 * %MEDLAR_ERR_NOMEM.
 */
int medlar_config_generate(medlar_client_t *client,
			   const medlar_questionnaire_t *questionnaire,
			   medlar_str_t file, uint64_t revision,
			   medlar_config_t *config)
{
	validation_t validation = { .client = client,
				    .file = file,
				    .answers = questionnaire };

	*config = (medlar_config_t){
		.revision = revision,
		.instances = (uint32_t)questionnaire->instances,
		.address_ttl = questionnaire->address_ttl * MEDLAR_SECOND,
		.len = questionnaire->products.len,
	};
	check_answers(&validation);
	if (validation.error)
		return validation.error;
	config->services = calloc(config->len + 1, sizeof(*config->services));
	if (!config->services)
		return MEDLAR_ERR_NOMEM;
	for (validation.product = 0; validation.product < config->len;
	     validation.product++) {
		find_operations(&validation);
		generate_policy(&validation,
				&config->services[validation.product]);
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

static void explain_estimate(const validation_t *validation, medlar_buf_t *out)
{
	medlar_estimate_t estimate;

	medlar_estimate_service(current_product(validation),
				current_operations(validation), &estimate);
	medlar_buf_printf(
		out,
		"  estimate: %.0f ms at the %.5gth percentile with "
		"full coverage, %.2f%% coverage at %lld ms,\n"
		"  at most %.1f%% extra load, %.0f%% of the slots "
		"busy at peak, %.0f%% with %lld replicas lost\n",
		estimate.latency, current_product(validation)->percentile,
		100 * estimate.coverage,
		(long long)current_product(validation)->target,
		100 * estimate.extra_load, 100 * estimate.utilization,
		100 * estimate.utilization_lost,
		(long long)current_operations(validation)->replicas_lost);
}

/**
 * medlar_config_explain() - describe the configuration that answers give
 * @client: its error handler receives a report for every contradiction
 * @questionnaire: answers accepted by medlar_questionnaire_parse()
 * @out: buffer; human-readable text is appended
 *
 * Return: %MEDLAR_OK, or an error of medlar_config_generate().
 */
int medlar_config_explain(medlar_client_t *client,
			  const medlar_questionnaire_t *questionnaire,
			  medlar_buf_t *out)
{
	validation_t validation = { .client = client,
				    .answers = questionnaire };
	medlar_config_t config;
	int error;

	error = medlar_config_generate(client, questionnaire,
				       MEDLAR_STR("questionnaire"), 1, &config);
	if (error)
		return error;
	for (validation.product = 0; validation.product < config.len;
	     validation.product++) {
		find_operations(&validation);
		medlar_buf_printf(out, "%s\n",
				  current_product(&validation)->name);
		explain_policy(&config.services[validation.product], out);
		explain_estimate(&validation, out);
	}
	medlar_config_finish(&config);
	return out->error;
}
