/**
 * DOC: what write claims cost, on a virtual clock
 *
 * Prints one JSON object a line. The baseline of a row is a claim by one
 * compare-and-swap for each write, worked out from the same store: it adds one
 * round trip and runs as many writes as the store takes calls.
 */
#include <math.h>
#include <time.h>

#include "bench/write_model.h"

#define ROUND_TRIP (4 * MODEL_US)
#define STORE_WRITES 300.0 /* compare-and-swaps a second */
#define BUSY 0.8 /* share of them at which latency is measured */
#define SHARE 0.4 /* of them that writes may use */
#define PATIENCE MEDLAR_SECOND
#define RUN_SECONDS 12
#define WARM_SECONDS 2
#define SECOND_US ((int64_t)MODEL_US * MEDLAR_SECOND)
#define THROUGHPUT_PARTITIONS 2048
#define OFFERED 5500 /* writes a second */
#define CODEC_ROUNDS 50
#define BISECTIONS 12
#define NO_BOUND NAN

/** struct load - one run */
typedef struct load {
	int instances;
	uint32_t partitions;
	medlar_time_t window;
	double rate; /* writes offered a second */
	double commits; /* of all instances a second; 0 for no limit */
} load_t;

/** struct figures - what a run showed, past its start */
typedef struct figures {
	double ran; /* writes a second */
	double refused; /* share of the writes offered */
	double median; /* claim latency, round trips */
	double p99; /* likewise */
	double commits; /* compare-and-swaps a second */
	double reads; /* a second */
	double conflicts; /* share of the compare-and-swaps */
	double bytes; /* of a commit */
} figures_t;

static void print_number(double number)
{
	if (isnan(number))
		printf("null");
	else
		printf("%.6g", number);
}

static void row(const char *name, const char *metric, const char *unit,
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

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static medlar_writes_stats_t add_stats(const model_t *model)
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

/* Offer writes at exponentially distributed intervals until @until. */
static size_t offer(model_t *model, const load_t *load,
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
		request->key = model_key(model, 0);
		model_start(model, request, PATIENCE);
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
		latencies[ran++] = (double)(requests[i].dispatched -
					    requests[i].sent) /
				   ROUND_TRIP;
	}
	qsort(latencies, ran, sizeof(*latencies), compare);
	figures->median = ran ? latencies[ran / 2] : NAN;
	figures->p99 = ran ? latencies[ran * 99 / 100] : NAN;
	figures->refused = len ? 1 - (double)ran / (double)len : NAN;
	free(latencies);
}

