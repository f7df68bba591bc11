/**
 * DOC: budget for retries and hedges to a service
 */
#include <math.h>

#include "libroute/retry_budget.h"

/*
 * A token bucket that is full at the start of a window and refilled during it
 * yields twice its size, and a restart within the window adds the initial
 * amount: in total, 2 * 0.4 + 0.2 of the slack.
 */
#define SLACK_HELD_MAX 0.4
#define SLACK_AT_START 0.2
/* Share of the ratio that is earned; the rest covers late accounting. */
#define EARNED_SHARE 0.95
/* Most attempts that may be saved up from requests. */
#define EARNED_MAX 12.0

/**
 * retry_budget_init() - initialise a budget with part of the slack
 * @budget: budget to initialise
 * @limits: limits for all instances together
 * @share: share of this instance in the slack, 0 to 1
 * @now: current time, ms
 *
 * The initial amount is small because an instance that restarts does not know
 * what it already spent in this window.
 */
void retry_budget_init(retry_budget_t *budget, const retry_limits_t *limits,
		       double share, medlar_time_t now)
{
	*budget = (retry_budget_t){ .slack = limits->slack * share *
					     SLACK_AT_START,
				    .refilled_at = now };
}

/* Returns the period of @now, and forgets those that left the window. */
static retry_period_t *current_period(retry_budget_t *budget,
				      const retry_limits_t *limits,
				      medlar_time_t now)
{
	medlar_time_t period = now * RETRY_PERIODS / limits->window;
	medlar_time_t passed = period - budget->period;

	for (medlar_time_t i = 0; i < passed && i <= RETRY_PERIODS; i++)
		budget->periods[(period - i) % (RETRY_PERIODS + 1)] =
			(retry_period_t){ 0 };
	if (passed > 0)
		budget->period = period;
	return &budget->periods[budget->period % (RETRY_PERIODS + 1)];
}

/*
 * The oldest period lies in the window only in part: its requests do not count, and
 * what was spent in it does.
 */
static double earned_in_window(const retry_budget_t *budget,
			       const retry_limits_t *limits)
{
	size_t oldest = (size_t)(budget->period + 1) % (RETRY_PERIODS + 1);
	unsigned requests = 0;
	double spent = 0;

	for (size_t i = 0; i <= RETRY_PERIODS; i++) {
		requests += i == oldest ? 0 : budget->periods[i].requests;
		spent += budget->periods[i].spent;
	}
	return fmax(0, limits->ratio * EARNED_SHARE * requests - spent);
}

/* Attempts that what requests have earned pays for. */
static double earned_left(retry_budget_t *budget, const retry_limits_t *limits,
			  medlar_time_t now)
{
	(void)current_period(budget, limits, now);
	return fmin(budget->earned, earned_in_window(budget, limits));
}

/**
 * retry_budget_deposit() - credit the budget for a request to the service
 * @budget: budget
 * @limits: limits for all instances together
 * @now: current time, ms
 */
void retry_budget_deposit(retry_budget_t *budget, const retry_limits_t *limits,
			  medlar_time_t now)
{
	current_period(budget, limits, now)->requests++;
	budget->earned = fmin(EARNED_MAX,
			      budget->earned + limits->ratio * EARNED_SHARE);
}

/**
 * retry_budget_slack_max() - slack that an instance can hold at a time
 * @limits: limits for all instances together
 * @share: share of this instance in the slack, 0 to 1
 *
 * Return: number of attempts.
 */
double retry_budget_slack_max(const retry_limits_t *limits, double share)
{
	return limits->slack * share * SLACK_HELD_MAX;
}

static void refill_slack(retry_budget_t *budget, const retry_limits_t *limits,
			 double share, medlar_time_t now)
{
	double part = retry_budget_slack_max(limits, share);
	double passed = (double)(now - budget->refilled_at);

	budget->refilled_at = now;
	budget->slack += part * passed / (double)limits->window;
	if (budget->slack > part)
		budget->slack = part;
}

/**
 * retry_budget_covers() - check whether a retry could be paid for
 * @budget: budget
 * @limits: limits for all instances together
 * @share: share of this instance in the slack, 0 to 1
 * @now: current time, ms
 *
 * Return: whether retry_budget_withdraw() would succeed without a reserve.
 */
bool retry_budget_covers(retry_budget_t *budget, const retry_limits_t *limits,
			 double share, medlar_time_t now)
{
	refill_slack(budget, limits, share, now);
	return earned_left(budget, limits, now) + budget->slack >= 1;
}

/**
 * retry_budget_withdraw() - charge one retry or hedge to the budget
 * @budget: budget
 * @limits: limits for all instances together
 * @share: share of this instance in the slack, 0 to 1
 * @reserve: attempts that must be left afterwards for more urgent ones
 * @now: current time, ms
 *
 * Return: whether the attempt may be made; if not, nothing is charged.
 */
bool retry_budget_withdraw(retry_budget_t *budget, const retry_limits_t *limits,
			   double share, double reserve, medlar_time_t now)
{
	double earned = earned_left(budget, limits, now);
	double paid = fmin(1, earned);

	refill_slack(budget, limits, share, now);
	if (earned + budget->slack < 1 + reserve)
		return false;
	budget->earned -= paid;
	budget->slack -= 1 - paid;
	current_period(budget, limits, now)->spent += paid;
	return true;
}
