/**
 * DOC: submission of changed questionnaire answers to the store
 *
 * Steps: read the current revision; find the base answers, from which the
 * change was edited; merge; generate the configuration; commit (commit.c).
 */
#include <stdio.h>
#include <string.h>

#include "submission.h"

#define BACKOFF_MIN ((medlar_time_t)50)
#define BACKOFF_MAX (2 * MEDLAR_SECOND)

/**
 * medlar_submission_end() - report the result of a submission
 * @submission: submission; may be released in this call
 * @error: %MEDLAR_OK, or why it was not accepted
 */
void medlar_submission_end(medlar_submission_t *submission, int error)
{
	uint64_t revision = error ? submission->current_revision.number
				  : submission->new_number;

	if (submission->ended)
		return;
	submission->ended = true;
	medlar_timer_clear(submission->client, &submission->deadline_timer);
	medlar_timer_clear(submission->client, &submission->retry_timer);
	MEDLAR_TRACE(submission->client, MEDLAR_EVENT_CONFIG,
		     MEDLAR_TEXT("step", MEDLAR_STR("submitted")),
		     MEDLAR_TEXT("result",
				 medlar_str_from(medlar_error_name(error))),
		     MEDLAR_NUM("revision", revision));
	submission->done(submission, error, revision, submission->data);
	if (!submission->call_in_flight)
		submission->release(submission, submission->data);
}

static void on_deadline(medlar_client_t *client, medlar_timer_t *timer,
			medlar_time_t now, void *data)
{
	medlar_submission_t *submission = data;

	(void)client;
	(void)timer;
	(void)now;
	medlar_submission_end(submission, submission->in_doubt
						  ? MEDLAR_ERR_STORE_UNKNOWN
						  : MEDLAR_ERR_STORE_DOWN);
}

static void on_retry_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	medlar_submission_t *submission = data;

	(void)client;
	(void)timer;
	submission->now = now;
	submission->retry_step(submission);
}

/**
 * medlar_submission_retry() - repeat a step after a backoff with jitter
 * @submission: submission; ended with %MEDLAR_ERR_NOMEM if no timer can be set
 * @step: step to repeat
 */
void medlar_submission_retry(medlar_submission_t *submission,
			     medlar_submission_step_t step)
{
	medlar_client_t *client = submission->client;
	medlar_time_t delay = submission->backoff +
			      (medlar_time_t)medlar_rand_below(
				      &client->rand,
				      (uint64_t)submission->backoff);

	submission->backoff *= 2;
	if (submission->backoff > BACKOFF_MAX)
		submission->backoff = BACKOFF_MAX;
	submission->retry_step = step;
	if (medlar_timer_set(client, &submission->retry_timer,
			     submission->now + delay))
		medlar_submission_end(submission, MEDLAR_ERR_NOMEM);
}

/**
 * medlar_submission_call_ended() - note that the store call in flight has ended
 * @submission: submission; released in this call if it has ended
 *
 * Return: true if the submission goes on, false if it has ended.
 */
bool medlar_submission_call_ended(medlar_submission_t *submission)
{
	submission->call_in_flight = false;
	if (!submission->ended)
		return true;
	submission->release(submission, submission->data);
	return false;
}

/**
 * medlar_submission_get() - start to read a key of the store
 * @submission: submission
 * @key: key
 * @done: called with the reply
 * @again: step to repeat when the call could not be started
 */
void medlar_submission_get(medlar_submission_t *submission, medlar_str_t key,
			   medlar_store_fn_t done,
			   medlar_submission_step_t again)
{
	const medlar_store_t *store = submission->store;

	submission->call_in_flight = true;
	if (store->get(store->data, key, done, submission) == MEDLAR_OK)
		return;
	submission->call_in_flight = false;
	medlar_submission_retry(submission, again);
}

/**
 * medlar_submission_cas() - start to write a key by compare-and-swap
 * @submission: submission
 * @key: key
 * @value: value
 * @index: expected modification index of the key; 0 if it must not exist
 * @done: called with the reply
 * @again: step to repeat when the call could not be started
 */
void medlar_submission_cas(medlar_submission_t *submission, medlar_str_t key,
			   medlar_str_t value, uint64_t index,
			   medlar_store_fn_t done,
			   medlar_submission_step_t again)
{
	const medlar_store_t *store = submission->store;

	submission->call_in_flight = true;
	if (store->cas(store->data, key, value, index, done, submission) ==
	    MEDLAR_OK)
		return;
	submission->call_in_flight = false;
	medlar_submission_retry(submission, again);
}

static void write_answers(medlar_submission_t *submission,
			  medlar_str_t section_answers, medlar_buf_t *out)
{
	const char *comma = "";
	int section;

	medlar_buf_add(out, MEDLAR_STR("{"));
	for (section = 0; section < MEDLAR_SECTION_COUNT; section++) {
		medlar_str_t answers =
			section == (int)submission->section
				? section_answers
				: medlar_buf_str(&submission->current_revision
							  .answers[section]);

		if (answers.len == 0)
			continue;
		medlar_buf_printf(
			out, "%s\"%s\":", comma,
			medlar_section_name((medlar_section_t)section));
		medlar_buf_add(out, answers);
		comma = ",";
	}
	medlar_buf_add(out, MEDLAR_STR("}"));
}