static figures_t run(const load_t *load)
{
	double measured = RUN_SECONDS - WARM_SECONDS;
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
	start = offer(&model, load, requests, cap, WARM_SECONDS * SECOND_US);
	before = add_stats(&model);
	written = model.written;
	len = start + offer(&model, load, requests + start, cap - start,
			    RUN_SECONDS * SECOND_US);
	after = add_stats(&model);
	written = model.written - written;
	model_run(&model, model.now + 2 * PATIENCE * MODEL_US);
	summarize(&figures, requests + start, len - start);
	figures.ran = (double)(len - start) * (1 - figures.refused) / measured;
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

static load_t load_of(int instances, uint32_t partitions, double rate,
		      double commits)
{
	return (load_t){ instances, partitions, MEDLAR_HOUR, rate, commits };
}

/* The rate of writes at which the store sees @commits, by bisection. */
static double find_rate(load_t load, double commits)
{
	double lo = 1;
	double hi = 4000;
	int i;

	for (i = 0; i < BISECTIONS; i++) {
		load.rate = sqrt(lo * hi);
		if (run(&load).commits < commits)
			lo = load.rate;
		else
			hi = load.rate;
	}
	return lo;
}

static void measure_latency(void)
{
	load_t idle = load_of(4, 16, 5, STORE_WRITES);
	load_t busy = load_of(4, 16, 0, STORE_WRITES);
	figures_t figures = run(&idle);

	row("idle", "claim_latency_median", "store_round_trips", figures.median,
	    1, 2);
	row("idle", "claim_latency_p99", "store_round_trips", figures.p99, NAN,
	    NO_BOUND);
	row("idle", "store_writes_per_write", "calls",
	    figures.commits / figures.ran, 1, NO_BOUND);
	busy.rate = find_rate(busy, BUSY * STORE_WRITES);
	figures = run(&busy);
	row("store_at_80_percent", "claim_latency_median", "store_round_trips",
	    figures.median, 1, 3);
	row("store_at_80_percent", "claim_latency_p99", "store_round_trips",
	    figures.p99, NAN, NO_BOUND);
	row("store_at_80_percent", "store_writes", "calls/s", figures.commits,
	    BUSY * STORE_WRITES, NO_BOUND);
	row("store_at_80_percent", "writes", "writes/s", figures.ran,
	    BUSY * STORE_WRITES, NO_BOUND);
}

static void report_throughput(const char *name, const load_t *load,
			      double bound)
{
	figures_t figures = run(load);
	double share = figures.commits / STORE_WRITES;

	row(name, "writes", "writes/s", figures.ran, SHARE * STORE_WRITES,
	    bound);
	row(name, "share_of_store_writes", "fraction", share, SHARE,
	    isnan(bound) ? NO_BOUND : SHARE);
	row(name, "refused", "fraction", figures.refused, NAN, NO_BOUND);
	row(name, "store_reads", "calls/s", figures.reads, 0, NO_BOUND);
	row(name, "conflicts", "fraction", figures.conflicts, 0, NO_BOUND);
	row(name, "commit_size", "bytes", figures.bytes, NAN, NO_BOUND);
	row(name, "claim_latency_median", "ms",
	    figures.median * ROUND_TRIP / MODEL_US, NAN, NO_BOUND);
	row(name, "claim_latency_p99", "ms",
	    figures.p99 * ROUND_TRIP / MODEL_US, NAN, NO_BOUND);
}

static void measure_throughput(bool quick)
{
	static const int instances[] = { 1, 2, 4, 8, 16 };
	static const uint32_t partitions[] = { 4, 8, 64, 512, 2048, 8192 };
	double commits = SHARE * STORE_WRITES;
	char name[32];
	load_t load = load_of(4, THROUGHPUT_PARTITIONS, OFFERED, commits);
	size_t i;

	report_throughput("throughput", &load, 5000);
	for (i = 0; i < sizeof(instances) / sizeof(instances[0]); i++) {
		snprintf(name, sizeof(name), "instances_%d", instances[i]);
		load = load_of(instances[i], THROUGHPUT_PARTITIONS, OFFERED,
			       commits);
		report_throughput(name, &load, NO_BOUND);
	}
	for (i = 0; i < sizeof(partitions) / sizeof(partitions[0]); i++) {
		if (quick && partitions[i] < 1024)
			continue;
		snprintf(name, sizeof(name), "partitions_%u", partitions[i]);
		load = load_of(4, partitions[i], OFFERED, commits);
		report_throughput(name, &load, NO_BOUND);
	}
}

static double seconds(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec + (double)time.tv_nsec * 1e-9;
}

/* Processor time to read and write a full journal, as each commit does. */
static void measure_codec(const medlar_journal_t *journal)
{
	medlar_journal_t copy;
	medlar_buf_t value;
	double start = seconds();
	double middle;
	int i;

	medlar_buf_init(&value);
	medlar_journal_init(&copy);
	for (i = 0; i < CODEC_ROUNDS; i++) {
		medlar_buf_reset(&value);
		medlar_journal_encode(journal, &value);
	}
	middle = seconds();
	for (i = 0; i < CODEC_ROUNDS; i++) {
		medlar_journal_finish(&copy);
		if (medlar_journal_decode(&copy, medlar_buf_str(&value)))
			abort();
	}
	row("capacity", "encode_full_journal", "us",
	    (middle - start) / CODEC_ROUNDS * 1e6, NAN, NO_BOUND);
	row("capacity", "decode_full_journal", "us",
	    (seconds() - middle) / CODEC_ROUNDS * 1e6, NAN, NO_BOUND);
	row("capacity", "memory_of_a_pending_write", "bytes",
	    (double)sizeof(medlar_write_t), NAN, NO_BOUND);
	medlar_journal_finish(&copy);
	medlar_buf_finish(&value);
}

/* How many writes a second the journals hold for a window of an hour. */
static void measure_capacity(void)
{
	medlar_entry_t entry = { .state = MEDLAR_CLAIM_RAN };
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
	row("capacity", "entries_of_a_journal", "keys", (double)journal.len,
	    NAN, NO_BOUND);
	row("capacity", "writes_for_a_window_of_1h_per_partition", "writes/s",
	    (double)journal.len * MEDLAR_SECOND / MEDLAR_HOUR, NAN, NO_BOUND);
	measure_codec(&journal);
	medlar_journal_finish(&journal);
}

static void print_outage(const model_t *model, const model_request_t *requests,
			 size_t len, int64_t back)
{
	int64_t first = INT64_MAX;
	int64_t latest = 0;
	size_t untrue = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		const model_request_t *request = &requests[i];

		if (request->told - request->sent > latest)
			latest = request->told - request->sent;
		if (request->answer.outcome == MEDLAR_WRITE_NOT_RUN)
			untrue += request->executions > 0;
		else if (request->told >= back && request->told < first)
			first = request->told;
	}
	row("store_down_60s", "answered_at_latest", "ms",
	    (double)latest / MODEL_US, NAN, (double)PATIENCE);
	row("store_down_60s", "untrue_not_run", "writes", (double)untrue, NAN,
	    0);
	row("store_down_60s", "first_success_after_return", "ms",
	    (double)(first - back) / MODEL_US, NAN, 2000);
	row("store_down_60s", "peak_store_calls", "calls/s",
	    (double)model->peak_calls, NAN, STORE_WRITES);
}

static void measure_outage(void)
{
	load_t load = load_of(4, 16, 400, SHARE * STORE_WRITES);
	size_t cap = 36000;
	model_request_t *requests = calloc(cap, sizeof(*requests));
	model_t model;
	int64_t back;
	size_t len;

	if (!requests)
		abort();
	model_init(&model, 1);
	add_instances(&model, &load);
	len = offer(&model, &load, requests, cap, 5 * SECOND_US);
	model.down = true;
	model.peak_calls = 0;
	len += offer(&model, &load, requests + len, cap - len, 65 * SECOND_US);
	model.down = false;
	back = model.now;
	len += offer(&model, &load, requests + len, cap - len, 75 * SECOND_US);
	model_run(&model, model.now + 2 * PATIENCE * MODEL_US);
	print_outage(&model, requests, len, back);
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
