/**
 * DOC: a single write, from the caller's request to the recorded outcome
 *
 * A write is dispatched to an upstream only after its claim is known to be
 * committed, and only while enough time is left before the deadline. The
 * outcome is "not run" only if it was never dispatched, or if every dispatch is
 * known not to have been executed. The object is kept after the caller has been
 * answered, until the dispatch has ended and the outcome is recorded.
 */
#include <stdlib.h>

#include "medlar.h"

#ifndef MEDLAR_MUTANT
/* Mutation tests replace this macro to inject faults into the protocol. */
#define MEDLAR_MUTANT(name) false
#endif

#define ANSWER_MARGIN ((medlar_time_t)5) /* ms reserved to send the answer */
#define DISPATCH_MIN \
	((medlar_time_t)10) /* least time left for a dispatch, ms */
#define POLL_MIN ((medlar_time_t)30) /* first poll by a duplicate, ms */
#define POLL_DOUBLINGS_MAX 4 /* of the poll interval */
#define ATTEMPTS_MAX 4 /* dispatches of a write */
#define WRITES_MAX 65536 /* writes of one service in memory */

static const char *const outcome_names[] = {
	[MEDLAR_WRITE_UNKNOWN] = "unknown",
	[MEDLAR_WRITE_RAN] = "ran",
	[MEDLAR_WRITE_NOT_RUN] = "not_run",
};

/**
 * medlar_write_free() - free a write
 * @write: write; its claim is removed from its list
 */
void medlar_write_free(medlar_write_t *write)
{
	medlar_writes_t *writes = write->writes;

	medlar_timer_clear(writes->client, &write->timer);
	medlar_claims_remove(&write->claim);
	medlar_buf_finish(&write->claim.result);
	if (write->prev)
		write->prev->next = write->next;
	else
		writes->writes_head = write->next;
	if (write->next)
		write->next->prev = write->prev;
	writes->writes_len--;
	free(write);
}

static void free_if_done(medlar_write_t *write)
{
	if (write->answered && write->closed && !write->in_flight)
		medlar_write_free(write);
}

static void trace_answer(const medlar_write_t *write,
			 const medlar_write_answer_t *answer)
{
	char key[MEDLAR_UUID_TEXT_LEN + 1];
	const char *error = medlar_error_name(answer->error);

	medlar_uuid_format(&write->claim.key, key);
	MEDLAR_TRACE(
		write->writes->client, MEDLAR_EVENT_WRITE,
		MEDLAR_TEXT("key", medlar_str_from(key)),
		MEDLAR_TEXT("outcome",
			    medlar_str_from(outcome_names[answer->outcome])),
		MEDLAR_TEXT("error", medlar_str_from(error)),
		MEDLAR_NUM("attempts", write->attempts),
		MEDLAR_NUM("replayed", answer->replayed));
}

static void answer_caller(medlar_write_t *write, medlar_write_answer_t answer)
{
	if (write->answered)
		return;
	write->answered = true;
	medlar_timer_clear(write->writes->client, &write->timer);
	if (write->is_lookup) {
		write->writes->ops.lookup_done(write, answer.error, NULL,
					       MEDLAR_STR(""),
					       write->writes->data);
		return;
	}
	trace_answer(write, &answer);
	write->writes->ops.answer(write, &answer, write->writes->data);
}

static void answer_without_result(medlar_write_t *write,
				  medlar_write_outcome_t outcome, int error)
{
	answer_caller(write, (medlar_write_answer_t){ .outcome = outcome,
						      .error = error });
}

static void record_outcome(medlar_write_t *write, medlar_claim_state_t state,
			   medlar_str_t result)
{
	medlar_writes_t *writes = write->writes;
	medlar_claim_t *claim = &write->claim;

	claim->op = MEDLAR_CLAIM_OP_RECORD;
	claim->state = state;
	medlar_buf_reset(&claim->result);
	medlar_buf_add(&claim->result, result);
	medlar_writes_enqueue(writes, claim, medlar_writes_now(writes));
}

static void end_not_run(medlar_write_t *write, int error)
{
	record_outcome(write, MEDLAR_CLAIM_NOT_RUN, MEDLAR_STR(""));
	answer_without_result(write, MEDLAR_WRITE_NOT_RUN, error);
	free_if_done(write);
}

