/**
 * DOC: capacity, the figures of docs/CAPACITY.md
 *
 * Reads the rows that bench/run has written, fits slopes through them, and
 * prints tables in Markdown for the size in CONTRIBUTING.md. A row that is
 * missing is printed as such; nothing is filled in.
 */
#include <json.h>
#include <math.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* The size to design for. */
#define INSTANCES 5300.0
#define REPLICAS 83000.0
#define QUERIES 2.2e6 /* queries/s */
#define FANOUT 190.0 /* sub-requests a query */
#define REPLICA_CONNECTIONS 25.0
#define CONFIG_CHANGES 10000.0 /* a day */
#define REPLACEMENTS 17000.0 /* a day */
#define FAILURES 490.0 /* a day */
#define ZONES 10.0
#define REGIONS 3.0
#define DAY 86400.0 /* seconds */

/* What an instance may spend on control. */
#define CONTROL_BYTES 3000.0 /* bytes/s */
#define CONTROL_CPU 2.0 /* percent of a core */
#define CONTROL_MEMORY 128.0 /* MB */

/* The key-value service, calls a second. */
#define STORE_WRITES 300.0
#define STORE_READS 2000.0

#define LATENCY 0.05 /* seconds that a sub-request is in flight */
#define POINTS_MAX 8
#define NAME_MAX_BYTES 128
#define MICROSECONDS 1e6
#define NANOSECONDS 1e9
#define MEGABYTE 1e6
#define PERCENT 100.0

/**
 * struct fit - a straight line through measured points
 * @slope: change of y for one x
 * @base: y at 0
 * @error: largest distance of a point from the line, share of the largest y
 * @points: number of points
 */
typedef struct fit {
	double slope;
	double base;
	double error;
	size_t points;
} fit_t;

static struct json_object *find(struct json_object *rows, const char *name,
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
static double value_of(struct json_object *rows, const char *name,
		       const char *metric)
{
	struct json_object *row = find(rows, name, metric);
	struct json_object *value = row ? json_object_object_get(row, "value")
					: NULL;

	return value ? json_object_get_double(value) : NAN;
}

static fit_t fit_line(const double *x, const double *y, size_t len)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, most = 0;
	double n = (double)len;
	fit_t fit = { .points = len };

	for (size_t i = 0; i < len; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
		most = fmax(most, fabs(y[i]));
	}
	fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	fit.base = (sy - fit.slope * sx) / n;
	for (size_t i = 0; i < len; i++)
		fit.error = fmax(fit.error,
				 fabs(fit.base + fit.slope * x[i] - y[i]) /
					 most);
	return fit;
}

static fit_t fit_members(struct json_object *rows, const char *metric)
{
	static const double sizes[] = { 4, 64, 512, INSTANCES };
	double x[POINTS_MAX];
	double y[POINTS_MAX];
	char name[NAME_MAX_BYTES];
	size_t len = 0;

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		snprintf(name, sizeof(name), "membership of %.0f instances",
			 sizes[i]);
		x[len] = sizes[i];
		y[len] = value_of(rows, name, metric);
		if (!isnan(y[len]))
			len++;
	}
	return fit_line(x, y, len);
}

__attribute__((format(printf, 1, 2))) static void line(const char *format, ...)
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

static void print_arithmetic(void)
{
	puts("### What the size comes to\n\n| what | figure |\n|---|---|");
	line("| sub-requests, all | %.0f M/s |", QUERIES * FANOUT / 1e6);
	line("| sub-requests, a replica | %.0f /s |",
	     QUERIES * FANOUT / REPLICAS);
	line("| sub-requests, an instance | %.0f /s |",
	     QUERIES * FANOUT / INSTANCES);
	line("| queries, an instance | %.0f /s |", QUERIES / INSTANCES);
	line("| replica connections, an instance's part | %.0f |",
	     REPLICA_CONNECTIONS * REPLICAS / INSTANCES);
	line("| a shard must be in time | %.4f%% of requests |",
	     PERCENT * pow(0.99, 1 / FANOUT));
	line("| configuration changes | one in %.1f s, so %.0f KB each at 3 "
	     "KB/s |",
	     DAY / CONFIG_CHANGES, DAY / CONFIG_CHANGES * CONTROL_BYTES / 1e3);
	line("| replacements | one in %.1f s |", DAY / REPLACEMENTS);
	line("| failures | one in %.0f s |", DAY / FAILURES);
	puts("");
}

static void print_entry(struct json_object *rows)
{
	double core = value_of(rows, "query_190_shards_new",
			       "core_cpu_per_query");
	double path = value_of(rows, "30-shards-at-most", "cpu-a-sub-request");
	double attempt = value_of(rows, "query_190_shards",
				  "bytes_per_subrequest_in_flight");
	double part = value_of(rows, "query_190_shards",
			       "bytes_per_part_of_a_query");
	double subs = QUERIES * FANOUT / INSTANCES;

	puts("### Entry instance, reads\n\n| what | measured | at the size |\n"
	     "|---|---|---|");
	line("| decisions of the core | %.1f us a query of 190 | %.1f%% of a "
	     "core |",
	     core, core * QUERIES / INSTANCES / MICROSECONDS * PERCENT);
	line("| whole path with HTTP | %.0f us a sub-request | %.1f cores |",
	     path, path * subs / MICROSECONDS);
	line("| state in flight | %.0f + %.0f bytes a sub-request | %.2f MB |",
	     attempt, part, (attempt + part) * subs * LATENCY / MEGABYTE);
	line("| idle process | %.1f MB | the same |",
	     value_of(rows, "idle", "resident-memory"));
	puts("");
}

