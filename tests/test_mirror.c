/* The copy of the store never goes back, and tells what has changed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "router/mirror.h"

typedef struct seen {
	int changes;
	int ends;
	char last[64];
} seen_t;

static void on_change(const store_item_t *item, void *data)
{
	seen_t *seen = data;

	seen->changes++;
	seen->ends += item->gone;
	memset(seen->last, 0, sizeof(seen->last));
	if (item->value.len)
		memcpy(seen->last, item->value.ptr, item->value.len);
}

static void apply(mirror_t *mirror, const char *key, const char *value,
		  uint64_t revision)
{
	const store_item_t item = {
		.key = medlar_str_from(key),
		.value = medlar_str_from(value ? value : ""),
		.revision = revision,
		.gone = !value,
	};

	mirror_apply(mirror, &item);
}

static void an_older_revision_changes_nothing(void **state)
{
	seen_t seen = { 0 };
	mirror_t mirror;

	(void)state;
	mirror_init(&mirror, on_change, &seen);
	apply(&mirror, "k", "new", 5);
	apply(&mirror, "k", "old", 4);
	apply(&mirror, "k", NULL, 4);
	assert_int_equal(seen.changes, 1);
	assert_string_equal(seen.last, "new");
	apply(&mirror, "k", NULL, 6);
	assert_int_equal(seen.ends, 1);
	mirror_finish(&mirror);
}

static void a_list_ends_what_it_lacks(void **state)
{
	seen_t seen = { 0 };
	mirror_t mirror;

	(void)state;
	mirror_init(&mirror, on_change, &seen);
	apply(&mirror, "a", "1", 1);
	apply(&mirror, "b", "1", 2);
	apply(&mirror, "c", "1", 9);
	mirror_list_begin(&mirror);
	apply(&mirror, "a", "1", 1);
	mirror_list_end(&mirror, 8);
	assert_int_equal(mirror.len, 2);
	assert_int_equal(seen.ends, 1);
	assert_int_equal(mirror.revision, 8);
	mirror_finish(&mirror);
}

static void collect(const store_item_t *item, void *data)
{
	mirror_apply(data, item);
}

/* A copy that follows by changes equals one that sees every entry. */
static void changes_bring_another_copy_up_to_date(void **state)
{
	static mirror_t first;
	static mirror_t second;
	medlar_rand_t rand = { 2 };
	seen_t seen = { 0 };
	uint64_t revision = 0;

	(void)state;
	mirror_init(&first, on_change, &seen);
	mirror_init(&second, on_change, &seen);
	for (int round = 0; round < 300; round++) {
		uint64_t after = second.revision;

		for (uint64_t i = medlar_rand_below(&rand, 9); i > 0; i--) {
			char key[2] = {
				(char)('a' + medlar_rand_below(&rand, 20)), 0
			};

			apply(&first, key,
			      medlar_rand_below(&rand, 3) ? "v" : NULL,
			      ++revision);
		}
		mirror_advance(&first, revision);
		assert_true(after >= first.complete_after || after == 0);
		(void)mirror_changes(&first, after, collect, &second);
		mirror_advance(&second, revision);
		assert_int_equal(first.len, second.len);
	}
	mirror_finish(&first);
	mirror_finish(&second);
}

/* Found by a hunt: a copy that began with a list told others no older ends. */
static void a_list_knows_no_ends_from_before_it(void **state)
{
	seen_t seen = { 0 };
	static mirror_t mirror;

	(void)state;
	mirror_init(&mirror, on_change, &seen);
	mirror_list_begin(&mirror);
	apply(&mirror, "a", "1", 300);
	mirror_list_end(&mirror, 400);
	assert_int_equal(mirror.complete_after, 400);
	apply(&mirror, "a", NULL, 401);
	assert_int_equal(mirror.complete_after, 400);
	mirror_finish(&mirror);
}

static void too_many_ends_need_a_whole_copy(void **state)
{
	seen_t seen = { 0 };
	static mirror_t mirror;

	(void)state;
	mirror_init(&mirror, on_change, &seen);
	for (uint64_t i = 1; i < UINT64_C(4) * MIRROR_TOMBSTONES; i += 2) {
		apply(&mirror, "k", "v", i);
		apply(&mirror, "k", NULL, i + 1);
	}
	assert_true(mirror.complete_after > 1);
	mirror_finish(&mirror);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_older_revision_changes_nothing),
		cmocka_unit_test(a_list_ends_what_it_lacks),
		cmocka_unit_test(changes_bring_another_copy_up_to_date),
		cmocka_unit_test(a_list_knows_no_ends_from_before_it),
		cmocka_unit_test(too_many_ends_need_a_whole_copy),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
