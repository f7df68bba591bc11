/**
 * DOC: parsing of the platform's instance lists, see docs/PLATFORM.md
 */
#ifndef MEDLARD_LISTING_H
#define MEDLARD_LISTING_H

#include "libmedlar/medlar.h"

/** Largest number of availability zones that are told apart. */
#define LISTING_ZONES_MAX 64

/**
 * struct instance - an instance of medlard
 * @name: unique name, NUL-terminated
 * @host: IP address as text, NUL-terminated
 * @port: TCP port for callers
 * @peer_port: port of the peer protocol; 0 for none
 * @zone: availability zone, NUL-terminated
 * @incarnation: when it started, ms since 1970
 * @leaving: it is shutting down
 */
typedef struct instance {
	char name[MEDLAR_NAME_MAX + 1];
	char host[MEDLAR_HOST_MAX + 1];
	uint16_t port;
	uint16_t peer_port;
	char zone[MEDLAR_NAME_MAX + 1];
	medlar_time_t incarnation;
	bool leaving;
} instance_t;

/**
 * struct zones - numbers of availability zones
 * @names: names, NUL-terminated; the number of a zone is its index plus one
 * @len: number of zones
 */
typedef struct zones {
	char names[LISTING_ZONES_MAX][MEDLAR_NAME_MAX + 1];
	size_t len;
} zones_t;

uint16_t zones_intern(zones_t *zones, medlar_str_t name);
int listing_parse_replicas(medlar_str_t json, zones_t *zones,
			   const medlar_policy_t *policy,
			   medlar_replica_info_t **out, size_t *len);
int listing_parse_instances(medlar_str_t json, instance_t **out, size_t *len);

#endif /* MEDLARD_LISTING_H */
