/**
 * DOC: service discovery: instance lists, partition maps and configuration
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/args.h"
#include "medlard/control.h"
#include "medlard/wire.h"

/* Rate at which all instances together poll instance lists. */
#define LIST_CALLS_PER_SECOND 400.0

#define MAP_KEY_PREFIX "medlar/config/maps/"
#define CONFIG_KEY "medlar/config"

/**
 * struct posted_text - a configuration or partition map posted to a worker
 * @text: JSON text
 * @number: number of the service; unused for a configuration
 */
typedef struct posted_text {
	medlar_buf_t text;
	size_t number;
} posted_text_t;

static posted_text_t *new_posted_text(medlar_str_t text, size_t number)
{
	posted_text_t *posted = calloc(1, sizeof(*posted));

	if (!posted)
		return NULL;
	medlar_buf_init(&posted->text);
	medlar_buf_add(&posted->text, text);
	posted->number = number;
	return posted;
}

static void free_posted_text(posted_text_t *posted)
{
	medlar_buf_finish(&posted->text);
	free(posted);
}

static void apply_config(worker_t *worker, void *data)
{
	posted_text_t *posted = data;
	medlar_config_t config;

	if (!medlar_config_parse(&worker->client, &config,
				 MEDLAR_STR(CONFIG_KEY),
				 medlar_buf_str(&posted->text))) {
		medlar_config_finish(&worker->config);
		worker->config = config;
		worker->configured = true;
		(void)service_configure(worker, &config);
		worker_update_shares(worker);
	}
	free_posted_text(posted);
}

static void apply_map(worker_t *worker, void *data)
{
	posted_text_t *posted = data;
	medlar_map_t map;
	int error;

	error = medlar_map_parse(&map, medlar_buf_str(&posted->text));
	if (!error) {
		error = medlar_service_set_map(
			&worker->client,
			&worker->services[posted->number]->core, &map);
		medlar_map_finish(&map);
	}
	if (error)
		LOG_LINE(
			&worker->log, LOG_LEVEL_WARNING, "map",
			MEDLAR_TEXT(
				"service",
				medlar_str_from(worker->services[posted->number]
							->name)),
			MEDLAR_TEXT("error",
				    medlar_str_from(medlar_error_name(error))));
	free_posted_text(posted);
}

/**
 * struct posted_list - an instance list posted to the owner of a service
 * @number: number of the service
 * @infos: replicas of the service
 * @len: number of replicas
 */
typedef struct posted_list {
	size_t number;
	medlar_replica_info_t *infos;
	size_t len;
} posted_list_t;

static void apply_list(worker_t *worker, void *data)
{
	posted_list_t *posted = data;

	service_set_replicas(worker->services[posted->number], posted->infos,
			     posted->len);
	free(posted->infos);
	free(posted);
}

static unsigned get_owner(const control_t *control, size_t number)
{
	return (unsigned)(number % control->workers_len);
}

static void post_list(listed_service_t *service, medlar_replica_info_t *infos,
		      size_t len)
{
	posted_list_t *posted = malloc(sizeof(*posted));

	if (!posted) {
		free(infos);
		return;
	}
	*posted = (posted_list_t){ service->number, infos, len };
	control_post(service->control,
		     get_owner(service->control, service->number), apply_list,
		     posted);
}

/**
 * directory_poll_interval() - get the time until the next poll of an instance
 *	list
 * @control: control thread
 * @failures: number of consecutive failed polls
 *
 * Grows with the number of instances, so that all together poll at a constant
 * rate.
 *
 * Return: interval with jitter, ms.
 */
medlar_time_t directory_poll_interval(control_t *control, uint32_t failures)
{
	const directory_t *directory = &control->directory;
	medlar_time_t period = medlar_poll_interval(
		control->settings.platform.list_ms,
		directory->instances_len + 1, directory->services_len + 1,
		LIST_CALLS_PER_SECOND);
	medlar_time_t jitter = (medlar_time_t)medlar_rand_below(
		&control->client.rand, (uint64_t)period / 4 + 1);

	if (failures > 0)
		period += store_backoff(&control->client, failures);
	return period + jitter - period / 8;
}

