/**
 * DOC: the instance list of the platform, see docs/PLATFORM.md
 */
#ifndef MEDLARD_LISTING_H
#define MEDLARD_LISTING_H

#include "libmedlar/medlar.h"

#define LISTING_ZONES_MAX 64

/**
 * struct instance - an instance of medlard
 * @name: its unique name, terminated
 * @host: IP address in text form, terminated
 * @port: port for callers
 * @peer_port: port of the peer protocol; 0 for none
 * @zone: its availability zone, terminated
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
 * @names: names, terminated; the number is the index plus one
 * @len: how many
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
