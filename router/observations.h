/**
 * DOC: exchange of measurements of replicas between instances
 *
 * Late replies are reported to the observer of their replica, which announces it
 * as slow if several instances agree. Announcements are passed on from instance
 * to instance.
 */
#ifndef ROUTER_OBSERVATIONS_H
#define ROUTER_OBSERVATIONS_H

#include "libroute/fleet.h"
#include "router/peers.h"

/**
 * struct observations - exchange of measurements
 * @loop: event loop
 * @log: log of replicas that are announced by this instance
 * @stats: counters
 * @fleet: replicas
 * @peers: other instances
 * @observer: replicas that this instance observes
 * @announcements: announcements to be passed on
 * @reports_left: reports that may be sent until the next observations_tick()
 */
typedef struct observations {
	loop_t *loop;
	log_batch_t *log;
	stats_t *stats;
	fleet_t *fleet;
	peers_t *peers;
	observer_t observer;
	announcements_t announcements;
	unsigned reports_left;
} observations_t;

void observations_init(observations_t *observations, loop_t *loop,
		       log_batch_t *log, stats_t *stats, fleet_t *fleet,
		       peers_t *peers);
void observations_add_report(observations_t *observations,
			     const replica_report_t *report);
void observations_add_announcement(observations_t *observations,
				   const announcement_t *announcement);
void observations_tick(observations_t *observations);

#endif /* ROUTER_OBSERVATIONS_H */
