/**
 * DOC: latency, throughput and capacity of write claims, on a virtual clock
 *
 * Prints one JSON object a line. The baseline is a client that claims each
 * write by one compare-and-swap. It is computed, not run: such a claim takes
 * one round trip, and the store allows as many writes as compare-and-swaps.
 */
#include <math.h>
#include <time.h>

#include "bench/write_model.h"

#define ROUND_TRIP_US (4 * MODEL_US_PER_MS)
#define STORE_WRITES_PER_S 300.0 /* compare-and-swaps that the store allows */
#define BUSY_SHARE 0.8 /* share of these that the latency case uses */
#define COMMIT_SHARE 0.4 /* share of these that writes may use */
#define WRITE_TIMEOUT_MS MEDLAR_SECOND
#define RUN_SECONDS 12
#define WARM_UP_SECONDS 2
#define SECOND_US ((int64_t)MODEL_US_PER_MS * MEDLAR_SECOND)
#define THROUGHPUT_PARTITIONS 2048
#define OFFERED_PER_S 5500 /* writes a second */
#define CODEC_REPEATS 50
#define BISECTION_STEPS 12
#define NO_BOUND NAN

/**
 * struct load - parameters of a run
 * @instances: number of instances
 * @partitions: number of partitions of the journals
 * @window: time for which keys are kept, milliseconds
 * @rate: writes offered a second, by all instances
 * @commits: commits allowed a second, of all instances; 0 for no limit
 */
typedef struct load {
	int instances;
	uint32_t partitions;
	medlar_time_t window;
	double rate;
	double commits;
} load_t;

/**
 * struct figures - results of a run, after the warm-up
 * @writes_rate: writes executed a second
 * @refused: share of the offered writes that were not executed
 * @latency_median: median of the claim latency, store round trips
 * @latency_p99: 99th percentile of the claim latency, store round trips
 * @commits: compare-and-swaps a second
 * @reads: reads of the store a second
 * @conflicts: share of the compare-and-swaps that failed
 * @bytes: bytes written by a commit, on average
 */
typedef struct figures {
	double writes_rate;
	double refused;
	double latency_median;
	double latency_p99;
	double commits;
	double reads;
	double conflicts;
	double bytes;
} figures_t;

static void print_number(double number)
{
	if (isnan(number))
		printf("null");
	else
		printf("%.6g", number);
}

static void print_row(const char *name, const char *metric, const char *unit,
		      double value, double baseline, double bound)
{
	printf("{\"area\":\"writes\",\"case\":\"%s\",\"metric\":\"%s\","
	       "\"unit\":\"%s\",\"value\":",
	       name, metric, unit);
	print_number(value);
	printf(",\"baseline\":");
	print_number(baseline);
	printf(",\"bound\":");
	print_number(bound);
	printf("}\n");
	fflush(stdout);
}

