/**
 * DOC: all replicas of the upstream stand-in, and their control
 */
#ifndef FAKES_COMMON_UPSTREAM_H
#define FAKES_COMMON_UPSTREAM_H

#include "common_replica.h"

/**
 * struct fake_upstream - services, replicas and the loops that run them
 * @platform: ``HOST:PORT`` of the platform, or an empty string
 * @control_port: TCP port of the control interface
 * @services: services
 * @services_len: how many
 * @replicas: replicas of all services
 * @replicas_len: how many
 * @loops: loops, one a thread
 * @loops_len: how many
 * @zones: names of the availability zones
 * @zones_len: how many
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
int fake_service_split(fake_service_t *service);
void fake_service_rotate(fake_service_t *service, uint32_t by);
int fake_service_shift(fake_service_t *service, uint64_t keys);

extern const fake_port_ops_t fake_control_ops;

#endif
