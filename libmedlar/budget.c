/**
 * DOC: a budget for hedges and retries
 *
 * Only first sends earn, so extra sends never exceed the configured share of
 * first sends by more than the reserve, however slow or broken the upstreams
 * are.
 */
#include "medlar.h"

/**
 * medlar_budget_init() - start with nothing earned
 * @budget: memory of the caller
 * @share: tokens earned by each first send, 0 to 1
 * @cap: most tokens kept; bounds a burst of extra sends
 */
void medlar_budget_init(medlar_budget_t *budget, double share, double cap)
{
	*budget = (medlar_budget_t){ .share = share, .cap = cap };
}

/**
 * medlar_budget_set_reserve() - bound what is kept for silent connections
 * @budget: budget
 * @cap: most tokens in the reserve; those that it grows by are given at once
 *
 * Connections that are lost track of fall silent together, and nothing has
 * been earned for so many retries at once. The upstreams did not receive the
 * requests, so that a retry of each adds no load to them.
 */
void medlar_budget_set_reserve(medlar_budget_t *budget, double cap)
{
	if (cap > budget->reserve_cap)
		budget->reserve += cap - budget->reserve_cap;
	budget->reserve_cap = cap;
	if (budget->reserve > cap)
		budget->reserve = cap;
}

/**
 * medlar_budget_deposit() - count a first send
 * @budget: budget
 */
void medlar_budget_deposit(medlar_budget_t *budget)
{
	double beyond = budget->tokens + budget->share - budget->cap;

	if (beyond <= 0) {
		budget->tokens += budget->share;
		return;
	}
	budget->tokens = budget->cap;
	budget->reserve += beyond;
	if (budget->reserve > budget->reserve_cap)
		budget->reserve = budget->reserve_cap;
}

/**
 * medlar_budget_withdraw() - pay for an extra send
 * @budget: budget
 *
 * Return: true when the send may be made.
 */
bool medlar_budget_withdraw(medlar_budget_t *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}

/**
 * medlar_budget_withdraw_reserve() - pay for a retry after a silent connection
 * @budget: budget
 *
 * Return: true when the send may be made.
 */
bool medlar_budget_withdraw_reserve(medlar_budget_t *budget)
{
	if (budget->reserve < 1)
		return medlar_budget_withdraw(budget);
	budget->reserve -= 1;
	return true;
}
