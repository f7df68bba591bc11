/**
 * DOC: distinguishing a crash of a replica from a broken connection
 */
#include "libroute/crash.h"

/* Connections that close within this time close for the same reason. */
#define SIMULTANEOUS_MS 30
/* A crashed replica refuses connections at some point within this time. */
#define DOWNTIME_MS 2000

static uint64_t take_fingerprint(crash_detector_t *detector)
{
	uint64_t fingerprint = detector->fingerprint;

	detector->fingerprint = 0;
	return fingerprint;
}

static bool is_recent(medlar_time_t at, medlar_time_t now, medlar_time_t span)
{
	return at && now - at <= span;
}

/**
 * crash_on_request_broken() - handle a connection that broke before the reply
 * @detector: evidence about the replica
 * @fingerprint: fingerprint of the request; not 0
 * @now: current time, ms
 *
 * Return: fingerprint of the request that crashed the replica, or 0 if no crash
 * is established.
 */
uint64_t crash_on_request_broken(crash_detector_t *detector,
				 uint64_t fingerprint, medlar_time_t now)
{
	uint64_t other = detector->fingerprint;

	if (is_recent(detector->request_broken_at, now, SIMULTANEOUS_MS) &&
	    other && other != fingerprint)
		detector->idle_closed_at = now;
	detector->fingerprint = fingerprint;
	detector->request_broken_at = now;
	detector->connected_at = 0;
	return is_recent(detector->idle_closed_at, now, SIMULTANEOUS_MS)
		       ? take_fingerprint(detector)
		       : 0;
}

/**
 * crash_on_idle_closed() - handle an idle connection that the replica closed
 * @detector: evidence about the replica
 * @now: current time, ms
 *
 * Return: fingerprint of the request that crashed the replica, or 0 if no crash
 * is established.
 */
uint64_t crash_on_idle_closed(crash_detector_t *detector, medlar_time_t now)
{
	bool together = is_recent(detector->request_broken_at, now,
				  SIMULTANEOUS_MS) ||
			is_recent(detector->connected_at, now, SIMULTANEOUS_MS);

	detector->idle_closed_at = now;
	return together ? take_fingerprint(detector) : 0;
}

/**
 * crash_on_connect_refused() - handle a refused connection
 * @detector: evidence about the replica
 * @now: current time, ms
 *
 * Return: fingerprint of the request that crashed the replica, or 0 if no crash
 * is established.
 */
uint64_t crash_on_connect_refused(crash_detector_t *detector, medlar_time_t now)
{
	if (detector->connected_at &&
	    !is_recent(detector->connected_at, now, SIMULTANEOUS_MS))
		detector->fingerprint = 0;
	return is_recent(detector->request_broken_at, now, DOWNTIME_MS)
		       ? take_fingerprint(detector)
		       : 0;
}

/**
 * crash_on_connected() - handle an accepted connection
 * @detector: evidence about the replica
 * @now: current time, ms
 *
 * This rules out a crash only if the connection lasts: the kernel may accept
 * it just before it closes the listening socket of a process that has exited.
 */
void crash_on_connected(crash_detector_t *detector, medlar_time_t now)
{
	detector->connected_at = now;
}
