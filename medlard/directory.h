/**
 * DOC: what the platform says: instance lists, partition maps, configuration
 *
 * Runs in the control thread, keeps the newest of each and posts it to the
 * workers.
 */
#ifndef MEDLARD_DIRECTORY_H
#define MEDLARD_DIRECTORY_H

#include "medlard/listing.h"
#include "medlard/store.h"

typedef struct control control_t;
typedef struct worker worker_t;

/**
 * struct listed_service - polling of the instance list of a service
 * @control: owner
 * @policy: policy in force
 * @number: number of the service
 * @epoch: newest partition map posted; 0 for none
 * @timer: next reading
 * @failures: readings that failed in a row
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
 * struct directory - what is known
 * @control: owner
 * @zones: numbers of the availability zones
 * @config: text of the configuration in force
 * @revision: its revision; 0 for none
 * @address_ttl: how long callers keep an address answer, ms
 * @watch: watch of the configuration and the partition maps
 * @services: by number
 * @services_len: how many
 * @instances: entry instances, this one included
 * @instances_len: how many
 * @instances_timer: next reading of their list
 * @instances_failures: readings that failed in a row
 * @register_timer: next announcement of this instance
 * @leaving: this instance is shutting down
 * @incarnation: when it started, ms since 1970
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
medlar_time_t directory_period(control_t *control, uint32_t failures);

/* instances.c */
int instances_init(directory_t *directory);
void instances_finish(directory_t *directory);
void instances_refresh(directory_t *directory);
void instances_leave(directory_t *directory);
void instances_deregister(directory_t *directory, store_done_fn_t done,
			  void *data);

#endif /* MEDLARD_DIRECTORY_H */
