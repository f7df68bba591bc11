/**
 * DOC: results of a run, as a table, as JSON and compared with an earlier run
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli/load.h"

#define PROGRESS_PERIOD (LOAD_SECOND / 2)

static const char *const kind_names[LOAD_KIND_COUNT] = {
	[LOAD_SEARCH] = "search",
	[LOAD_LOOKUP] = "lookup",
	[LOAD_WRITE] = "write",
};

static const char *const outcome_names[LOAD_OUTCOME_COUNT] = {
	[LOAD_COMPLETE] = "complete",
	[LOAD_PARTIAL] = "partial",
	[LOAD_RAN] = "ran",
	[LOAD_NOT_RUN] = "not_run",
	[LOAD_FAILED] = "failed",
	[LOAD_UNKNOWN] = "unknown",
	[LOAD_NO_ANSWER] = "no_answer",
};

static const char *const violation_names[LOAD_VIOLATION_COUNT] = {
	[LOAD_VIOLATION_MIXED_VERSIONS] = "mixed",
	[LOAD_VIOLATION_OTHER_REQUEST] = "crossed",
	[LOAD_VIOLATION_COVERAGE] = "wrong_coverage",
	[LOAD_VIOLATION_DUPLICATE] = "duplicates",
	[LOAD_VIOLATION_MALFORMED] = "malformed",
	[LOAD_VIOLATION_EXECUTED_TWICE] = "doubled",
	[LOAD_VIOLATION_NOT_RUN_EXECUTED] = "untrue_not_run",
	[LOAD_VIOLATION_RAN_NOT_EXECUTED] = "untrue_ran",
};

#define METRICS_MAX 40

/* A row of the results; the table omits rows that are all 0. */
typedef struct metric {
	const char *name;
	double value;
} metric_t;

typedef struct summary {
	metric_t metrics[METRICS_MAX];
	size_t len;
} summary_t;

static void add_metric(summary_t *summary, const char *name, double value)
{
	summary->metrics[summary->len++] = (metric_t){ name, value };
}

static double ratio(double a, double b)
{
	return b > 0 ? a / b : 0;
}

static uint64_t count_requests(const load_stats_t *stats)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		sum += stats->outcomes[i];
	return sum;
}

static void summarise_stats(load_stats_t *stats, double seconds,
			    summary_t *summary)
{
	double count = (double)count_requests(stats);
	double reads = (double)(stats->outcomes[LOAD_COMPLETE] +
				stats->outcomes[LOAD_PARTIAL] +
				stats->outcomes[LOAD_FAILED]);
	int i;

	summary->len = 0;
	add_metric(summary, "count", count);
	add_metric(summary, "p50_ms",
		   load_series_quantile(&stats->latency, 0.5));
	add_metric(summary, "p90_ms",
		   load_series_quantile(&stats->latency, 0.9));
	add_metric(summary, "p99_ms",
		   load_series_quantile(&stats->latency, 0.99));
	add_metric(summary, "p999_ms",
		   load_series_quantile(&stats->latency, 0.999));
	add_metric(summary, "max_ms", load_series_quantile(&stats->latency, 1));
	add_metric(summary, "refused_p99_ms",
		   load_series_quantile(&stats->refused_latency, 0.99));
	add_metric(summary, "goodput", (double)stats->goodput_count / seconds);
	add_metric(summary, "coverage", ratio(stats->coverage_sum, reads));
	add_metric(summary, "sends_per_needed",
		   ratio((double)stats->sends, (double)stats->sends_needed));
	add_metric(summary, "sends", (double)stats->sends);
	add_metric(summary, "resent", (double)stats->resent);
	add_metric(summary, "replayed", (double)stats->replayed);
	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		add_metric(summary, outcome_names[i],
			   (double)stats->outcomes[i]);
	for (i = 0; i < LOAD_VIOLATION_COUNT; i++)
		add_metric(summary, violation_names[i],
			   (double)stats->violations[i]);
}

static void merge_stats(load_stats_t *to, const load_stats_t *from)
{
	int i;

	load_series_merge(&to->latency, &from->latency);
	load_series_merge(&to->refused_latency, &from->refused_latency);
	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		to->outcomes[i] += from->outcomes[i];
	for (i = 0; i < LOAD_VIOLATION_COUNT; i++)
		to->violations[i] += from->violations[i];
	to->goodput_count += from->goodput_count;
	to->coverage_sum += from->coverage_sum;
	to->resent += from->resent;
	to->sends += from->sends;
	to->sends_needed += from->sends_needed;
	to->replayed += from->replayed;
}

/* Writes one line per kind of request, for line-oriented tools. */
static void write_json(const load_t *load, const char *const *names,
		       const summary_t *summaries, size_t count, FILE *out)
{
	const load_options_t *options = load->options;
	size_t i;
	size_t k;

	fprintf(out,
		"{\"service\":\"%s\",\"client\":\"%s\",\"rate\":%g,"
		"\"duration_s\":%g,\"seed\":%llu",
		options->site ? "site" : options->service,
		options->naive ? "naive" : "medlard", options->rate,
		options->duration_s, (unsigned long long)options->seed);
	for (i = 0; i < count; i++) {
		fprintf(out, ",\n\"%s\":{", names[i]);
		for (k = 0; k < summaries[i].len; k++)
			fprintf(out, "%s\"%s\":%.10g", k ? "," : "",
				summaries[i].metrics[k].name,
				summaries[i].metrics[k].value);
		fprintf(out, "}");
	}
	fprintf(out, "}\n");
}