static void on_list_reply(const store_result_t *result, void *data)
{
	listed_service_t *service = data;
	control_t *control = service->control;
	directory_t *directory = &control->directory;
	medlar_replica_info_t *infos = NULL;
	size_t len = 0;
	int error = MEDLAR_ERR_IO;

	if (result->status == MEDLAR_STORE_OK)
		error = listing_parse_replicas(result->body, &directory->zones,
					       &service->policy, &infos, &len);
	service->failures = error ? service->failures + 1 : 0;
	if (!error && len > 0) {
		peering_mark_draining_replicas(&control->peering, infos, len);
		post_list(service, infos, len);
	} else {
		free(infos);
	}
	if (!error && len == 0)
		LOG_LINE(&control->log, LOG_LEVEL_WARNING, "list_empty",
			 MEDLAR_TEXT("service",
				     medlar_str_from(service->policy.name)));
	(void)medlar_timer_set(
		&control->client, &service->timer,
		control->loop.now +
			directory_poll_interval(control, service->failures));
}

static void poll_list(medlar_client_t *client, medlar_timer_t *timer,
		      medlar_time_t now, void *data)
{
	listed_service_t *service = data;
	char path[STORE_PATH_MAX];
	const store_request_t request = {
		.method = "GET",
		.path = path,
		.done = on_list_reply,
		.data = service,
	};

	snprintf(path, sizeof(path), "/v1/health/service/%s",
		 service->policy.name);
	if (store_send(&service->control->store, &request))
		(void)medlar_timer_set(
			client, timer,
			now + directory_poll_interval(service->control,
						      ++service->failures));
}

static listed_service_t *find_service(directory_t *directory, medlar_str_t name)
{
	for (size_t i = 0; i < directory->services_len; i++)
		if (medlar_str_equal(
			    medlar_str_from(
				    directory->services[i]->policy.name),
			    name))
			return directory->services[i];
	return NULL;
}

static void add_service(directory_t *directory, const medlar_policy_t *policy)
{
	control_t *control = directory->control;
	listed_service_t *service = calloc(1, sizeof(*service));
	listed_service_t **services;

	services = realloc(directory->services,
			   (directory->services_len + 1) *
				   sizeof(listed_service_t *));
	if (services)
		directory->services = services;
	if (!service || !services) {
		free(service);
		return;
	}
	service->control = control;
	service->policy = *policy;
	service->number = directory->services_len;
	services[directory->services_len++] = service;
	/* Read all maps again: this service's may have been ignored. */
	directory->watch.index = 0;
	medlar_timer_init(&service->timer, poll_list, service);
	(void)medlar_timer_set(&control->client, &service->timer,
			       control->loop.now);
}

static void update_services(directory_t *directory,
			    const medlar_config_t *config)
{
	for (size_t i = 0; i < config->len; i++) {
		const medlar_policy_t *policy = &config->services[i];
		listed_service_t *service = find_service(
			directory, medlar_str_from(policy->name));

		if (service)
			service->policy = *policy;
		else
			add_service(directory, policy);
	}
}

static void post_config(directory_t *directory, medlar_str_t config)
{
	for (size_t i = 0; i < directory->control->workers_len; i++) {
		posted_text_t *posted = new_posted_text(config, 0);

		if (posted)
			control_post(directory->control, i, apply_config,
				     posted);
	}
}

static void log_config(directory_t *directory, uint64_t revision,
		       medlar_str_t source, int error)
{
	LOG_LINE(&directory->control->log,
		 error ? LOG_LEVEL_ERROR : LOG_LEVEL_NOTICE, "config",
		 MEDLAR_NUM("revision", revision),
		 MEDLAR_NUM("in_force", directory->revision),
		 MEDLAR_TEXT("source", source),
		 MEDLAR_TEXT("result",
			     medlar_str_from(medlar_error_name(error))));
}

/**
 * directory_offer_config() - apply a configuration if it is newer
 * @directory: directory
 * @revision: revision of the configuration
 * @config: JSON text of the configuration
 * @source: origin of the configuration, for the log
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_STALE if one at least as new is in force,
 * %MEDLAR_ERR_CONFLICT if the text states another revision, or the error of a
 * text that cannot be parsed.
 */