static bool has_both_sections(const medlar_submission_t *submission)
{
	int section;

	for (section = 0; section < MEDLAR_SECTION_COUNT; section++)
		if (section != (int)submission->section &&
		    submission->current_revision.answers[section].len == 0)
			return false;
	return true;
}

static int write_config(medlar_submission_t *submission, medlar_str_t answers,
			medlar_buf_t *out)
{
	static const char file[] = "questionnaire";
	medlar_questionnaire_t questionnaire;
	medlar_config_t config;
	int error;

	error = medlar_questionnaire_parse(&submission->reporter,
					   &questionnaire,
					   medlar_str_from(file), answers);
	if (error)
		return error;
	error = medlar_config_generate(&submission->reporter, &questionnaire,
				       medlar_str_from(file),
				       submission->new_number, &config);
	medlar_questionnaire_finish(&questionnaire);
	if (error)
		return error;
	medlar_buf_add(out, MEDLAR_STR(",\"config\":"));
	medlar_config_write(&config, out);
	medlar_config_finish(&config);
	return out->error;
}

static int write_document(medlar_submission_t *submission,
			  medlar_str_t section_answers)
{
	medlar_buf_t *out = &submission->new_document;
	medlar_buf_t answers;
	int error = MEDLAR_OK;

	medlar_buf_init(&answers);
	medlar_buf_reset(out);
	write_answers(submission, section_answers, &answers);
	medlar_buf_printf(out,
			  "{\"revision\":%llu,\"submission\":\"%s\","
			  "\"section\":\"%s\",\"time\":%lld,\"author\":",
			  (unsigned long long)submission->new_number,
			  submission->id,
			  medlar_section_name(submission->section),
			  (long long)submission->time);
	medlar_buf_json_string(out, medlar_buf_str(&submission->author));
	medlar_buf_add(out, MEDLAR_STR(",\"questionnaire\":"));
	medlar_buf_add(out, medlar_buf_str(&answers));
	if (has_both_sections(submission))
		error = write_config(submission, medlar_buf_str(&answers), out);
	else if (submission->current_revision.config.len > 0)
		error = MEDLAR_ERR_MISSING;
	medlar_buf_add(out, MEDLAR_STR("}"));
	if (!error)
		error = answers.error ? answers.error : out->error;
	medlar_buf_finish(&answers);
	return error;
}

static void merge_and_archive(medlar_submission_t *submission)
{
	medlar_str_t theirs = medlar_buf_str(
		&submission->current_revision.answers[submission->section]);
	medlar_str_t base = medlar_buf_str(&submission->base_answers);
	medlar_buf_t merged;
	int error = MEDLAR_OK;

	medlar_buf_init(&merged);
	if (theirs.len > 0)
		error = medlar_merge(
			&submission->reporter,
			medlar_str_from(
				medlar_section_name(submission->section)),
			base.len > 0 ? base : MEDLAR_STR("{}"), theirs,
			medlar_buf_str(&submission->answers), &merged);
	else
		medlar_buf_add(&merged, medlar_buf_str(&submission->answers));
	submission->new_number = submission->current_revision.number + 1;
	if (!error)
		error = write_document(submission, medlar_buf_str(&merged));
	medlar_buf_finish(&merged);
	if (error)
		medlar_submission_end(submission, error);
	else
		medlar_submission_archive(submission);
}

static void set_base_answers(medlar_submission_t *submission,
			     const medlar_revision_t *revision)
{
	submission->base_known = true;
	medlar_buf_reset(&submission->base_answers);
	medlar_buf_add(&submission->base_answers,
		       medlar_buf_str(&revision->answers[submission->section]));
}

static void on_base_read(const medlar_store_reply_t *reply, void *data);

static void read_base(medlar_submission_t *submission)
{
	medlar_buf_t key;

	medlar_buf_init(&key);
	medlar_revision_history_key(submission->base, &key);
	medlar_submission_get(submission, medlar_buf_str(&key), on_base_read,
			      read_base);
	medlar_buf_finish(&key);
}

static void on_base_read(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;
	medlar_revision_t revision;
	bool found;

	if (!medlar_submission_call_ended(submission))
		return;
	if (reply->status == MEDLAR_STORE_DOWN ||
	    reply->status == MEDLAR_STORE_UNKNOWN) {
		medlar_submission_retry(submission, read_base);
		return;
	}
	found = reply->status == MEDLAR_STORE_OK &&
		medlar_revision_parse(&revision, reply->value) == MEDLAR_OK;
	if (found && revision.number == submission->base) {
		set_base_answers(submission, &revision);
		medlar_revision_finish(&revision);
		merge_and_archive(submission);
		return;
	}
	if (found)
		medlar_revision_finish(&revision);
	medlar_submission_end(submission, MEDLAR_ERR_EXPIRED);
}

