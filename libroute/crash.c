/**
 * DOC: telling a crash of a replica from a broken connection
 */
#include "libroute/crash.h"

/* Connections that end this close together end for one reason, ms. */
#define TOGETHER 30
/* A crashed replica refuses connections for at least some of this, ms. */
#define DOWN 2000

static uint64_t blame(crash_t *crash)
{
	uint64_t fingerprint = crash->fingerprint;

	crash->fingerprint = 0;
	return fingerprint;
}

static bool is_recent(medlar_time_t at, medlar_time_t now, medlar_time_t span)
{
	return at && now - at <= span;
}

/**
 * crash_broke() - the connection of a request broke before its answer
 * @crash: signs of the replica
 * @fingerprint: of the request; not 0
 * @now: current time
 *
 * Return: fingerprint of the request to blame, or 0.
 */
uint64_t crash_broke(crash_t *crash, uint64_t fingerprint, medlar_time_t now)
{
	uint64_t other = crash->fingerprint;

	if (is_recent(crash->broke_at, now, TOGETHER) && other &&
	    other != fingerprint)
		crash->lost_at = now;
	crash->fingerprint = fingerprint;
	crash->broke_at = now;
	crash->connected_at = 0;
	return is_recent(crash->lost_at, now, TOGETHER) ? blame(crash) : 0;
}

/**
 * crash_lost() - a connection without a request was ended by the replica
 * @crash: signs of the replica
 * @now: current time
 *
 * Return: fingerprint of the request to blame, or 0.
 */
uint64_t crash_lost(crash_t *crash, medlar_time_t now)
{
	bool together = is_recent(crash->broke_at, now, TOGETHER) ||
			is_recent(crash->connected_at, now, TOGETHER);

	crash->lost_at = now;
	return together ? blame(crash) : 0;
}

/**
 * crash_refused() - a new connection was refused
 * @crash: signs of the replica
 * @now: current time
 *
 * Return: fingerprint of the request to blame, or 0.
 */
uint64_t crash_refused(crash_t *crash, medlar_time_t now)
{
	if (crash->connected_at &&
	    !is_recent(crash->connected_at, now, TOGETHER))
		crash->fingerprint = 0;
	return is_recent(crash->broke_at, now, DOWN) ? blame(crash) : 0;
}

/**
 * crash_connected() - a new connection was accepted
 * @crash: signs of the replica
 * @now: current time
 *
 * The replica lives if the connection lasts: the system may have accepted it
 * just before it closed the port of a process that has ended.
 */
void crash_connected(crash_t *crash, medlar_time_t now)
{
	crash->connected_at = now;
}