static int compare_latencies(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static medlar_writes_stats_t sum_stats(const model_t *model)
{
	medlar_writes_stats_t sum = { 0 };
	int i;

	for (i = 0; i < model->instances_len; i++) {
		const medlar_writes_stats_t *stats =
			&model->instances[i].writes.stats;

		sum.reads += stats->reads;
		sum.commits += stats->commits;
		sum.conflicts += stats->conflicts;
	}
	return sum;
}

static void add_instances(model_t *model, const load_t *load)
{
	medlar_policy_t policy = {
		.name = "ledger",
		.window = load->window,
		.partitions = load->partitions,
	};
	int i;

	for (i = 0; i < load->instances; i++)
		model_add_instance(model, &policy,
				   load->commits / load->instances);
}

/* Offers writes at exponentially distributed intervals until @until. */
static size_t offer_writes(model_t *model, const load_t *load,
			   model_request_t *requests, size_t len, int64_t until)
{
	double at = (double)model->now;
	size_t i;

	for (i = 0; i < len; i++) {
		model_request_t *request = &requests[i];

		at -= log(1 - medlar_rand_unit(&model->rand)) *
		      (double)SECOND_US / load->rate;
		if (at >= (double)until)
			break;
		model_run(model, (int64_t)at);
		request->instance = (int)medlar_rand_below(
			&model->rand, (uint64_t)load->instances);
		request->key = model_make_key(model, 0);
		model_start_write(model, request, WRITE_TIMEOUT_MS);
	}
	return i;
}

static void summarize(figures_t *figures, const model_request_t *requests,
		      size_t len)
{
	double *latencies = calloc(len + 1, sizeof(*latencies));
	size_t ran = 0;
	size_t i;

	if (!latencies)
		abort();
	for (i = 0; i < len; i++) {
		if (requests[i].answer.outcome != MEDLAR_WRITE_RAN)
			continue;
		latencies[ran++] = (double)(requests[i].dispatched_at -
					    requests[i].sent_at) /
				   ROUND_TRIP_US;
	}
	qsort(latencies, ran, sizeof(*latencies), compare_latencies);
	figures->latency_median = ran ? latencies[ran / 2] : NAN;
	figures->latency_p99 = ran ? latencies[ran * 99 / 100] : NAN;
	figures->refused = len ? 1 - (double)ran / (double)len : NAN;
	free(latencies);
}

static figures_t run_load(const load_t *load)
{
	double measured = RUN_SECONDS - WARM_UP_SECONDS;
	size_t cap = (size_t)(load->rate * RUN_SECONDS * 1.5) + 100;
	model_request_t *requests = calloc(cap, sizeof(*requests));
	medlar_writes_stats_t before;
	medlar_writes_stats_t after;
	figures_t figures = { 0 };
	uint64_t written;
	model_t model;
	size_t start;
	size_t len;

	if (!requests)
		abort();
	model_init(&model, 1);
	add_instances(&model, load);
	start = offer_writes(&model, load, requests, cap,
			     WARM_UP_SECONDS * SECOND_US);
	before = sum_stats(&model);
	written = model.bytes_written;
	len = start + offer_writes(&model, load, requests + start, cap - start,
				   RUN_SECONDS * SECOND_US);
	after = sum_stats(&model);
	written = model.bytes_written - written;
	model_run(&model, model.now + 2 * WRITE_TIMEOUT_MS * MODEL_US_PER_MS);
	summarize(&figures, requests + start, len - start);
	figures.writes_rate = (double)(len - start) * (1 - figures.refused) /
			      measured;
	figures.commits = (double)(after.commits - before.commits) / measured;
	figures.reads = (double)(after.reads - before.reads) / measured;
	figures.conflicts = (double)(after.conflicts - before.conflicts) /
			    (double)(after.commits - before.commits);
	figures.bytes = (double)written /
			(double)(after.commits - before.commits);
	model_finish(&model);
	free(requests);
	return figures;
}

static load_t make_load(int instances, uint32_t partitions, double rate,
			double commits)
{
	return (load_t){ instances, partitions, MEDLAR_HOUR, rate, commits };
}

/* Finds by bisection the rate of writes that causes @commits a second. */
static double find_rate(load_t load, double commits)
{
	double lo = 1;
	double hi = 4000;
	int i;

	for (i = 0; i < BISECTION_STEPS; i++) {
		load.rate = sqrt(lo * hi);
		if (run_load(&load).commits < commits)
			lo = load.rate;
		else
			hi = load.rate;
	}
	return lo;
}

static void measure_latency(void)
{
	load_t idle = make_load(4, 16, 5, STORE_WRITES_PER_S);
	load_t busy = make_load(4, 16, 0, STORE_WRITES_PER_S);
	figures_t figures = run_load(&idle);

	print_row("idle", "claim_latency_median", "store_round_trips",
		  figures.latency_median, 1, 2);
	print_row("idle", "claim_latency_p99", "store_round_trips",
		  figures.latency_p99, NAN, NO_BOUND);
	print_row("idle", "store_writes_per_write", "calls",
		  figures.commits / figures.writes_rate, 1, NO_BOUND);
	busy.rate = find_rate(busy, BUSY_SHARE * STORE_WRITES_PER_S);
	figures = run_load(&busy);
	print_row("store_at_80_percent", "claim_latency_median",
		  "store_round_trips", figures.latency_median, 1, 3);
	print_row("store_at_80_percent", "claim_latency_p99",
		  "store_round_trips", figures.latency_p99, NAN, NO_BOUND);
	print_row("store_at_80_percent", "store_writes", "calls/s",
		  figures.commits, BUSY_SHARE * STORE_WRITES_PER_S, NO_BOUND);
	print_row("store_at_80_percent", "writes", "writes/s",
		  figures.writes_rate, BUSY_SHARE * STORE_WRITES_PER_S,
		  NO_BOUND);
}

static void report_throughput(const char *name, const load_t *load,
			      double bound)
{
	figures_t figures = run_load(load);
	double share = figures.commits / STORE_WRITES_PER_S;

	print_row(name, "writes", "writes/s", figures.writes_rate,
		  COMMIT_SHARE * STORE_WRITES_PER_S, bound);
	print_row(name, "share_of_store_writes", "fraction", share,
		  COMMIT_SHARE, isnan(bound) ? NO_BOUND : COMMIT_SHARE);
	print_row(name, "refused", "fraction", figures.refused, NAN, NO_BOUND);
	print_row(name, "store_reads", "calls/s", figures.reads, 0, NO_BOUND);
	print_row(name, "conflicts", "fraction", figures.conflicts, 0,
		  NO_BOUND);
	print_row(name, "commit_size", "bytes", figures.bytes, NAN, NO_BOUND);
	print_row(name, "claim_latency_median", "ms",
		  figures.latency_median * ROUND_TRIP_US / MODEL_US_PER_MS, NAN,
		  NO_BOUND);
	print_row(name, "claim_latency_p99", "ms",
		  figures.latency_p99 * ROUND_TRIP_US / MODEL_US_PER_MS, NAN,
		  NO_BOUND);
}

static void measure_throughput(bool quick)
{
	static const int instances[] = { 1, 2, 4, 8, 16 };
	static const uint32_t partitions[] = { 4, 8, 64, 512, 2048, 8192 };
	double commits = COMMIT_SHARE * STORE_WRITES_PER_S;
	char name[32];
	load_t load = make_load(4, THROUGHPUT_PARTITIONS, OFFERED_PER_S,
				commits);
	size_t i;

	report_throughput("throughput", &load, 5000);
	for (i = 0; i < sizeof(instances) / sizeof(instances[0]); i++) {
		snprintf(name, sizeof(name), "instances_%d", instances[i]);
		load = make_load(instances[i], THROUGHPUT_PARTITIONS,
				 OFFERED_PER_S, commits);
		report_throughput(name, &load, NO_BOUND);
	}
	for (i = 0; i < sizeof(partitions) / sizeof(partitions[0]); i++) {
		if (quick && partitions[i] < 1024)
			continue;
		snprintf(name, sizeof(name), "partitions_%u", partitions[i]);
		load = make_load(4, partitions[i], OFFERED_PER_S, commits);
		report_throughput(name, &load, NO_BOUND);
	}
}

static double cpu_time_s(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec + (double)time.tv_nsec * 1e-9;
}

/* Measures the processor time to encode and decode a full journal. */
static void measure_codec(const medlar_journal_t *journal)
{
	medlar_journal_t copy;
	medlar_buf_t value;
	double start = cpu_time_s();
	double middle;
	int i;

	medlar_buf_init(&value);
	medlar_journal_init(&copy);
	for (i = 0; i < CODEC_REPEATS; i++) {
		medlar_buf_reset(&value);
		medlar_journal_encode(journal, &value);
	}
	middle = cpu_time_s();
	for (i = 0; i < CODEC_REPEATS; i++) {
		medlar_journal_finish(&copy);
		if (medlar_journal_decode(&copy, medlar_buf_str(&value)))
			abort();
	}
	print_row("capacity", "encode_full_journal", "us",
		  (middle - start) / CODEC_REPEATS * 1e6, NAN, NO_BOUND);
	print_row("capacity", "decode_full_journal", "us",
		  (cpu_time_s() - middle) / CODEC_REPEATS * 1e6, NAN, NO_BOUND);
	print_row("capacity", "memory_of_a_pending_write", "bytes",
		  (double)sizeof(medlar_write_t), NAN, NO_BOUND);
	medlar_journal_finish(&copy);
	medlar_buf_finish(&value);
}

/* Measures how many writes a second fit in a journal with a window of 1 h. */
static void measure_capacity(void)
{
	medlar_journal_entry_t entry = { .state = MEDLAR_CLAIM_RAN };
	medlar_rand_t rand = { 1 };
	medlar_journal_t journal;
	uint64_t random[2];

	medlar_journal_init(&journal);
	do {
		random[0] = medlar_rand_next(&rand);
		random[1] = medlar_rand_next(&rand);
		medlar_uuid_make(&entry.key, 1, (const uint8_t *)random);
	} while (!medlar_journal_claim(&journal, &entry,
				       MEDLAR_JOURNAL_SIZE_MAX));
	print_row("capacity", "entries_of_a_journal", "keys",
		  (double)journal.len, NAN, NO_BOUND);
	print_row("capacity", "writes_for_a_window_of_1h_per_partition",
		  "writes/s", (double)journal.len * MEDLAR_SECOND / MEDLAR_HOUR,
		  NAN, NO_BOUND);
	measure_codec(&journal);
	medlar_journal_finish(&journal);
}

static void print_outage(const model_t *model, const model_request_t *requests,
			 size_t len, int64_t store_up_at)
{
	int64_t first_success_at = INT64_MAX;
	int64_t answer_time_max = 0;
	size_t false_not_run = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		const model_request_t *request = &requests[i];

		if (request->answered_at - request->sent_at > answer_time_max)
			answer_time_max = request->answered_at -
					  request->sent_at;
		if (request->answer.outcome == MEDLAR_WRITE_NOT_RUN)
			false_not_run += request->executions > 0;
		else if (request->answered_at >= store_up_at &&
			 request->answered_at < first_success_at)
			first_success_at = request->answered_at;
	}
	print_row("store_down_60s", "answered_at_latest", "ms",
		  (double)answer_time_max / MODEL_US_PER_MS, NAN,
		  (double)WRITE_TIMEOUT_MS);
	print_row("store_down_60s", "untrue_not_run", "writes",
		  (double)false_not_run, NAN, 0);
	print_row("store_down_60s", "first_success_after_return", "ms",
		  (double)(first_success_at - store_up_at) / MODEL_US_PER_MS,
		  NAN, 2000);
	print_row("store_down_60s", "peak_store_calls", "calls/s",
		  (double)model->calls_per_second_peak, NAN,
		  STORE_WRITES_PER_S);
}

static void measure_outage(void)
{
	load_t load = make_load(4, 16, 400, COMMIT_SHARE * STORE_WRITES_PER_S);
	size_t cap = 36000;
	model_request_t *requests = calloc(cap, sizeof(*requests));
	model_t model;
	int64_t store_up_at;
	size_t len;

	if (!requests)
		abort();
	model_init(&model, 1);
	add_instances(&model, &load);
	len = offer_writes(&model, &load, requests, cap, 5 * SECOND_US);
	model.down = true;
	model.calls_per_second_peak = 0;
	len += offer_writes(&model, &load, requests + len, cap - len,
			    65 * SECOND_US);
	model.down = false;
	store_up_at = model.now;
	len += offer_writes(&model, &load, requests + len, cap - len,
			    75 * SECOND_US);
	model_run(&model, model.now + 2 * WRITE_TIMEOUT_MS * MODEL_US_PER_MS);
	print_outage(&model, requests, len, store_up_at);
	model_finish(&model);
	free(requests);
}

int main(int argc, char **argv)
{
	bool quick = argc > 1 && strcmp(argv[1], "--quick") == 0;

	measure_latency();
	measure_throughput(quick);
	measure_capacity();
	measure_outage();
	return 0;
}
