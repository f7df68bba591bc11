/* The mirror ignores older revisions and reports each change once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "router/mirror.h"

typedef struct change_log {
	int changes;
	int deletions;
	char last_value[64];
} change_log_t;

static void record_change(const store_item_t *item, void *data)
{
	change_log_t *change_log = data;

	change_log->changes++;
	change_log->deletions += item->deleted;
	memset(change_log->last_value, 0, sizeof(change_log->last_value));
	if (item->value.len)
		memcpy(change_log->last_value, item->value.ptr,
		       item->value.len);
}

static const mirror_events_t events = { .change = record_change };

static void apply_entry(mirror_t *mirror, const char *key, const char *value,
			uint64_t revision)
{
	const store_item_t item = {
		.key = medlar_str_from(key),
		.value = medlar_str_from(value ? value : ""),
		.position.revision = revision,
		.deleted = !value,
	};

	mirror_apply(mirror, &item);
}

static void an_older_revision_is_ignored(void **state)
{
	change_log_t change_log = { 0 };
	mirror_t mirror;

	(void)state;
	mirror_init(&mirror, &events, &change_log);
	apply_entry(&mirror, "k", "new", 5);
	apply_entry(&mirror, "k", "old", 4);
	apply_entry(&mirror, "k", NULL, 4);
	assert_int_equal(change_log.changes, 1);
	assert_string_equal(change_log.last_value, "new");
	apply_entry(&mirror, "k", NULL, 6);
	assert_int_equal(change_log.deletions, 1);
	mirror_finish(&mirror);
}

static void a_list_deletes_the_entries_it_lacks(void **state)
{
	change_log_t change_log = { 0 };
	mirror_t mirror;

	(void)state;
	mirror_init(&mirror, &events, &change_log);
	apply_entry(&mirror, "a", "1", 1);
	apply_entry(&mirror, "b", "1", 2);
	apply_entry(&mirror, "c", "1", 9);
	mirror_list_begin(&mirror);
	apply_entry(&mirror, "a", "1", 1);
	mirror_list_end(&mirror, (store_position_t){ 0, 8 });
	assert_int_equal(mirror.len, 2);
	assert_int_equal(change_log.deletions, 1);
	assert_int_equal(mirror.position.revision, 8);
	mirror_finish(&mirror);
}

static void apply_to_mirror(const store_item_t *item, void *data)
{
	mirror_apply(data, item);
}

/*
 * One mirror gets every change, the other only what mirror_visit_changes()
 * visits.
 */
static void changes_keep_another_mirror_equal(void **state)
{
	static mirror_t first;
	static mirror_t second;
	medlar_rand_t rand = { 2 };
	change_log_t change_log = { 0 };
	uint64_t revision = 0;

	(void)state;
	mirror_init(&first, &events, &change_log);
	mirror_init(&second, &events, &change_log);
	for (int round = 0; round < 300; round++) {
		uint64_t after = second.position.revision;

		for (uint64_t i = medlar_rand_below(&rand, 9); i > 0; i--) {
			char key[2] = {
				(char)('a' + medlar_rand_below(&rand, 20)), 0
			};

			apply_entry(&first, key,
				    medlar_rand_below(&rand, 3) ? "v" : NULL,
				    ++revision);
		}
		mirror_advance(&first, revision);
		assert_true(after >= first.complete_after || after == 0);
		(void)mirror_visit_changes(&first, after, apply_to_mirror,
					   &second);
		mirror_advance(&second, revision);
		assert_int_equal(first.len, second.len);
	}
	mirror_finish(&first);
	mirror_finish(&second);
}

/*
 * A mirror that starts with a list has no tombstones of earlier deletions. If
 * complete_after did not cover them, it would serve changes that lack these
 * deletions to other instances.
 */
