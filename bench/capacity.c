/**
 * DOC: computes the tables of docs/CAPACITY.md
 *
 * Reads the rows that bench/run has written, fits straight lines through them
 * and prints tables in Markdown for the fleet size in CONTRIBUTING.md. A value
 * that was not measured is reported as missing and never estimated.
 */
#include <json.h>
#include <math.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* The fleet size to design for, as in CONTRIBUTING.md. */
#define INSTANCES 5300.0
#define REPLICAS 83000.0
#define QUERIES_PER_S 2.2e6
#define FANOUT 190.0 /* sub-requests of a query */
#define REPLICA_CONNECTIONS 25.0
#define CONFIG_CHANGES_PER_DAY 10000.0
#define REPLACEMENTS_PER_DAY 17000.0
#define FAILURES_PER_DAY 490.0
#define ZONES 10.0
#define REGIONS 3.0
#define DAY_S 86400.0

/* Limits of an instance for membership and configuration. */
#define CONTROL_BYTES_PER_S 3000.0
#define CONTROL_CPU_PERCENT 2.0 /* of a core */
#define CONTROL_MEMORY_MB 128.0

/* Limits of the key-value service. */
#define STORE_WRITES_PER_S 300.0
#define STORE_READS_PER_S 2000.0

#define SUB_REQUEST_S 0.05 /* time that a sub-request is in flight */
#define POINTS_MAX 8
#define CASE_NAME_SIZE 128
#define MICROSECONDS 1e6
#define NANOSECONDS 1e9
#define MEGABYTE 1e6
#define PERCENT 100.0

/**
 * struct fit - a straight line through measured points
 * @slope: change of y for one x
 * @intercept: y at 0
 * @deviation: largest distance of a point from the line, as a share of the
 *             largest y
 * @points: number of points
 */
typedef struct fit {
	double slope;
	double intercept;
	double deviation;
	size_t points;
} fit_t;

static struct json_object *find_row(struct json_object *rows, const char *name,
				    const char *metric)
{
	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);
		const char *case_name = json_object_get_string(
			json_object_object_get(row, "case"));
		const char *metric_name = json_object_get_string(
			json_object_object_get(row, "metric"));

		if (case_name && metric_name && strcmp(case_name, name) == 0 &&
		    strcmp(metric_name, metric) == 0)
			return row;
	}
	return NULL;
}

/* The value of a row, NAN when it was not measured. */
static double row_value(struct json_object *rows, const char *name,
			const char *metric)
{
	struct json_object *row = find_row(rows, name, metric);
	struct json_object *value = row ? json_object_object_get(row, "value")
					: NULL;

	return value ? json_object_get_double(value) : NAN;
}

static fit_t fit_points(const double *x, const double *y, size_t len)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, max_y = 0;
	double n = (double)len;
	fit_t fit = { .points = len };

	for (size_t i = 0; i < len; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
		max_y = fmax(max_y, fabs(y[i]));
	}
	fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	fit.intercept = (sy - fit.slope * sx) / n;
	for (size_t i = 0; i < len; i++)
		fit.deviation = fmax(
			fit.deviation,
			fabs(fit.intercept + fit.slope * x[i] - y[i]) / max_y);
	return fit;
}

static fit_t fit_membership(struct json_object *rows, const char *metric)
{
	static const double sizes[] = { 4, 64, 512, INSTANCES };
	double x[POINTS_MAX];
	double y[POINTS_MAX];
	char name[CASE_NAME_SIZE];
	size_t len = 0;

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		snprintf(name, sizeof(name), "membership of %.0f instances",
			 sizes[i]);
		x[len] = sizes[i];
		y[len] = row_value(rows, name, metric);
		if (!isnan(y[len]))
			len++;
	}
	return fit_points(x, y, len);
}

__attribute__((format(printf, 1, 2))) static void print_line(const char *format,
							     ...)
{
	char text[512];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	if (strstr(text, "nan"))
		fputs("| not measured in this run: ", stdout);
	puts(text);
}

