/**
 * DOC: commit of a configuration document by compare-and-swap
 *
 * The current revision is archived first. The end of a commit whose reply was
 * lost is found by reading: every document carries the id of its submission. A
 * commit may be repeated on the same index, because only one copy can take
 * effect.
 */
#include <string.h>

#include "submission.h"

static void commit(medlar_submission_t *submission);
static void settle(medlar_submission_t *submission);

static void on_archived(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;

	if (!medlar_submission_resume(submission))
		return;
	if (reply->status == MEDLAR_STORE_OK)
		commit(submission);
	else
		medlar_submission_retry(submission, medlar_submission_archive);
}

static void write_archive(medlar_submission_t *submission)
{
	medlar_buf_t key;

	medlar_buf_init(&key);
	medlar_history_key(submission->seen.number, &key);
	medlar_submission_cas(submission, medlar_buf_str(&key),
			      medlar_buf_str(&submission->current),
			      submission->archive_index, on_archived,
			      medlar_submission_archive);
	medlar_buf_finish(&key);
}

static void on_archive_read(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;

	if (!medlar_submission_resume(submission))
		return;
	if (medlar_submission_lost(reply)) {
		medlar_submission_retry(submission, medlar_submission_archive);
		return;
	}
	submission->archive_index = 0;
	if (reply->status == MEDLAR_STORE_OK) {
		submission->archive_index = reply->index;
		if (medlar_str_equal(reply->value,
				     medlar_buf_str(&submission->current))) {
			commit(submission);
			return;
		}
	}
	write_archive(submission);
}

/**
 * medlar_submission_archive() - keep the current revision, then commit
 * @submission: submission whose document is written
 */
void medlar_submission_archive(medlar_submission_t *submission)
{
	medlar_buf_t key;

	if (submission->seen.number == 0) {
		commit(submission);
		return;
	}
	medlar_buf_init(&key);
	medlar_history_key(submission->seen.number, &key);
	medlar_submission_get(submission, medlar_buf_str(&key), on_archive_read,
			      medlar_submission_archive);
	medlar_buf_finish(&key);
}

static void on_committed(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;

	if (!medlar_submission_resume(submission))
		return;
	if (reply->status == MEDLAR_STORE_OK) {
		medlar_submission_end(submission, MEDLAR_OK);
		return;
	}
	if (reply->status == MEDLAR_STORE_DOWN) {
		medlar_submission_retry(submission, commit);
		return;
	}
	if (reply->status == MEDLAR_STORE_UNKNOWN)
		submission->ambiguous = true;
	if (submission->ambiguous)
		settle(submission);
	else
		medlar_submission_read(submission);
}

static void commit(medlar_submission_t *submission)
{
	medlar_submission_cas(submission, MEDLAR_STR(MEDLAR_CONFIG_KEY),
			      medlar_buf_str(&submission->document),
			      submission->index, on_committed, commit);
}

static void on_settle_history(const medlar_store_reply_t *reply, void *data);

static void settle_history(medlar_submission_t *submission)
{
	medlar_buf_t key;

	medlar_buf_init(&key);
	medlar_history_key(submission->number, &key);
	medlar_submission_get(submission, medlar_buf_str(&key),
			      on_settle_history, settle_history);
	medlar_buf_finish(&key);
}

/* The revision of this commit was replaced: its copy tells whose it was. */
static void on_settle_history(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;
	medlar_revision_t revision;
	int error = MEDLAR_ERR_STORE_UNKNOWN;

	if (!medlar_submission_resume(submission))
		return;
	if (medlar_submission_lost(reply)) {
		medlar_submission_retry(submission, settle_history);
		return;
	}
	if (reply->status != MEDLAR_STORE_OK ||
	    medlar_revision_parse(&revision, reply->value)) {
		medlar_submission_end(submission, error);
		return;
	}
	if (revision.number == submission->number)
		error = strcmp(revision.submission, submission->id) == 0
				? MEDLAR_OK
				: MEDLAR_ERR_CONFLICT;
	medlar_revision_finish(&revision);
	if (error == MEDLAR_ERR_CONFLICT)
		medlar_submission_read(submission);
	else
		medlar_submission_end(submission, error);
}

static void on_settle(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;
	uint64_t index = submission->index;

	if (!medlar_submission_resume(submission))
		return;
	if (medlar_submission_lost(reply)) {
		medlar_submission_retry(submission, settle);
		return;
	}
	if (medlar_submission_keep(submission, reply)) {
		medlar_submission_end(submission, MEDLAR_ERR_STORE_UNKNOWN);
		return;
	}
	if (strcmp(submission->seen.submission, submission->id) == 0 &&
	    submission->seen.number == submission->number)
		medlar_submission_end(submission, MEDLAR_OK);
	else if (submission->index == index)
		medlar_submission_retry(submission, commit);
	else if (submission->seen.number <= submission->number)
		medlar_submission_read(submission);
	else
		settle_history(submission);
}

/* Finds out whether a commit whose reply was lost took effect. */
static void settle(medlar_submission_t *submission)
{
	medlar_submission_get(submission, MEDLAR_STR(MEDLAR_CONFIG_KEY),
			      on_settle, settle);
}