static void print_table(const char *const *names, const summary_t *summaries,
			size_t count)
{
	size_t i;
	size_t k;

	printf("%-18s", "");
	for (i = 0; i < count; i++)
		printf("%14s", names[i]);
	printf("\n");
	for (k = 0; k < summaries[0].len; k++) {
		double sum = 0;

		for (i = 0; i < count; i++)
			sum += summaries[i].metrics[k].value;
		if (sum == 0)
			continue;
		printf("%-18s", summaries[0].metrics[k].name);
		for (i = 0; i < count; i++)
			printf("%14.6g", summaries[i].metrics[k].value);
		printf("\n");
	}
}

static int print_comparison(const char *file, const char *name,
			    const summary_t *summary)
{
	struct json_object *json = json_object_from_file(file);
	struct json_object *before;
	size_t i;

	if (!json_object_object_get_ex(json, name, &before)) {
		fprintf(stderr, "medlarload: %s: no result to compare with\n",
			file);
		json_object_put(json);
		return MEDLAR_ERR_SYNTAX;
	}
	printf("\n%-18s%14s%14s%14s\n", "", "before", "now", "ratio");
	for (i = 0; i < summary->len; i++) {
		const metric_t *metric = &summary->metrics[i];
		double old = json_object_get_double(
			json_object_object_get(before, metric->name));

		if (old == 0 && metric->value == 0)
			continue;
		printf("%-18s%14.6g%14.6g%14.3f\n", metric->name, old,
		       metric->value, ratio(metric->value, old));
	}
	json_object_put(json);
	return MEDLAR_OK;
}

static int write_file(const load_t *load, const char *const *names,
		      const summary_t *summaries, size_t count)
{
	FILE *out = fopen(load->options->json_file, "w");

	if (!out) {
		perror(load->options->json_file);
		return MEDLAR_ERR_IO;
	}
	write_json(load, names, summaries, count, out);
	return fclose(out) ? MEDLAR_ERR_IO : MEDLAR_OK;
}

static int print_results(const load_t *load, const char *const *names,
			 const summary_t *summaries, size_t count)
{
	const load_options_t *options = load->options;
	int err = MEDLAR_OK;

	if (options->json_file && !strcmp(options->json_file, "-")) {
		write_json(load, names, summaries, count, stdout);
		return MEDLAR_OK;
	}
	print_table(names, summaries, count);
	if (options->json_file)
		err = write_file(load, names, summaries, count);
	if (!err && options->compare_file)
		err = print_comparison(options->compare_file, names[count - 1],
				       &summaries[count - 1]);
	return err;
}

static bool has_violation(const load_stats_t *stats)
{
	int i;

	for (i = 0; i < LOAD_VIOLATION_COUNT; i++) {
		if (stats->violations[i] > 0)
			return true;
	}
	return false;
}

/**
 * load_report() - print the results of a run, as its options say
 * @load: run that has ended
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_IO or %MEDLAR_ERR_SYNTAX for a result file
 * that cannot be written or compared with; %MEDLAR_ERR_PROTOCOL if medlard has
 * violated a guarantee.
 */
int load_report(load_t *load)
{
	const char *names[LOAD_KIND_COUNT + 1];
	summary_t summaries[LOAD_KIND_COUNT + 1];
	load_stats_t all = { 0 };
	size_t count = 0;
	int err;
	int i;

	for (i = 0; i < LOAD_KIND_COUNT; i++) {
		load_stats_t *stats = &load->stats[i];

		if (count_requests(stats) == 0)
			continue;
		merge_stats(&all, stats);
		names[count] = kind_names[i];
		summarise_stats(stats, load->options->duration_s,
				&summaries[count]);
		count++;
	}
	names[count] = "total";
	summarise_stats(&all, load->options->duration_s, &summaries[count]);
	err = print_results(load, names, summaries, count + 1);
	if (!err && !load->options->naive && has_violation(&all))
		err = MEDLAR_ERR_PROTOCOL;
	free(all.latency.values);
	free(all.refused_latency.values);
	return err;
}

/**
 * load_progress() - print the progress of a run if standard error is a terminal
 * @load: run; it prints at most once every half second
 */
void load_progress(load_t *load)
{
	medlar_time_t now = load_now();

	if (!isatty(STDERR_FILENO) ||
	    now - load->progress_shown_at < PROGRESS_PERIOD)
		return;
	load->progress_shown_at = now;
	fprintf(stderr, "\r%6.1f s  %llu started  %llu pending ",
		(double)(now - load->started_at) / (double)LOAD_SECOND,
		(unsigned long long)load->requests_made,
		(unsigned long long)load->pending);
}