/**
 * medlar_submission_set_current() - store the current document that was read
 * @submission: submission
 * @reply: reply of the store to the read
 *
 * Return: %MEDLAR_OK, or an error of medlar_revision_parse().
 */
int medlar_submission_set_current(medlar_submission_t *submission,
				  const medlar_store_reply_t *reply)
{
	medlar_revision_finish(&submission->current_revision);
	medlar_buf_reset(&submission->current_document);
	submission->index = 0;
	if (reply->status != MEDLAR_STORE_OK)
		return MEDLAR_OK;
	submission->index = reply->index;
	medlar_buf_add(&submission->current_document, reply->value);
	return medlar_revision_parse(&submission->current_revision,
				     reply->value);
}

/**
 * medlar_submission_read_failed() - whether the store did not answer a read
 * @reply: reply of the store
 *
 * Return: true if the read must be repeated.
 */
bool medlar_submission_read_failed(const medlar_store_reply_t *reply)
{
	return reply->status == MEDLAR_STORE_DOWN ||
	       reply->status == MEDLAR_STORE_UNKNOWN;
}

static void on_current_read(const medlar_store_reply_t *reply, void *data)
{
	medlar_submission_t *submission = data;
	int error;

	if (!medlar_submission_call_ended(submission))
		return;
	if (medlar_submission_read_failed(reply)) {
		medlar_submission_retry(submission, medlar_submission_read);
		return;
	}
	submission->in_doubt = false;
	error = medlar_submission_set_current(submission, reply);
	if (error) {
		medlar_submission_end(submission, error);
		return;
	}
	if (submission->base > submission->current_revision.number) {
		medlar_submission_end(submission, MEDLAR_ERR_NOT_FOUND);
		return;
	}
	if (submission->base == submission->current_revision.number)
		set_base_answers(submission, &submission->current_revision);
	if (submission->base > 0 && !submission->base_known)
		read_base(submission);
	else
		merge_and_archive(submission);
}

/**
 * medlar_submission_read() - read the current document, merge and commit
 * @submission: submission
 */
void medlar_submission_read(medlar_submission_t *submission)
{
	medlar_submission_get(submission, MEDLAR_STR(MEDLAR_CONFIG_KEY),
			      on_current_read, medlar_submission_read);
}

static void generate_id(medlar_submission_t *submission)
{
	medlar_rand_t *rand = &submission->client->rand;

	snprintf(submission->id, sizeof(submission->id), "%016llx%016llx",
		 (unsigned long long)medlar_rand_next(rand),
		 (unsigned long long)medlar_rand_next(rand));
}

/**
 * medlar_submission_start() - submit changed answers of one section
 * @client: drives the timers of the submission
 * @submission: memory of the caller
 * @store: store; must stay valid as long as the submission
 * @params: parameters; copied. The callbacks may be called before this function
 *	returns
 * @now: current time
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM if nothing was started.
 */
int medlar_submission_start(medlar_client_t *client,
			    medlar_submission_t *submission,
			    const medlar_store_t *store,
			    const medlar_submission_params_t *params,
			    medlar_time_t now)
{
	*submission = (medlar_submission_t){
		.client = client,
		.reporter = { .error = params->error,
			      .error_data = params->data },
		.store = store,
		.done = params->done,
		.release = params->release,
		.data = params->data,
		.section = params->section,
		.base = params->base,
		.time = params->time,
		.backoff = BACKOFF_MIN,
		.now = now,
	};
	if (!params->error)
		medlar_client_on_error(&submission->reporter, client->error,
				       client->error_data);
	medlar_buf_add(&submission->author, params->author);
	medlar_buf_add(&submission->answers, params->answers);
	generate_id(submission);
	medlar_timer_init(&submission->deadline_timer, on_deadline, submission);
	medlar_timer_init(&submission->retry_timer, on_retry_timer, submission);
	if (submission->author.error || submission->answers.error ||
	    medlar_timer_set(client, &submission->deadline_timer,
			     now + params->timeout)) {
		medlar_submission_finish(submission);
		return MEDLAR_ERR_NOMEM;
	}
	medlar_submission_read(submission);
	return MEDLAR_OK;
}

/**
 * medlar_submission_finish() - release the memory of a submission
 * @submission: submission whose release callback was called
 */
void medlar_submission_finish(medlar_submission_t *submission)
{
	medlar_timer_clear(submission->client, &submission->deadline_timer);
	medlar_timer_clear(submission->client, &submission->retry_timer);
	medlar_revision_finish(&submission->current_revision);
	medlar_buf_finish(&submission->author);
	medlar_buf_finish(&submission->answers);
	medlar_buf_finish(&submission->base_answers);
	medlar_buf_finish(&submission->new_document);
	medlar_buf_finish(&submission->current_document);
}