int directory_offer_config(directory_t *directory, uint64_t revision,
			   medlar_str_t config, medlar_str_t source)
{
	medlar_config_t parsed;
	int error;

	if (revision <= directory->revision)
		return MEDLAR_ERR_STALE;
	error = medlar_config_parse(&directory->control->client, &parsed,
				    MEDLAR_STR(CONFIG_KEY), config);
	if (!error && parsed.revision != revision) {
		medlar_config_finish(&parsed);
		error = MEDLAR_ERR_CONFLICT;
	}
	if (error) {
		log_config(directory, revision, source, error);
		return error;
	}
	directory->revision = revision;
	directory->address_ttl = parsed.address_ttl;
	medlar_buf_reset(&directory->config);
	medlar_buf_add(&directory->config, config);
	update_services(directory, &parsed);
	post_config(directory, config);
	peering_offer_config(&directory->control->peering, revision, config);
	log_config(directory, revision, source, MEDLAR_OK);
	medlar_config_finish(&parsed);
	return MEDLAR_OK;
}

static bool is_newer_map(listed_service_t *service, medlar_str_t map)
{
	uint64_t epoch;

	if (!wire_parse_number(args_member_text(map, MEDLAR_STR("epoch")),
			       INT64_MAX, &epoch) ||
	    epoch <= service->epoch)
		return false;
	service->epoch = epoch;
	return true;
}

static void read_map_value(directory_t *directory, medlar_str_t name,
			   medlar_str_t map)
{
	listed_service_t *service = find_service(directory, name);
	posted_text_t *posted;

	if (!service || !is_newer_map(service, map))
		return;
	posted = new_posted_text(map, service->number);
	if (posted)
		control_post(directory->control,
			     get_owner(directory->control, posted->number),
			     apply_map, posted);
}

static void read_config_value(directory_t *directory, medlar_str_t value)
{
	medlar_str_t revision = args_member_text(value, MEDLAR_STR("revision"));
	medlar_str_t config = args_member_text(value, MEDLAR_STR("config"));
	uint64_t number;

	if (!wire_parse_number(revision, INT64_MAX, &number) ||
	    config.len == 0) {
		log_config(directory, 0, MEDLAR_STR("store"),
			   MEDLAR_ERR_SYNTAX);
		return;
	}
	(void)directory_offer_config(directory, number, config,
				     MEDLAR_STR("store"));
}

static void on_stored_value(medlar_str_t key, medlar_str_t value,
			    uint64_t index, void *data)
{
	size_t prefix = strlen(MAP_KEY_PREFIX);

	(void)index;
	if (medlar_str_equal(key, MEDLAR_STR(CONFIG_KEY)))
		read_config_value(data, value);
	else if (key.len > prefix &&
		 memcmp(key.ptr, MAP_KEY_PREFIX, prefix) == 0)
		read_map_value(
			data,
			(medlar_str_t){ key.ptr + prefix, key.len - prefix },
			value);
}

/**
 * directory_init() - start to read from the platform
 * @directory: directory to initialize
 * @control: control thread whose store has been started
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int directory_init(directory_t *directory, control_t *control)
{
	*directory = (directory_t){
		.control = control,
		.incarnation = control->peering.incarnation,
	};
	medlar_buf_init(&directory->config);
	(void)zones_intern(&directory->zones,
			   medlar_str_from(control->settings.zone));
	if (instances_init(directory))
		return MEDLAR_ERR_NOMEM;
	return store_watch_start(&directory->watch, &control->store,
				 "/v1/kv/" CONFIG_KEY "?recurse",
				 on_stored_value, directory);
}

/**
 * directory_finish() - stop polling and release the directory
 * @directory: directory; no store calls may be in progress
 */
void directory_finish(directory_t *directory)
{
	medlar_client_t *client = &directory->control->client;

	instances_finish(directory);
	store_watch_stop(&directory->watch);
	for (size_t i = 0; i < directory->services_len; i++) {
		medlar_timer_clear(client, &directory->services[i]->timer);
		free(directory->services[i]);
	}
	free(directory->services);
	medlar_buf_finish(&directory->config);
}
