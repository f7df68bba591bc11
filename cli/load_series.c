/**
 * DOC: latency samples and exact quantiles
 */
#include <stdlib.h>

#include "cli/load.h"

#define CAP_MIN 1024

/**
 * load_series_add() - append a sample
 * @series: series
 * @value: latency, milliseconds
 */
void load_series_add(load_series_t *series, double value)
{
	if (series->len == series->cap) {
		series->cap = series->cap ? 2 * series->cap : CAP_MIN;
		series->values = realloc(series->values,
					 series->cap * sizeof(double));
		if (!series->values)
			abort();
	}
	series->values[series->len++] = value;
}

static int compare_samples(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/**
 * load_series_quantile() - compute a quantile of the samples
 * @series: series; this call sorts it
 * @quantile: 0 to 1
 *
 * Return: the smallest sample such that at least this share of all samples does
 * not exceed it, milliseconds; 0 without samples.
 */
double load_series_quantile(load_series_t *series, double quantile)
{
	double rank = quantile * (double)series->len;
	size_t index = (size_t)rank;

	if (series->len == 0)
		return 0;
	qsort(series->values, series->len, sizeof(double), compare_samples);
	if ((double)index == rank && index > 0)
		index--;
	if (index >= series->len)
		index = series->len - 1;
	return series->values[index];
}

/**
 * load_series_merge() - append all samples of another series
 * @to: series to append to
 * @from: series to copy
 */
void load_series_merge(load_series_t *to, const load_series_t *from)
{
	size_t i;

	for (i = 0; i < from->len; i++)
		load_series_add(to, from->values[i]);
}
