/**
 * DOC: merging the largest records of several parts
 *
 * A min-heap holds the largest records seen so far, so that most records cost a
 * single comparison with its root.
 */
#include <stdlib.h>
#include <string.h>

#include "libroute/records.h"

typedef struct heap {
	const char **records;
	size_t len;
	size_t max;
} heap_t;

static bool is_less(const char *a, const char *b)
{
	return memcmp(a, b, RECORD_LEN) < 0;
}

static void sift_up(heap_t *heap, size_t at)
{
	while (at > 0) {
		size_t parent = (at - 1) / 2;
		const char *record = heap->records[at];

		if (!is_less(record, heap->records[parent]))
			return;
		heap->records[at] = heap->records[parent];
		heap->records[parent] = record;
		at = parent;
	}
}

static void sift_down(heap_t *heap)
{
	size_t at = 0;

	for (;;) {
		size_t child = 2 * at + 1;
		const char *record = heap->records[at];

		if (child >= heap->len)
			return;
		if (child + 1 < heap->len &&
		    is_less(heap->records[child + 1], heap->records[child]))
			child++;
		if (!is_less(heap->records[child], record))
			return;
		heap->records[at] = heap->records[child];
		heap->records[child] = record;
		at = child;
	}
}

static void heap_offer(heap_t *heap, const char *record)
{
	if (heap->len < heap->max) {
		heap->records[heap->len++] = record;
		sift_up(heap, heap->len - 1);
	} else if (is_less(heap->records[0], record)) {
		heap->records[0] = record;
		sift_down(heap);
	}
}

static int compare_descending(const void *left, const void *right)
{
	const char *const *a = left;
	const char *const *b = right;

	return memcmp(*b, *a, RECORD_LEN);
}

/**
 * records_merge() - append the largest records of all parts in descending order
 * @parts: bodies of the parts; an incomplete record at the end is ignored
 * @parts_len: number of parts
 * @top_k: most records to append; duplicates are kept
 * @out: buffer to append to
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int records_merge(const medlar_str_t *parts, size_t parts_len, size_t top_k,
		  medlar_buf_t *out)
{
	heap_t heap = { .max = top_k };

	if (top_k == 0)
		return MEDLAR_OK;
	heap.records = malloc(top_k * sizeof(*heap.records));
	if (!heap.records)
		return MEDLAR_ERR_NOMEM;
	for (size_t i = 0; i < parts_len; i++)
		for (size_t at = 0; at + RECORD_LEN <= parts[i].len;
		     at += RECORD_LEN)
			heap_offer(&heap, parts[i].ptr + at);
	qsort(heap.records, heap.len, sizeof(*heap.records),
	      compare_descending);
	for (size_t i = 0; i < heap.len; i++)
		medlar_buf_add(out,
			       (medlar_str_t){ heap.records[i], RECORD_LEN });
	free(heap.records);
	return out->error;
}
