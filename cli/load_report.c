/**
 * DOC: results of a run as a table, as JSON, and beside an earlier run
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

static const char *const fault_names[LOAD_FAULT_COUNT] = {
	[LOAD_MIXED] = "mixed",
	[LOAD_CROSSED] = "crossed",
	[LOAD_COVERAGE] = "wrong_coverage",
	[LOAD_DUPLICATE] = "duplicates",
	[LOAD_MALFORMED] = "malformed",
	[LOAD_DOUBLED] = "doubled",
	[LOAD_UNTRUE_NOT_RUN] = "untrue_not_run",
	[LOAD_UNTRUE_RAN] = "untrue_ran",
};

#define METRICS_MAX 40

/* A row of the result; a row of zeros is left out of the table. */
typedef struct metric {
	const char *name;
	double value;
} metric_t;

typedef struct summary {
	metric_t metrics[METRICS_MAX];
	size_t len;
} summary_t;

static void add(summary_t *summary, const char *name, double value)
{
	summary->metrics[summary->len++] = (metric_t){ name, value };
}

static double ratio(double a, double b)
{
	return b > 0 ? a / b : 0;
}

static uint64_t total(const load_stats_t *stats)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		sum += stats->outcomes[i];
	return sum;
}

static void summarise(load_stats_t *stats, double seconds, summary_t *summary)
{
	double count = (double)total(stats);
	double reads = (double)(stats->outcomes[LOAD_COMPLETE] +
				stats->outcomes[LOAD_PARTIAL] +
				stats->outcomes[LOAD_FAILED]);
	int i;

	summary->len = 0;
	add(summary, "count", count);
	add(summary, "p50_ms", load_series_quantile(&stats->latency, 0.5));
	add(summary, "p90_ms", load_series_quantile(&stats->latency, 0.9));
	add(summary, "p99_ms", load_series_quantile(&stats->latency, 0.99));
	add(summary, "p999_ms", load_series_quantile(&stats->latency, 0.999));
	add(summary, "max_ms", load_series_quantile(&stats->latency, 1));
	add(summary, "refused_p99_ms",
	    load_series_quantile(&stats->refused, 0.99));
	add(summary, "goodput", (double)stats->in_time / seconds);
	add(summary, "coverage", ratio(stats->coverage, reads));
	add(summary, "sends_per_needed",
	    ratio((double)stats->sends, (double)stats->needed));
	add(summary, "sends", (double)stats->sends);
	add(summary, "resent", (double)stats->resent);
	add(summary, "replayed", (double)stats->replayed);
	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		add(summary, outcome_names[i], (double)stats->outcomes[i]);
	for (i = 0; i < LOAD_FAULT_COUNT; i++)
		add(summary, fault_names[i], (double)stats->faults[i]);
}

static void merge(load_stats_t *to, const load_stats_t *from)
{
	int i;

	load_series_merge(&to->latency, &from->latency);
	load_series_merge(&to->refused, &from->refused);
	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		to->outcomes[i] += from->outcomes[i];
	for (i = 0; i < LOAD_FAULT_COUNT; i++)
		to->faults[i] += from->faults[i];
	to->in_time += from->in_time;
	to->coverage += from->coverage;
	to->resent += from->resent;
	to->sends += from->sends;
	to->needed += from->needed;
	to->replayed += from->replayed;
}

/* One line for each kind of request, so that line tools can read it. */
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
		double any = 0;

		for (i = 0; i < count; i++)
			any += summaries[i].metrics[k].value;
		if (any == 0)
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
	FILE *out = fopen(load->options->json, "w");

	if (!out) {
		perror(load->options->json);
		return MEDLAR_ERR_IO;
	}
	write_json(load, names, summaries, count, out);
	return fclose(out) ? MEDLAR_ERR_IO : MEDLAR_OK;
}

static int print(const load_t *load, const char *const *names,
		 const summary_t *summaries, size_t count)
{
	const load_options_t *options = load->options;
	int err = MEDLAR_OK;

	if (options->json && !strcmp(options->json, "-")) {
		write_json(load, names, summaries, count, stdout);
		return MEDLAR_OK;
	}
	print_table(names, summaries, count);
	if (options->json)
		err = write_file(load, names, summaries, count);
	if (!err && options->compare)
		err = print_comparison(options->compare, names[count - 1],
				       &summaries[count - 1]);
	return err;
}

static bool any_fault(const load_stats_t *stats)
{
	int i;

	for (i = 0; i < LOAD_FAULT_COUNT; i++) {
		if (stats->faults[i] > 0)
			return true;
	}
	return false;
}

/**
 * load_report() - print the results
 * @load: a run that has ended
 *
 * Return: %MEDLAR_OK, a negative error, or %MEDLAR_ERR_PROTOCOL if an answer
 * of medlard was untrue.
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

		if (total(stats) == 0)
			continue;
		merge(&all, stats);
		names[count] = kind_names[i];
		summarise(stats, load->options->duration_s, &summaries[count]);
		count++;
	}
	names[count] = "total";
	summarise(&all, load->options->duration_s, &summaries[count]);
	err = print(load, names, summaries, count + 1);
	if (!err && !load->options->naive && any_fault(&all))
		err = MEDLAR_ERR_PROTOCOL;
	free(all.latency.values);
	free(all.refused.values);
	return err;
}

/**
 * load_progress() - show the state of a run on a terminal
 * @load: run
 */
void load_progress(load_t *load)
{
	medlar_time_t now = load_now();

	if (!isatty(STDERR_FILENO) ||
	    now - load->shown_progress < PROGRESS_PERIOD)
		return;
	load->shown_progress = now;
	fprintf(stderr, "\r%6.1f s  %llu sent  %llu waiting ",
		(double)(now - load->started) / (double)LOAD_SECOND,
		(unsigned long long)load->sequence,
		(unsigned long long)load->pending);
}
