/**
 * DOC: budget for retries and hedges to a service
 *
 * All instances together may retry and hedge a service only for a share of its
 * requests, plus a fixed number of attempts in each window. Each instance earns
 * the share from its own requests and owns an equal part of the fixed number,
 * so that the total holds without coordination.
 *
 * Load pattern: after a calm time, all replicas begin to fail part of their
 * requests. Every instance has saved up attempts and spends them at once. No
 * instance spends more in any window than the requests of that window earn, so
 * what was saved replaces what is earned during the failures and does not add to
 * it.
 */
#ifndef LIBROUTE_RETRY_BUDGET_H
#define LIBROUTE_RETRY_BUDGET_H

#include "libmedlar/medlar.h"

/**
 * struct retry_limits - limits for all instances together
 * @ratio: retries and hedges allowed for each request
 * @slack: further retries and hedges allowed in each window
 * @window: length of the window, ms
 */
typedef struct retry_limits {
	double ratio;
	double slack;
	medlar_time_t window;
} retry_limits_t;

/** Periods into which a window is divided to count what happened in it. */
#define RETRY_PERIODS 10

/**
 * struct retry_period - what happened in a part of the window
 * @requests: requests to the service
 * @spent: attempts paid for with what requests have earned
 */
typedef struct retry_period {
	unsigned requests;
	double spent;
} retry_period_t;

/**
 * struct retry_budget - retries and hedges that this instance may still make
 * @earned: earned from requests and saved up
 * @slack: left of this instance's part of the fixed number
 * @refilled_at: when @slack was last refilled, ms
 * @periods: the current period, and those of the window before it, as a ring
 * @period: number of the current period since time 0
 */
typedef struct retry_budget {
	double earned;
	double slack;
	medlar_time_t refilled_at;
	retry_period_t periods[RETRY_PERIODS + 1];
	medlar_time_t period;
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget, const retry_limits_t *limits,
		       double share, medlar_time_t now);
void retry_budget_deposit(retry_budget_t *budget, const retry_limits_t *limits,
			  medlar_time_t now);
bool retry_budget_covers(retry_budget_t *budget, const retry_limits_t *limits,
			 double share, medlar_time_t now);
double retry_budget_slack_max(const retry_limits_t *limits, double share);
bool retry_budget_withdraw(retry_budget_t *budget, const retry_limits_t *limits,
			   double share, double reserve, medlar_time_t now);

#endif /* LIBROUTE_RETRY_BUDGET_H */