static void end_unknown(medlar_write_t *write, int error)
{
	write->closed = true;
	answer_without_result(write, MEDLAR_WRITE_UNKNOWN, error);
	free_if_done(write);
}

static bool has_time(const medlar_write_t *write)
{
	return write->deadline - medlar_writes_now(write->writes) >=
	       DISPATCH_MIN;
}

static void dispatch(medlar_write_t *write)
{
	write->in_flight = true;
	write->attempts++;
	write->writes->ops.dispatch(write, write->writes->data);
}

static void on_committed(medlar_write_t *write)
{
	write->writes->stats.claims++;
	write->claimed = true;
	if (has_time(write))
		dispatch(write);
	else
		end_not_run(write, MEDLAR_ERR_DEADLINE);
}

static void report_lookup(medlar_write_t *write)
{
	const medlar_claim_t *claim = &write->claim;

	write->answered = true;
	write->writes->ops.lookup_done(write, MEDLAR_OK, &claim->found,
				       medlar_buf_str(&claim->result),
				       write->writes->data);
}

static void replay_result(medlar_write_t *write)
{
	answer_caller(write,
		      (medlar_write_answer_t){
			      .outcome = MEDLAR_WRITE_RAN,
			      .result = medlar_buf_str(&write->claim.result),
			      .replayed = true,
		      });
}

/* Whether the first request may still be running and record an outcome. */
static bool may_still_run(const medlar_write_t *write)
{
	const medlar_writes_t *writes = write->writes;
	medlar_time_t age = medlar_writes_wall_time(writes) -
			    write->claim.found.time;

	return age <= writes->policy.deadline;
}

/*
 * Sets the timer to read the journal again. Returns false if no outcome can be
 * expected any more or too little time is left.
 */
static bool schedule_poll(medlar_write_t *write)
{
	uint32_t doublings = write->polls < POLL_DOUBLINGS_MAX
				     ? write->polls
				     : POLL_DOUBLINGS_MAX;
	medlar_time_t due = medlar_writes_now(write->writes) +
			    (POLL_MIN << doublings);

	if (!may_still_run(write) ||
	    write->deadline - ANSWER_MARGIN - due < DISPATCH_MIN)
		return false;
	if (medlar_timer_set(write->writes->client, &write->timer, due))
		return false;
	write->polls++;
	write->polling = true;
	write->duplicate = true;
	return true;
}

static void on_duplicate(medlar_write_t *write)
{
	medlar_claim_state_t state = write->claim.found.state;

	if (!write->is_lookup && state == MEDLAR_CLAIM_CLAIMED &&
	    schedule_poll(write))
		return;
	write->closed = true;
	if (write->is_lookup)
		report_lookup(write);
	else if (state == MEDLAR_CLAIM_RAN)
		replay_result(write);
	else
		answer_without_result(write, MEDLAR_WRITE_UNKNOWN,
				      MEDLAR_ERR_CONFLICT);
	free_if_done(write);
}

static void on_expired(medlar_write_t *write)
{
	end_unknown(write, MEDLAR_ERR_EXPIRED);
}

static void on_full(medlar_write_t *write)
{
	write->closed = true;
	answer_without_result(write, MEDLAR_WRITE_NOT_RUN, MEDLAR_ERR_FULL);
	free_if_done(write);
}

static void on_recorded(medlar_write_t *write)
{
	write->writes->stats.records++;
	write->closed = true;
	free_if_done(write);
}

static void on_absent(medlar_write_t *write)
{
	end_unknown(write, MEDLAR_ERR_NOT_FOUND);
}

static void (*const resolution_fns[MEDLAR_RESOLUTION_COUNT])(
	medlar_write_t *write) = {
	[MEDLAR_RESOLUTION_COMMITTED] = on_committed,
	[MEDLAR_RESOLUTION_DUPLICATE] = on_duplicate,
	[MEDLAR_RESOLUTION_EXPIRED] = on_expired,
	[MEDLAR_RESOLUTION_FULL] = on_full,
	[MEDLAR_RESOLUTION_RECORDED] = on_recorded,
	[MEDLAR_RESOLUTION_NOT_FOUND] = on_absent,
};

