/**
 * DOC: estimates latency, coverage and extra load of a service
 *
 * The replicas of a shard are modelled as one M/M/c queue with a server for
 * each slot (Erlang C). Service times are log-normal, fitted to the median and
 * the 99th percentile given in the questionnaire. A hedge is an independent
 * second attempt. The latency of a query is that of its slowest shard.
 */
#include <math.h>

#include "medlar.h"

#define Z_99 2.3263478740408408 /* 0.99 quantile of the normal distribution */
#define SIGMA_MIN 0.01
#define WAIT_POINTS 32
#define LATENCY_MAX 1e8
#define BISECTIONS 60
#define HEDGE_SHARE 0.8 /* share of the extra load that hedges may use */
#define HEDGE_QUANTILE_MIN 0.5

typedef struct queue_model {
	double median;
	double sigma;
	double wait_probability;
	double wait_mean;
	double hedge_delay;
} queue_model_t;

/**
 * medlar_estimate_hedge_quantile() - latency quantile that sets the hedge delay
 * @extra_load: hedges and retries allowed, share of first sends
 *
 * Hedges sent after quantile q add 1 - q to the load. A fifth of the
 * allowance is left for retries.
 *
 * Return: 0.5 to 1, never growing with @extra_load; 1 means no hedges.
 */
double medlar_estimate_hedge_quantile(double extra_load)
{
	return fmax(HEDGE_QUANTILE_MIN, 1 - HEDGE_SHARE * extra_load);
}

static double service_tail(const queue_model_t *model, double t)
{
	double z;

	if (t <= 0)
		return 1;
	z = (log(t) - log(model->median)) / model->sigma;
	return 0.5 * erfc(z / sqrt(2));
}

/* Probability that waiting and service together take longer than t ms. */
static double attempt_tail(const queue_model_t *model, double t)
{
	double waiting = 0;
	int i;

	for (i = 0; i < WAIT_POINTS; i++) {
		double u = (i + 0.5) / WAIT_POINTS;
		double wait = -log1p(-u) * model->wait_mean;

		waiting += service_tail(model, t - wait) / WAIT_POINTS;
	}
	return (1 - model->wait_probability) * service_tail(model, t) +
	       model->wait_probability * waiting;
}

static double shard_tail(const queue_model_t *model, double t)
{
	double tail = attempt_tail(model, t);

	if (model->hedge_delay > 0 && t > model->hedge_delay)
		tail *= attempt_tail(model, t - model->hedge_delay);
	return tail;
}

typedef double (*tail_fn_t)(const queue_model_t *model, double t);

static double solve_quantile(const queue_model_t *model, tail_fn_t tail,
			     double above)
{
	double lo = 0;
	double hi = LATENCY_MAX;
	int i;

	for (i = 0; i < BISECTIONS; i++) {
		double mid = (lo + hi) / 2;

		if (tail(model, mid) > above)
			lo = mid;
		else
			hi = mid;
	}
	return hi;
}

/* Probability that a request waits, from the recursion of Erlang B. */
static double erlang_c(int64_t servers, double load)
{
	double blocked = 1;
	int64_t k;

	for (k = 1; k <= servers; k++)
		blocked = load * blocked / ((double)k + load * blocked);
	return blocked / (1 - load / (double)servers * (1 - blocked));
}

static double mean_service_time(const medlar_operations_t *operations,
				double sigma)
{
	return operations->service_median * exp(sigma * sigma / 2);
}

static double lognormal_sigma(const medlar_operations_t *operations)
{
	double sigma = log(operations->service_p99 /
			   operations->service_median) /
		       Z_99;

	return fmax(sigma, SIGMA_MIN);
}

static void set_waiting(queue_model_t *model, int64_t servers, double load,
			double mean)
{
	if (load >= (double)servers) {
		model->wait_probability = 1;
		model->wait_mean = LATENCY_MAX;
		return;
	}
	model->wait_probability = erlang_c(servers, load);
	model->wait_mean = mean / ((double)servers - load);
}

/**
 * medlar_estimate_service() - estimate a service at its peak rate
 * @product: its requirements
 * @operations: capacity of its upstreams
 * @estimate: receives the result
 */
void medlar_estimate_service(const medlar_product_t *product,
			     const medlar_operations_t *operations,
			     medlar_estimate_t *estimate)
{
	double extra = operations->extra_load / 100;
	double sigma = lognormal_sigma(operations);
	double mean = mean_service_time(operations, sigma);
	double load = product->peak_rate * mean / MEDLAR_SECOND;
	int64_t servers = operations->replicas * operations->slots;
	int64_t left = servers - operations->replicas_lost * operations->slots;
	bool hedges = extra > 0 && operations->replicas > 1 && !product->writes;
	queue_model_t model = { .median = operations->service_median,
				.sigma = sigma };
	double late = 1 - pow(product->percentile / 100,
			      1.0 / (double)operations->shards);

	*estimate = (medlar_estimate_t){ .extra_load = hedges ? extra : 0 };
	load *= 1 + estimate->extra_load;
	estimate->utilization = load / (double)servers;
	estimate->utilization_lost = left > 0 ? load / (double)left : INFINITY;
	set_waiting(&model, servers, load, mean);
	if (hedges)
		model.hedge_delay = solve_quantile(
			&model, attempt_tail,
			1 - medlar_estimate_hedge_quantile(extra));
	estimate->hedge_delay = model.hedge_delay;
	estimate->latency = solve_quantile(&model, shard_tail, late);
	estimate->coverage = 1 - shard_tail(&model, (double)product->target);
}