static void print_totals(void)
{
	puts("### What the size comes to\n\n| what | figure |\n|---|---|");
	print_line("| sub-requests, all | %.0f M/s |",
		   QUERIES_PER_S * FANOUT / 1e6);
	print_line("| sub-requests, a replica | %.0f /s |",
		   QUERIES_PER_S * FANOUT / REPLICAS);
	print_line("| sub-requests, an instance | %.0f /s |",
		   QUERIES_PER_S * FANOUT / INSTANCES);
	print_line("| queries, an instance | %.0f /s |",
		   QUERIES_PER_S / INSTANCES);
	print_line("| replica connections, an instance's part | %.0f |",
		   REPLICA_CONNECTIONS * REPLICAS / INSTANCES);
	print_line("| a shard must be in time | %.4f%% of requests |",
		   PERCENT * pow(0.99, 1 / FANOUT));
	print_line(
		"| configuration changes | one in %.1f s, so %.0f KB each at 3 "
		"KB/s |",
		DAY_S / CONFIG_CHANGES_PER_DAY,
		DAY_S / CONFIG_CHANGES_PER_DAY * CONTROL_BYTES_PER_S / 1e3);
	print_line("| replacements | one in %.1f s |",
		   DAY_S / REPLACEMENTS_PER_DAY);
	print_line("| failures | one in %.0f s |", DAY_S / FAILURES_PER_DAY);
	puts("");
}

static void print_entry_instance(struct json_object *rows)
{
	double core_us = row_value(rows, "query_190_shards_new",
				   "core_cpu_per_query");
	double path_us = row_value(rows, "30-shards-at-most",
				   "cpu-a-sub-request");
	double attempt_bytes = row_value(rows, "query_190_shards",
					 "bytes_per_subrequest_in_flight");
	double part_bytes = row_value(rows, "query_190_shards",
				      "bytes_per_part_of_a_query");
	double sub_requests_per_s = QUERIES_PER_S * FANOUT / INSTANCES;

	puts("### Entry instance, reads\n\n| what | measured | at the size |\n"
	     "|---|---|---|");
	print_line(
		"| decisions of the core | %.1f us a query of 190 | %.1f%% of a "
		"core |",
		core_us,
		core_us * QUERIES_PER_S / INSTANCES / MICROSECONDS * PERCENT);
	print_line(
		"| whole path with HTTP | %.0f us a sub-request | %.1f cores |",
		path_us, path_us * sub_requests_per_s / MICROSECONDS);
	print_line(
		"| state in flight | %.0f + %.0f bytes a sub-request | %.2f MB |",
		attempt_bytes, part_bytes,
		(attempt_bytes + part_bytes) * sub_requests_per_s *
			SUB_REQUEST_S / MEGABYTE);
	print_line("| idle process | %.1f MB | the same |",
		   row_value(rows, "idle", "resident-memory"));
	puts("");
}

static void print_upstreams(struct json_object *rows)
{
	static const char fleet[] = "membership of 5300 instances";
	double hot_bytes = row_value(rows, "state of a replica",
				     "read by each request");
	double all_mb = row_value(rows, fleet, "memory of 83,000 replicas");
	double shares_ms = row_value(
		rows, fleet, "shares of 83,000 replicas, one instance less");
	double pick_ns = row_value(rows, "pick at 437 replicas a shard",
				   "choice");

	puts("### Upstreams and their connections\n\n"
	     "| what | measured | at the size |\n|---|---|---|");
	print_line(
		"| state | %.0f bytes read by each request | %.1f MB for all "
		"83,000 |",
		hot_bytes, all_mb);
	print_line("| choice at 437 a shard | %.0f ns | %.1f%% of a core |",
		   pick_ns,
		   pick_ns * QUERIES_PER_S * FANOUT / INSTANCES / NANOSECONDS *
			   PERCENT);
	print_line(
		"| shares after one instance is lost | %.1f ms | %.3f%% of a core "
		"at %.0f losses and replacements a day |",
		shares_ms,
		shares_ms / 1e3 * 2 *
			(FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) / DAY_S *
			PERCENT,
		FAILURES_PER_DAY + REPLACEMENTS_PER_DAY);
	print_line(
		"| shares when an availability zone is lost | %.1f ms for each "
		"instance | %.1f s of a core, spread over the hold |",
		shares_ms, shares_ms / 1e3 * INSTANCES / ZONES);
	puts("");
}

