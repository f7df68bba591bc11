/**
 * DOC: retry budget: a token bucket for hedges and retries
 *
 * Only first sends deposit tokens, so extra sends never exceed the configured
 * share of first sends by more than the reserve, however slow or broken the
 * upstreams are.
 */
#include "medlar.h"

/**
 * medlar_budget_init() - initialise an empty budget
 * @budget: budget in memory of the caller
 * @share: tokens deposited by each first send, 0 to 1
 * @cap: most tokens held; bounds a burst of extra sends
 */
void medlar_budget_init(medlar_budget_t *budget, double share, double cap)
{
	*budget = (medlar_budget_t){ .share = share, .cap = cap };
}

/**
 * medlar_budget_set_reserve() - set the reserve for silent connections
 * @budget: budget
 * @cap: most tokens in the reserve; an increase is filled at once
 *
 * When the network loses the state of connections, many of them fall silent at
 * once, more than the deposited tokens can retry. The upstreams did not receive
 * these requests, so one retry of each adds no load.
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
 * medlar_budget_deposit() - add the tokens that a first send is worth
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
 * medlar_budget_withdraw() - take a token for an extra send
 * @budget: budget
 *
 * Return: true if a token was taken and the send is allowed.
 */
bool medlar_budget_withdraw(medlar_budget_t *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}

/**
 * medlar_budget_withdraw_reserve() - take a token for a retry after silence
 * @budget: budget
 *
 * Takes it from the reserve first, for retries after %MEDLAR_FAULT_SILENT.
 *
 * Return: true if a token was taken and the send is allowed.
 */
bool medlar_budget_withdraw_reserve(medlar_budget_t *budget)
{
	if (budget->reserve < 1)
		return medlar_budget_withdraw(budget);
	budget->reserve -= 1;
	return true;
}