static void print_upstreams(struct json_object *rows)
{
	static const char fleet[] = "membership of 5300 instances";
	double hot = value_of(rows, "state of a replica",
			      "read by each request");
	double all = value_of(rows, fleet, "memory of 83,000 replicas");
	double lost = value_of(rows, fleet,
			       "shares of 83,000 replicas, one instance less");
	double pick = value_of(rows, "pick at 437 replicas a shard", "choice");

	puts("### Upstreams and their connections\n\n"
	     "| what | measured | at the size |\n|---|---|---|");
	line("| state | %.0f bytes read by each request | %.1f MB for all "
	     "83,000 |",
	     hot, all);
	line("| choice at 437 a shard | %.0f ns | %.1f%% of a core |", pick,
	     pick * QUERIES * FANOUT / INSTANCES / NANOSECONDS * PERCENT);
	line("| shares after one instance is lost | %.1f ms | %.3f%% of a core "
	     "at %.0f losses and replacements a day |",
	     lost, lost / 1e3 * 2 * (FAILURES + REPLACEMENTS) / DAY * PERCENT,
	     FAILURES + REPLACEMENTS);
	line("| shares when an availability zone is lost | %.1f ms for each "
	     "instance | %.1f s of a core, spread over the hold |",
	     lost, lost / 1e3 * INSTANCES / ZONES);
	puts("");
}

static void print_members(struct json_object *rows)
{
	static const struct {
		const char *metric;
		const char *unit;
		double bound;
	} metrics[] = {
		{ "processor time", "% of a core", CONTROL_CPU },
		{ "sent", "bytes/s", CONTROL_BYTES },
		{ "received", "bytes/s", CONTROL_BYTES },
		{ "memory", "MB", CONTROL_MEMORY },
	};

	puts("### Membership and configuration\n\n"
	     "| what | at 5,300, measured | slope an instance | error of the "
	     "line | at 2 x | at 10 x | bound |\n|---|---|---|---|---|---|---|");
	for (size_t i = 0; i < sizeof(metrics) / sizeof(metrics[0]); i++) {
		fit_t fit = fit_members(rows, metrics[i].metric);

		line("| %s, %s | %.4g | %.3g | %.0f%% of %zu points | %.4g | "
		     "%.4g | %.0f |",
		     metrics[i].metric, metrics[i].unit,
		     value_of(rows, "membership of 5300 instances",
			      metrics[i].metric),
		     fit.slope, PERCENT * fit.error, fit.points,
		     fit.base + fit.slope * 2 * INSTANCES,
		     fit.base + fit.slope * 10 * INSTANCES, metrics[i].bound);
	}
	puts("");
}

static void print_store(struct json_object *rows)
{
	double writes = value_of(rows, "throughput", "writes");
	double share = value_of(rows, "throughput", "share_of_store_writes");
	double naive = 0.4 * STORE_WRITES;

	puts("### The key-value service\n\n| what | measured | limit |\n"
	     "|---|---|---|");
	line("| distinct keyed writes at %.0f%% of the store's writes | %.0f /s "
	     "over 4 instances | %.0f /s with one call each |",
	     PERCENT * share, writes, naive);
	line("| the same with 8 and 16 busy instances | %.0f and %.0f /s | |",
	     value_of(rows, "instances_8", "writes"),
	     value_of(rows, "instances_16", "writes"));
	line("| idle calls of 4 instances | %.1f /s | %.0f reads/s |",
	     value_of(rows, "kraisorn/idle", "store-calls"), STORE_READS);
	line("| the same by each of 5,300, without pacing | %.0f /s | %.0f reads/s |",
	     value_of(rows, "kraisorn/idle", "store-calls") / 4 * INSTANCES,
	     STORE_READS);
	line("| configuration commits | %.2f /s | %.0f writes/s |",
	     CONFIG_CHANGES / DAY, STORE_WRITES);
	puts("");
}

static void print_days(void)
{
	puts("### Days with failures\n\n"
	     "| event | how often | instances | share of capacity |\n"
	     "|---|---|---|---|");
	line("| instance fails | one in %.0f s | 1 | %.3f%% |", DAY / FAILURES,
	     PERCENT / INSTANCES);
	line("| instance or replica replaced | one in %.1f s | 1 | %.3f%% |",
	     DAY / REPLACEMENTS, PERCENT / INSTANCES);
	line("| availability zone lost | every other month | %.0f | %.0f%% |",
	     INSTANCES / ZONES, PERCENT / ZONES);
	line("| a region cut off for an hour | now and then | %.0f | %.0f%% |",
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
	print_arithmetic();
	print_entry(rows);
	print_upstreams(rows);
	print_members(rows);
	print_store(rows);
	print_days();
	json_object_put(rows);
	return 0;
}
