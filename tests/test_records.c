/* Merging the largest records of several parts equals sorting all of them. */
#include <stdlib.h>

#include "libroute/records.h"
#include "route_sim.h"

#define PARTS 6
#define PART_MAX 40

static int compare_descending(const void *a, const void *b)
{
	return memcmp(b, a, RECORD_LEN);
}

static void fill_random(char *bytes, size_t len, medlar_rand_t *rand)
{
	for (size_t i = 0; i < len; i++)
		bytes[i] = (char)medlar_rand_below(rand, 3);
}

static void merging_equals_sorting(void **state)
{
	medlar_rand_t rand = { 3 };

	(void)state;
	for (int round = 0; round < 300; round++) {
		char all[PARTS * PART_MAX * RECORD_LEN];
		char bytes[PARTS][PART_MAX * RECORD_LEN + RECORD_LEN];
		medlar_str_t parts[PARTS];
		size_t top_k = medlar_rand_below(&rand, 60);
		size_t total = 0;
		medlar_buf_t out;

		for (size_t i = 0; i < PARTS; i++) {
			size_t count = medlar_rand_below(&rand, PART_MAX);
			size_t partial = medlar_rand_below(&rand, RECORD_LEN);

			fill_random(bytes[i], count * RECORD_LEN + partial,
				    &rand);
			parts[i] = (medlar_str_t){
				bytes[i], count * RECORD_LEN + partial
			};
			memcpy(all + total * RECORD_LEN, bytes[i],
			       count * RECORD_LEN);
			total += count;
		}
		qsort(all, total, RECORD_LEN, compare_descending);
		medlar_buf_init(&out);
		assert_int_equal(records_merge(parts, PARTS, top_k, &out),
				 MEDLAR_OK);
		if (total > top_k)
			total = top_k;
		assert_int_equal(out.len, total * RECORD_LEN);
		if (total)
			assert_memory_equal(out.ptr, all, out.len);
		medlar_buf_finish(&out);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(merging_equals_sorting),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
