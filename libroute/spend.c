/**
 * DOC: budget of extra sends to a service
 */
#include "libroute/spend.h"

/*
 * A bucket that is full at the start of a window and refilled during it gives
 * twice its size; a restart within the window gives what a start does besides.
 */
#define HOLD_MAX 0.4
#define START_PART 0.2
/* Part of the ratio that is earned; the rest covers what is counted late. */
#define EARNED_PART 0.95
/* Extra sends that may be saved up from requests. */
#define EARNED_MAX 12.0

/**
 * spend_init() - start with a small budget
 * @spend: memory of the caller
 * @limits: what all instances may spend together
 * @share: this instance's part of the fixed number, 0 to 1
 * @now: current time
 *
 * An instance that restarts has forgotten what it spent in this window.
 */
void spend_init(spend_t *spend, const spend_limits_t *limits, double share,
		medlar_time_t now)
{
	*spend = (spend_t){ .fixed = limits->slack * share * START_PART,
			    .refilled = now };
}

/**
 * spend_request() - earn from a request to the service
 * @spend: budget
 * @limits: what all instances may spend together
 */
void spend_request(spend_t *spend, const spend_limits_t *limits)
{
	spend->earned += limits->ratio * EARNED_PART;
	if (spend->earned > EARNED_MAX)
		spend->earned = EARNED_MAX;
}

static void refill(spend_t *spend, const spend_limits_t *limits, double share,
		   medlar_time_t now)
{
	double part = limits->slack * share * HOLD_MAX;
	double passed = (double)(now - spend->refilled);

	spend->refilled = now;
	spend->fixed += part * passed / (double)limits->window;
	if (spend->fixed > part)
		spend->fixed = part;
}

/**
 * spend_try() - pay for one extra send
 * @spend: budget
 * @limits: what all instances may spend together
 * @share: this instance's part of the fixed number, 0 to 1
 * @reserve: sends that must be left afterwards, for more urgent ones
 * @now: current time
 *
 * Return: whether the send may be made.
 */
bool spend_try(spend_t *spend, const spend_limits_t *limits, double share,
	       double reserve, medlar_time_t now)
{
	refill(spend, limits, share, now);
	if (spend->earned + spend->fixed < 1 + reserve)
		return false;
	spend->earned -= 1;
	if (spend->earned < 0) {
		spend->fixed += spend->earned;
		spend->earned = 0;
	}
	return true;
}
