/**
 * DOC: state of fake-upstream: its services, replicas and event loops
 */
#ifndef FAKES_COMMON_UPSTREAM_H
#define FAKES_COMMON_UPSTREAM_H

#include "common_replica.h"

/**
 * struct fake_upstream - the stand-in for all upstreams
 * @platform: ``HOST:PORT`` of the platform, or empty to register nothing
 * @control_port: TCP port of the control interface
 * @services: services
 * @services_len: number of services
 * @replicas: replicas of all services
 * @replicas_len: number of replicas
 * @loops: event loops of the replicas, one for each thread
 * @loops_len: number of loops
 * @zones: names of the availability zones
 * @zones_len: number of zones
 */
typedef struct fake_upstream {
	char platform[MEDLAR_NAME_MAX + 1];
	uint16_t control_port;
	fake_service_t *services;
	size_t services_len;
	fake_replica_t *replicas;
	size_t replicas_len;
	fake_loop_t *loops;
	size_t loops_len;
	char (*zones)[FAKE_ZONE_MAX + 1];
	size_t zones_len;
} fake_upstream_t;

int fake_upstream_load(fake_upstream_t *upstream, const char *file,
		       uint64_t seed);
void fake_upstream_finish(fake_upstream_t *upstream);
void fake_upstream_lock(fake_upstream_t *upstream);
void fake_upstream_unlock(fake_upstream_t *upstream);
int fake_service_split_evenly(fake_service_t *service);
void fake_service_rotate_shards(fake_service_t *service, uint32_t by);
int fake_service_shift_bounds(fake_service_t *service, uint64_t keys);

extern const fake_port_ops_t fake_control_ops;

#endif