static void print_membership(struct json_object *rows)
{
	static const struct {
		const char *metric;
		const char *unit;
		double bound;
	} metrics[] = {
		{ "processor time", "% of a core", CONTROL_CPU_PERCENT },
		{ "sent", "bytes/s", CONTROL_BYTES_PER_S },
		{ "received", "bytes/s", CONTROL_BYTES_PER_S },
		{ "memory", "MB", CONTROL_MEMORY_MB },
	};

	puts("### Membership and configuration\n\n"
	     "| what | at 5,300, measured | slope an instance | error of the "
	     "line | at 2 x | at 10 x | bound |\n|---|---|---|---|---|---|---|");
	for (size_t i = 0; i < sizeof(metrics) / sizeof(metrics[0]); i++) {
		fit_t fit = fit_membership(rows, metrics[i].metric);

		print_line(
			"| %s, %s | %.4g | %.3g | %.0f%% of %zu points | %.4g | "
			"%.4g | %.0f |",
			metrics[i].metric, metrics[i].unit,
			row_value(rows, "membership of 5300 instances",
				  metrics[i].metric),
			fit.slope, PERCENT * fit.deviation, fit.points,
			fit.intercept + fit.slope * 2 * INSTANCES,
			fit.intercept + fit.slope * 10 * INSTANCES,
			metrics[i].bound);
	}
	puts("");
}

static void print_store(struct json_object *rows)
{
	double writes = row_value(rows, "throughput", "writes");
	double share = row_value(rows, "throughput", "share_of_store_writes");
	double naive_writes = 0.4 * STORE_WRITES_PER_S;

	puts("### The key-value service\n\n| what | measured | limit |\n"
	     "|---|---|---|");
	print_line(
		"| distinct keyed writes at %.0f%% of the store's writes | %.0f /s "
		"over 4 instances | %.0f /s with one call each |",
		PERCENT * share, writes, naive_writes);
	print_line(
		"| the same with 8 and 16 busy instances | %.0f and %.0f /s | |",
		row_value(rows, "instances_8", "writes"),
		row_value(rows, "instances_16", "writes"));
	print_line("| idle calls of 4 instances | %.1f /s | %.0f reads/s |",
		   row_value(rows, "kraisorn/idle", "store-calls"),
		   STORE_READS_PER_S);
	print_line(
		"| the same by each of 5,300, without pacing | %.0f /s | %.0f reads/s |",
		row_value(rows, "kraisorn/idle", "store-calls") / 4 * INSTANCES,
		STORE_READS_PER_S);
	print_line("| configuration commits | %.2f /s | %.0f writes/s |",
		   CONFIG_CHANGES_PER_DAY / DAY_S, STORE_WRITES_PER_S);
	puts("");
}

static void print_failures(void)
{
	puts("### Days with failures\n\n"
	     "| event | how often | instances | share of capacity |\n"
	     "|---|---|---|---|");
	print_line("| instance fails | one in %.0f s | 1 | %.3f%% |",
		   DAY_S / FAILURES_PER_DAY, PERCENT / INSTANCES);
	print_line(
		"| instance or replica replaced | one in %.1f s | 1 | %.3f%% |",
		DAY_S / REPLACEMENTS_PER_DAY, PERCENT / INSTANCES);
	print_line(
		"| availability zone lost | every other month | %.0f | %.0f%% |",
		INSTANCES / ZONES, PERCENT / ZONES);
	print_line(
		"| a region cut off for an hour | now and then | %.0f | %.0f%% |",
		INSTANCES / REGIONS, PERCENT / REGIONS);
}

int main(int argc, char **argv)
{
	struct json_object *rows;

	if (argc != 2) {
		fprintf(stderr, "usage: capacity BENCH_JSON\n");
		return 2;
	}
	rows = json_object_from_file(argv[1]);
	if (!json_object_is_type(rows, json_type_array)) {
		fprintf(stderr,
			"capacity: %s: not an array of rows; run make "
			"bench first\n",
			argv[1]);
		json_object_put(rows);
		return 1;
	}
	print_totals();
	print_entry_instance(rows);
	print_upstreams(rows);
	print_membership(rows);
	print_store(rows);
	print_failures();
	json_object_put(rows);
	return 0;
}
