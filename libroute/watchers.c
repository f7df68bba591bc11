/**
 * DOC: which instances watch the store, and how often
 */
#include "libroute/watchers.h"

#define LEADER_PAUSE_MS 150
/*
 * Each further watcher pauses longer than the one before it, but none for so long
 * that it would not notice an outage in which entries expire.
 */
#define PAUSE_STEP_MS 80
/* Instances that try a silent store per decision, all together. */
#define PROBES_PER_DECISION 1.0
/*
 * Together with the backoff between calls, a lost answer delays the next one by
 * less than the 3 s in which a change has to be in force.
 */
#define WAIT_MS 1500
#define ANSWER_MARGIN_MS 700
/* A watch that may find the store away waits for an answer, not for a change. */
#define PROBE_WAIT_MS 100
#define PROBE_MARGIN_MS 1400

/* Whether this instance tries a store that answers none of the usual watchers. */
static bool draws_probe(const watch_view_t *view, medlar_rand_t *rand)
{
	return medlar_rand_unit(rand) * (double)view->live <
	       PROBES_PER_DECISION;
}

/**
 * watchers_time_call() - decide how long the next watch may take
 * @failures: calls that have failed since the last answer
 *
 * Return: wait and timeout.
 */
watch_timing_t watchers_time_call(unsigned failures)
{
	medlar_time_t wait = failures ? PROBE_WAIT_MS : WAIT_MS;
	medlar_time_t margin = failures ? PROBE_MARGIN_MS : ANSWER_MARGIN_MS;

	return (watch_timing_t){ wait, wait + margin };
}

/**
 * watchers_decide() - decide whether this instance watches the store now
 * @view: what it knows about the others
 * @rand: random numbers
 *
 * To be called at a steady rate.
 *
 * Return: its role until the next decision.
 */
watch_role_t watchers_decide(const watch_view_t *view, medlar_rand_t *rand)
{
	watch_role_t role = {
		.pause = LEADER_PAUSE_MS +
			 PAUSE_STEP_MS * (medlar_time_t)view->fresh_before,
	};

	if (view->is_isolated)
		return (watch_role_t){ .watches = true,
				       .leads = true,
				       .pause = LEADER_PAUSE_MS };
	if (view->fresh_before >= WATCHERS_MAX)
		return role;
	role.watches = view->in_contact || view->live_before < WATCHERS_MAX ||
		       draws_probe(view, rand);
	role.leads = role.watches && view->fresh_before == 0;
	return role;
}