/**
 * medlar_write_resolved() - continue a write whose claim was resolved
 * @write: write; may be freed in this call
 */
void medlar_write_resolved(medlar_write_t *write)
{
	resolution_fns[write->claim.resolution](write);
}

static void on_deadline(medlar_write_t *write)
{
	int error = MEDLAR_ERR_DEADLINE;

	if (write->claimed) {
		answer_without_result(write, MEDLAR_WRITE_UNKNOWN, error);
		return;
	}
	if (medlar_writes_store_failed(write->writes, &write->claim))
		error = MEDLAR_ERR_STORE_DOWN;
	write->closed = medlar_claim_abandon(&write->claim);
	if (write->duplicate)
		answer_without_result(write, MEDLAR_WRITE_UNKNOWN,
				      MEDLAR_ERR_CONFLICT);
	else
		answer_without_result(write, MEDLAR_WRITE_NOT_RUN, error);
	free_if_done(write);
}

static void on_timer(medlar_client_t *client, medlar_timer_t *timer,
		     medlar_time_t now, void *data)
{
	medlar_write_t *write = data;
	medlar_time_t due = write->deadline - ANSWER_MARGIN;

	if (!write->polling || now >= due ||
	    medlar_timer_set(client, timer, due)) {
		on_deadline(write);
		return;
	}
	write->polling = false;
	medlar_writes_enqueue(write->writes, &write->claim, now);
}

static medlar_write_t *create_write(medlar_writes_t *writes,
				    const medlar_write_params_t *params)
{
	medlar_write_t *write = calloc(1, sizeof(*write));

	if (!write)
		return NULL;
	write->writes = writes;
	write->claim.key = params->key;
	write->claim.write = write;
	write->deadline = params->deadline;
	write->data = params->data;
	medlar_timer_init(&write->timer, on_timer, write);
	write->next = writes->writes_head;
	if (write->next)
		write->next->prev = write;
	writes->writes_head = write;
	writes->writes_len++;
	return write;
}

static int start_write(medlar_writes_t *writes,
		       const medlar_write_params_t *params, bool look,
		       medlar_write_t **out)
{
	medlar_time_t due = params->deadline - ANSWER_MARGIN;
	medlar_time_t now = medlar_writes_now(writes);
	medlar_write_t *write;

	if (writes->writes_len >= WRITES_MAX)
		return MEDLAR_ERR_OVERLOAD;
	if (due <= now)
		return MEDLAR_ERR_DEADLINE;
	write = create_write(writes, params);
	if (!write)
		return MEDLAR_ERR_NOMEM;
	if (medlar_timer_set(writes->client, &write->timer, due)) {
		medlar_write_free(write);
		return MEDLAR_ERR_NOMEM;
	}
	write->is_lookup = look;
	write->claim.op = look ? MEDLAR_CLAIM_OP_LOOKUP : MEDLAR_CLAIM_OP_CLAIM;
	writes->ops.random(write->claim.token.bytes, MEDLAR_TOKEN_LEN,
			   writes->data);
	*out = write;
	medlar_writes_enqueue(writes, &write->claim, now);
	return MEDLAR_OK;
}

static int check_key_age(const medlar_writes_t *writes,
			 const medlar_uuid_t *key)
{
	medlar_time_t age = medlar_writes_wall_time(writes) -
			    medlar_uuid_time(key);

	if (age > writes->policy.window)
		return MEDLAR_ERR_EXPIRED;
	return age < -MEDLAR_CLOCK_SKEW_MAX ? MEDLAR_ERR_RANGE : MEDLAR_OK;
}

/**
 * medlar_write_start() - claim the key of a write, then dispatch it
 * @writes: writes of the service
 * @params: key and deadline of the request
 * @out: receives the write; the answer callback comes later, never from within
 *	this call
 *
 * Return: %MEDLAR_OK; %MEDLAR_ERR_EXPIRED if the key is older than the window;
 * %MEDLAR_ERR_RANGE if its time is too far in the future; %MEDLAR_ERR_DEADLINE,
 * %MEDLAR_ERR_OVERLOAD or %MEDLAR_ERR_NOMEM. medlar_write_refusal_outcome()
 * gives the outcome for an error.
 */
