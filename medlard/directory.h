/**
 * DOC: service discovery: instance lists, partition maps and configuration
 *
 * Runs in the control thread: reads these from the platform and posts the
 * newest version of each to the workers.
 */
#ifndef MEDLARD_DIRECTORY_H
#define MEDLARD_DIRECTORY_H

#include "medlard/listing.h"
#include "medlard/store.h"

typedef struct control control_t;
typedef struct worker worker_t;

/**
 * struct listed_service - polling of the instance list of a service
 * @control: control thread it belongs to
 * @policy: policy in force
 * @number: number of the service
 * @epoch: epoch of the newest partition map posted; 0 for none
 * @timer: starts the next poll
 * @failures: number of consecutive failed polls
 */
typedef struct listed_service {
	control_t *control;
	medlar_policy_t policy;
	size_t number;
	uint64_t epoch;
	medlar_timer_t timer;
	uint32_t failures;
} listed_service_t;

/**
 * struct directory - newest data read from the platform
 * @control: control thread it belongs to
 * @zones: numbers of the availability zones
 * @config: text of the configuration in force
 * @revision: revision of @config; 0 for none
 * @address_ttl: time for which callers may keep an address answer, ms
 * @watch: watch of the configuration and the partition maps
 * @services: services, indexed by their numbers
 * @services_len: number of services
 * @instances: entry instances, including this one
 * @instances_len: number of entry instances
 * @instances_timer: starts the next poll of the list of entry instances
 * @instances_failures: number of consecutive failed polls of that list
 * @register_timer: starts the next registration of this instance
 * @leaving: this instance is shutting down
 * @incarnation: when this instance started, ms since 1970
 */
typedef struct directory {
	control_t *control;
	zones_t zones;
	medlar_buf_t config;
	uint64_t revision;
	medlar_time_t address_ttl;
	store_watch_t watch;
	listed_service_t **services;
	size_t services_len;
	instance_t *instances;
	size_t instances_len;
	medlar_timer_t instances_timer;
	uint32_t instances_failures;
	medlar_timer_t register_timer;
	bool leaving;
	medlar_time_t incarnation;
} directory_t;

int directory_init(directory_t *directory, control_t *control);
void directory_finish(directory_t *directory);
int directory_offer_config(directory_t *directory, uint64_t revision,
			   medlar_str_t config, medlar_str_t source);
medlar_time_t directory_poll_interval(control_t *control, uint32_t failures);

/* instances.c */
int instances_init(directory_t *directory);
void instances_finish(directory_t *directory);
instance_t *instances_find(instance_t *items, size_t len, const char *name);
void instances_refresh(directory_t *directory);
void instances_announce_leaving(directory_t *directory);
void instances_deregister(directory_t *directory, store_done_fn_t done,
			  void *data);

#endif /* MEDLARD_DIRECTORY_H */
