/**
 * DOC: a budget for hedges and retries
 *
 * Only first sends earn, so extra sends never exceed the configured share of
 * first sends, however slow or broken the upstreams are.
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
 * medlar_budget_earn() - count a first send
 * @budget: budget
 */
void medlar_budget_earn(medlar_budget_t *budget)
{
	budget->tokens += budget->share;
	if (budget->tokens > budget->cap)
		budget->tokens = budget->cap;
}

/**
 * medlar_budget_take() - pay for an extra send
 * @budget: budget
 *
 * Return: true when the send may be made.
 */
bool medlar_budget_take(medlar_budget_t *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}