static void deletions_before_a_list_are_unknown(void **state)
{
	change_log_t change_log = { 0 };
	static mirror_t mirror;

	(void)state;
	mirror_init(&mirror, &events, &change_log);
	mirror_list_begin(&mirror);
	apply_entry(&mirror, "a", "1", 300);
	mirror_list_end(&mirror, (store_position_t){ 0, 400 });
	assert_int_equal(mirror.complete_after, 400);
	apply_entry(&mirror, "a", NULL, 401);
	assert_int_equal(mirror.complete_after, 400);
	mirror_finish(&mirror);
}

static void overwritten_tombstones_raise_complete_after(void **state)
{
	change_log_t change_log = { 0 };
	static mirror_t mirror;

	(void)state;
	mirror_init(&mirror, &events, &change_log);
	for (uint64_t i = 1; i < UINT64_C(4) * MIRROR_TOMBSTONES; i += 2) {
		apply_entry(&mirror, "k", "v", i);
		apply_entry(&mirror, "k", NULL, i + 1);
	}
	assert_true(mirror.complete_after > 1);
	mirror_finish(&mirror);
}

/*
 * Guards against DRAIN: a reply of the store that a cut held back brought a replica
 * back that had left, as other instances had told meanwhile.
 */
static void an_entry_deleted_since_is_not_added_again(void **state)
{
	change_log_t change_log = { 0 };
	static mirror_t mirror;

	(void)state;
	mirror_init(&mirror, &events, &change_log);
	apply_entry(&mirror, "a", "ready", 5);
	mirror_advance(&mirror, 5);
	apply_entry(&mirror, "a", NULL, 8);
	mirror_advance(&mirror, 8);
	apply_entry(&mirror, "a", "held", 6);
	apply_entry(&mirror, "b", "held", 7);
	assert_int_equal(mirror.len, 0);
	assert_int_equal(change_log.changes, 2);
	apply_entry(&mirror, "a", "again", 9);
	assert_int_equal(mirror.len, 1);
	assert_string_equal(change_log.last_value, "again");
	mirror_finish(&mirror);
}

/* A list that was held back names entries that were deleted since. */
static void a_late_list_adds_no_entry_deleted_since(void **state)
{
	change_log_t change_log = { 0 };
	static mirror_t mirror;

	(void)state;
	mirror_init(&mirror, &events, &change_log);
	apply_entry(&mirror, "b", "1", 4);
	mirror_advance(&mirror, 8);
	mirror_list_begin(&mirror);
	apply_entry(&mirror, "a", "held", 5);
	apply_entry(&mirror, "b", "1", 4);
	mirror_list_end(&mirror, (store_position_t){ 0, 6 });
	assert_int_equal(mirror.len, 1);
	assert_int_equal(mirror.position.revision, 8);
	assert_int_equal(change_log.changes, 1);
	mirror_finish(&mirror);
}

/*
 * An instance that never saw an entry must pass on its deletion to one that did.
 */
static void the_deletion_of_an_unknown_entry_is_passed_on(void **state)
{
	change_log_t change_log = { 0 };
	static mirror_t first;
	static mirror_t second;

	(void)state;
	mirror_init(&first, &events, &change_log);
	mirror_init(&second, &events, &change_log);
	mirror_advance(&first, 5);
	mirror_advance(&second, 5);
	apply_entry(&second, "a", "ready", 6);
	mirror_advance(&second, 6);
	apply_entry(&first, "a", NULL, 8);
	mirror_advance(&first, 8);
	assert_true(first.complete_after <= 6);
	(void)mirror_visit_changes(&first, second.position.revision,
				   apply_to_mirror, &second);
	assert_int_equal(second.len, 0);
	mirror_finish(&first);
	mirror_finish(&second);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_older_revision_is_ignored),
		cmocka_unit_test(a_list_deletes_the_entries_it_lacks),
		cmocka_unit_test(changes_keep_another_mirror_equal),
		cmocka_unit_test(deletions_before_a_list_are_unknown),
		cmocka_unit_test(overwritten_tombstones_raise_complete_after),
		cmocka_unit_test(an_entry_deleted_since_is_not_added_again),
		cmocka_unit_test(a_late_list_adds_no_entry_deleted_since),
		cmocka_unit_test(the_deletion_of_an_unknown_entry_is_passed_on),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
