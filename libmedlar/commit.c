/**
 * DOC: commit of a configuration document by compare-and-swap
 *
 * The current revision is copied to the history first. If the reply to a commit
 * is lost, reading the document tells whether the commit took effect, because
 * every document carries the id of its submission. A commit may be repeated at
 * the same index: only one of the copies can take effect.
 */
#include <string.h>

#include "submission.h"

static void commit_document(medlar_submission_t *submission);
static void verify_commit(medlar_submission_t *submission);

static void on_archived(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;

	if (!medlar_submission_call_ended(submission))
		return;
	if (reply->status == MEDLAR_STORE_OK)
		commit_document(submission);
	else
		medlar_submission_retry(submission, medlar_submission_archive);
}

static void write_archive(medlar_submission_t *submission)
{
	medlar_buf_t key;

	medlar_buf_init(&key);
	medlar_revision_history_key(submission->current_revision.number, &key);
	medlar_submission_cas(submission, medlar_buf_str(&key),
			      medlar_buf_str(&submission->current_document),
			      submission->archive_index, on_archived,
			      medlar_submission_archive);
	medlar_buf_finish(&key);
}

static void on_archive_read(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;

	if (!medlar_submission_call_ended(submission))
		return;
	if (medlar_submission_read_failed(reply)) {
		medlar_submission_retry(submission, medlar_submission_archive);
		return;
	}
	submission->archive_index = 0;
	if (reply->status == MEDLAR_STORE_OK) {
		submission->archive_index = reply->index;
		if (medlar_str_equal(
			    reply->value,
			    medlar_buf_str(&submission->current_document))) {
			commit_document(submission);
			return;
		}
	}
	write_archive(submission);
}

/**
 * medlar_submission_archive() - archive the current revision, then commit
 * @submission: submission whose new document has been generated
 */
void medlar_submission_archive(medlar_submission_t *submission)
{
	medlar_buf_t key;

	if (submission->current_revision.number == 0) {
		commit_document(submission);
		return;
	}
	medlar_buf_init(&key);
	medlar_revision_history_key(submission->current_revision.number, &key);
	medlar_submission_get(submission, medlar_buf_str(&key), on_archive_read,
			      medlar_submission_archive);
	medlar_buf_finish(&key);
}

static void on_committed(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;

	if (!medlar_submission_call_ended(submission))
		return;
	if (reply->status == MEDLAR_STORE_OK) {
		medlar_submission_end(submission, MEDLAR_OK);
		return;
	}
	if (reply->status == MEDLAR_STORE_DOWN) {
		medlar_submission_retry(submission, commit_document);
		return;
	}
	if (reply->status == MEDLAR_STORE_UNKNOWN)
		submission->in_doubt = true;
	if (submission->in_doubt)
		verify_commit(submission);
	else
		medlar_submission_read(submission);
}

static void commit_document(medlar_submission_t *submission)
{
	medlar_submission_cas(submission, MEDLAR_STR(MEDLAR_CONFIG_KEY),
			      medlar_buf_str(&submission->new_document),
			      submission->index, on_committed, commit_document);
}

static void on_verify_in_history(const medlar_store_reply_t *reply, void *data);

static void verify_in_history(medlar_submission_t *submission)
{
	medlar_buf_t key;

	medlar_buf_init(&key);
	medlar_revision_history_key(submission->new_number, &key);
	medlar_submission_get(submission, medlar_buf_str(&key),
			      on_verify_in_history, verify_in_history);
	medlar_buf_finish(&key);
}

/* A later revision exists: the history has the id of the committed one. */
static void on_verify_in_history(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;
	medlar_revision_t revision;
	int error = MEDLAR_ERR_STORE_UNKNOWN;

	if (!medlar_submission_call_ended(submission))
		return;
	if (medlar_submission_read_failed(reply)) {
		medlar_submission_retry(submission, verify_in_history);
		return;
	}
	if (reply->status != MEDLAR_STORE_OK ||
	    medlar_revision_parse(&revision, reply->value)) {
		medlar_submission_end(submission, error);
		return;
	}
	if (revision.number == submission->new_number)
		error = strcmp(revision.submission, submission->id) == 0
				? MEDLAR_OK
				: MEDLAR_ERR_CONFLICT;
	medlar_revision_finish(&revision);
	if (error == MEDLAR_ERR_CONFLICT)
		medlar_submission_read(submission);
	else
		medlar_submission_end(submission, error);
}

static void on_verify_commit(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;
	uint64_t index = submission->index;

	if (!medlar_submission_call_ended(submission))
		return;
	if (medlar_submission_read_failed(reply)) {
		medlar_submission_retry(submission, verify_commit);
		return;
	}
	if (medlar_submission_set_current(submission, reply)) {
		medlar_submission_end(submission, MEDLAR_ERR_STORE_UNKNOWN);
		return;
	}
	if (strcmp(submission->current_revision.submission, submission->id) ==
		    0 &&
	    submission->current_revision.number == submission->new_number)
		medlar_submission_end(submission, MEDLAR_OK);
	else if (submission->index == index)
		medlar_submission_retry(submission, commit_document);
	else if (submission->current_revision.number <= submission->new_number)
		medlar_submission_read(submission);
	else
		verify_in_history(submission);
}

/* Finds out whether a commit in doubt has taken effect. */
static void verify_commit(medlar_submission_t *submission)
{
	medlar_submission_get(submission, MEDLAR_STR(MEDLAR_CONFIG_KEY),
			      on_verify_commit, verify_commit);
}