int medlar_write_start(medlar_writes_t *writes,
		       const medlar_write_params_t *params,
		       medlar_write_t **out)
{
	int error = check_key_age(writes, &params->key);

	if (error)
		return error;
	return start_write(writes, params, false, out);
}

/**
 * medlar_write_refusal_outcome() - outcome of a write that could not be started
 * @error: error of medlar_write_start()
 *
 * A write whose key is older than the window may have run: its entry would have
 * been dropped by now.
 *
 * Return: %MEDLAR_WRITE_UNKNOWN or %MEDLAR_WRITE_NOT_RUN.
 */
medlar_write_outcome_t medlar_write_refusal_outcome(int error)
{
	return error == MEDLAR_ERR_EXPIRED ? MEDLAR_WRITE_UNKNOWN
					   : MEDLAR_WRITE_NOT_RUN;
}

/**
 * medlar_writes_lookup() - look up the journal entry of a key
 * @writes: writes of the service
 * @params: key and deadline
 * @out: receives the lookup; its callback in the ops ends it, never from within
 *	this call
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_DEADLINE, %MEDLAR_ERR_OVERLOAD or
 * %MEDLAR_ERR_NOMEM.
 */
int medlar_writes_lookup(medlar_writes_t *writes,
			 const medlar_write_params_t *params,
			 medlar_write_t **out)
{
	return start_write(writes, params, true, out);
}

static void retry_or_end(medlar_write_t *write)
{
	if (!write->answered && write->attempts < ATTEMPTS_MAX &&
	    has_time(write))
		dispatch(write);
	else
		end_not_run(write, MEDLAR_ERR_UNAVAILABLE);
}

/**
 * medlar_write_reply() - report the upstream's reply to the dispatch in flight
 * @write: write; may be freed in this call
 * @executed: whether the upstream executed the request
 * @result: result of the upstream; copied
 */
void medlar_write_reply(medlar_write_t *write, medlar_executed_t executed,
			medlar_str_t result)
{
	write->in_flight = false;
	if (executed == MEDLAR_EXECUTED_NO) {
		retry_or_end(write);
		return;
	}
	if (executed == MEDLAR_EXECUTED_UNKNOWN) {
		end_unknown(write, MEDLAR_ERR_IO);
		return;
	}
	record_outcome(write, MEDLAR_CLAIM_RAN, result);
	answer_caller(write, (medlar_write_answer_t){
				     .outcome = MEDLAR_WRITE_RAN,
				     .result = result,
			     });
	free_if_done(write);
}

static bool was_not_sent(medlar_fault_t fault)
{
	return fault == MEDLAR_FAULT_REFUSED || fault == MEDLAR_FAULT_UNSENT ||
	       (fault == MEDLAR_FAULT_RESET && MEDLAR_MUTANT(RESET_RETRIED));
}

/**
 * medlar_write_fail() - report a dispatch that ended without a reply
 * @write: write; may be freed in this call
 * @fault: how the dispatch failed
 */
void medlar_write_fail(medlar_write_t *write, medlar_fault_t fault)
{
	write->in_flight = false;
	if (was_not_sent(fault))
		retry_or_end(write);
	else
		end_unknown(write, MEDLAR_ERR_IO);
}

/**
 * medlar_write_key() - idempotency key of a write
 * @write: write
 *
 * Return: the key, valid as long as the write.
 */
const medlar_uuid_t *medlar_write_key(const medlar_write_t *write)
{
	return &write->claim.key;
}

/**
 * medlar_write_token() - claim token that is sent with each dispatch
 * @write: write
 *
 * Return: the token, valid as long as the write.
 */
const medlar_token_t *medlar_write_token(const medlar_write_t *write)
{
	return &write->claim.token;
}

/**
 * medlar_write_deadline() - when the caller needs the answer
 * @write: write
 *
 * Return: time on the clock of the timers, ms.
 */
medlar_time_t medlar_write_deadline(const medlar_write_t *write)
{
	return write->deadline;
}

/**
 * medlar_write_data() - user data of a write
 * @write: write
 *
 * Return: the pointer given to medlar_write_start().
 */
void *medlar_write_data(const medlar_write_t *write)
{
	return write->data;
}
