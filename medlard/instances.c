/**
 * DOC: list of instances of the entry daemon, and registration in it
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/control.h"

/* Time between two registrations, after a success and after a failure, ms. */
#define REGISTER_PERIOD (10 * MEDLAR_SECOND)
#define REGISTER_RETRY (MEDLAR_SECOND / 2)
#define SERVICE_NAME "medlard"

/**
 * struct instances_update - the list as posted to a worker
 * @items: instances, sorted by name
 * @len: number of instances
 * @peers: instances that share the upstreams; unused if @ids is NULL
 * @ids: ids in @peers; NULL if only the list is known
 */
typedef struct instances_update {
	instance_t *items;
	size_t len;
	medlar_peers_t peers;
	uint64_t *ids;
} instances_update_t;

static void apply_instances(worker_t *worker, void *data)
{
	instances_update_t *update = data;

	(void)worker_set_instances(worker, update->items, update->len);
	if (update->ids)
		(void)worker_set_peers(worker, &update->peers);
	worker_update_shares(worker);
	free(update->ids);
	free(update->items);
	free(update);
}

static void copy_peers(const directory_t *directory, instances_update_t *update)
{
	medlar_peers_t peers;

	if (!peering_get_peers(&directory->control->peering, &peers))
		return;
	update->ids = calloc(peers.len, sizeof(*update->ids));
	if (!update->ids)
		return;
	memcpy(update->ids, peers.ids, peers.len * sizeof(*update->ids));
	update->peers = peers;
	update->peers.ids = update->ids;
}

static void post_to_worker(const directory_t *directory, size_t worker)
{
	size_t size = directory->instances_len * sizeof(instance_t);
	instances_update_t *update = calloc(1, sizeof(*update));

	if (!update)
		return;
	update->len = directory->instances_len;
	update->items = malloc(size + 1);
	if (!update->items) {
		free(update);
		return;
	}
	memcpy(update->items, directory->instances, size);
	copy_peers(directory, update);
	control_post(directory->control, worker, apply_instances, update);
}

static void post_to_workers(const directory_t *directory)
{
	for (size_t i = 0; i < directory->control->workers_len; i++)
		post_to_worker(directory, i);
}

static void describe_self(const directory_t *directory, instance_t *self)
{
	const settings_t *settings = &directory->control->settings;
	const endpoint_t *address = settings_public_address(settings);

	*self = (instance_t){
		.port = (uint16_t)address->port,
		.peer_port = (uint16_t)settings->peer_port,
		.incarnation = directory->incarnation,
		.leaving = directory->leaving,
	};
	memcpy(self->name, settings->name, sizeof(self->name));
	memcpy(self->host, address->host, sizeof(self->host));
	memcpy(self->zone, settings->zone, sizeof(self->zone));
}

static int compare_names(const void *a, const void *b)
{
	const instance_t *first = a;
	const instance_t *second = b;

	return strcmp(first->name, second->name);
}

/**
 * instances_find() - find an instance in a list sorted by name
 * @items: instances, sorted by name
 * @len: number of instances
 * @name: name, NUL-terminated, at most %MEDLAR_NAME_MAX bytes
 *
 * Return: the instance, or NULL.
 */
instance_t *instances_find(instance_t *items, size_t len, const char *name)
{
	instance_t wanted = { 0 };

	snprintf(wanted.name, sizeof(wanted.name), "%s", name);
	return bsearch(&wanted, items, len, sizeof(*items), compare_names);
}

/* A list entry that is older than what is known must not undo a shutdown. */
static void keep_newer_state(const directory_t *directory, instance_t *items,
			     size_t len)
{
	for (size_t i = 0; i < directory->instances_len; i++) {
		const instance_t *known = &directory->instances[i];
		instance_t *listed = instances_find(items, len, known->name);

		if (!listed || listed->incarnation > known->incarnation)
			continue;
		listed->incarnation = known->incarnation;
		listed->leaving = listed->leaving || known->leaving;
	}
}

static void set_instances(directory_t *directory, instance_t *items, size_t len)
{
	const char *name = directory->control->settings.name;
	instance_t *self;

	qsort(items, len, sizeof(*items), compare_names);
	keep_newer_state(directory, items, len);
	for (size_t i = 0; i < len; i++)
		peering_seed(&directory->control->peering, &items[i]);
	(void)peering_merge_members(&directory->control->peering, &items, &len);
	qsort(items, len, sizeof(*items), compare_names);
	self = instances_find(items, len, name);
	if (!self)
		self = &items[len++];
	describe_self(directory, self);
	qsort(items, len, sizeof(*items), compare_names);
	free(directory->instances);
	directory->instances = items;
	directory->instances_len = len;
	post_to_workers(directory);
}

/**
 * instances_refresh() - merge a change of the membership into the list
 * @directory: directory
 */
void instances_refresh(directory_t *directory)
{
	size_t len = directory->instances_len;
	instance_t *items = calloc(len + 1, sizeof(*items));

	if (!items)
		return;
	memcpy(items, directory->instances, len * sizeof(*items));
	set_instances(directory, items, len);
}

static void on_list(const store_result_t *result, void *data)
{
	directory_t *directory = data;
	control_t *control = directory->control;
	instance_t *items = NULL;
	size_t len = 0;
	int error = MEDLAR_ERR_IO;

	if (result->status == MEDLAR_STORE_OK)
		error = listing_parse_instances(result->body, &items, &len);
	if (error) {
		directory->instances_failures++;
	} else {
		directory->instances_failures = 0;
		/* listing_parse_instances() leaves room for this instance. */
		set_instances(directory, items, len);
	}
	(void)medlar_timer_set(
		&control->client, &directory->instances_timer,
		control->loop.now +
			directory_poll_interval(control,
						directory->instances_failures));
}

static void poll_list(medlar_client_t *client, medlar_timer_t *timer,
		      medlar_time_t now, void *data)
{
	directory_t *directory = data;
	const store_request_t request = {
		.method = "GET",
		.path = "/v1/health/service/" SERVICE_NAME,
		.done = on_list,
		.data = directory,
	};

	if (store_send(&directory->control->store, &request))
		(void)medlar_timer_set(
			client, timer,
			now + directory_poll_interval(
				      directory->control,
				      ++directory->instances_failures));
}

static void on_registered(const store_result_t *result, void *data)
{
	directory_t *directory = data;
	const loop_t *loop = &directory->control->loop;
	medlar_time_t wait = result->status == MEDLAR_STORE_OK ? REGISTER_PERIOD
							       : REGISTER_RETRY;

	(void)medlar_timer_set(loop->client, &directory->register_timer,
			       loop->now + wait);
}

static void write_registration(const directory_t *directory, medlar_buf_t *out)
{
	const settings_t *settings = &directory->control->settings;
	const endpoint_t *address = settings_public_address(settings);
	medlar_str_t name = medlar_str_from(settings->name);

	medlar_buf_add(out, MEDLAR_STR("{\"ID\":"));
	medlar_buf_json_string(out, name);
	medlar_buf_printf(
		out,
		",\"Name\":\"%s\",\"Address\":\"%s\",\"Port\":%" PRId64
		",\"Meta\":{\"zone\":",
		SERVICE_NAME, address->host, address->port);
	medlar_buf_json_string(out, medlar_str_from(settings->zone));
	medlar_buf_printf(out,
			  ",\"incarnation\":\"%" PRId64
			  "\",\"state\":\"%s\",\"peer_port\":\"%" PRId64 "\"}}",
			  directory->incarnation,
			  directory->leaving ? "leaving" : "live",
			  settings->peer_port);
}

static void register_self(medlar_client_t *client, medlar_timer_t *timer,
			  medlar_time_t now, void *data)
{
	directory_t *directory = data;
	store_request_t request = {
		.method = "PUT",
		.path = "/v1/agent/service/register",
		.is_write = true,
		.done = on_registered,
		.data = directory,
	};
	medlar_buf_t entry;

	medlar_buf_init(&entry);
	write_registration(directory, &entry);
	request.body = medlar_buf_str(&entry);
	if (store_send(&directory->control->store, &request))
		(void)medlar_timer_set(client, timer, now + REGISTER_RETRY);
	medlar_buf_finish(&entry);
}

static instance_t *instances_from_settings(const directory_t *directory)
{
	const settings_t *settings = &directory->control->settings;
	const peer_setting_t *peers = settings->peers.items;
	instance_t *items = calloc(settings->peers.len + 1, sizeof(*items));

	if (!items)
		return NULL;
	for (size_t i = 0; i < settings->peers.len; i++) {
		items[i].port = (uint16_t)peers[i].port;
		items[i].peer_port = (uint16_t)peers[i].peer_port;
		memcpy(items[i].name, peers[i].name, sizeof(items[i].name));
		memcpy(items[i].host, peers[i].host, sizeof(items[i].host));
		memcpy(items[i].zone, peers[i].zone, sizeof(items[i].zone));
	}
	return items;
}

/**
 * instances_init() - start to register this instance and to poll the list
 * @directory: directory
 *
 * Until the list has been read, the peers in the settings count as live.
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_NOMEM.
 */
int instances_init(directory_t *directory)
{
	control_t *control = directory->control;
	instance_t *items = instances_from_settings(directory);

	if (!items)
		return MEDLAR_ERR_NOMEM;
	set_instances(directory, items, control->settings.peers.len);
	medlar_timer_init(&directory->instances_timer, poll_list, directory);
	medlar_timer_init(&directory->register_timer, register_self, directory);
	if (medlar_timer_set(&control->client, &directory->instances_timer,
			     control->loop.now))
		return MEDLAR_ERR_NOMEM;
	return medlar_timer_set(&control->client, &directory->register_timer,
				control->loop.now);
}

/**
 * instances_finish() - stop registering and polling, and free the list
 * @directory: directory
 */
void instances_finish(directory_t *directory)
{
	medlar_client_t *client = &directory->control->client;

	medlar_timer_clear(client, &directory->instances_timer);
	medlar_timer_clear(client, &directory->register_timer);
	free(directory->instances);
	directory->instances = NULL;
	directory->instances_len = 0;
}

/**
 * instances_announce_leaving() - announce that this instance is shutting down
 * @directory: directory
 */
void instances_announce_leaving(directory_t *directory)
{
	control_t *control = directory->control;
	instance_t *self = instances_find(directory->instances,
					  directory->instances_len,
					  control->settings.name);

	directory->leaving = true;
	peering_announce_leaving(&control->peering);
	if (self)
		describe_self(directory, self);
	post_to_workers(directory);
	(void)medlar_timer_set(&control->client, &directory->register_timer,
			       control->loop.now);
}

/**
 * instances_deregister() - remove this instance from the list
 * @directory: directory
 * @done: called once with the result, possibly before this function returns
 * @data: passed to @done
 */
void instances_deregister(directory_t *directory, store_done_fn_t done,
			  void *data)
{
	control_t *control = directory->control;
	char path[STORE_PATH_MAX];
	const store_request_t request = {
		.method = "PUT",
		.path = path,
		.is_write = true,
		.done = done,
		.data = data,
	};
	const store_result_t failed = { .status = MEDLAR_STORE_DOWN };

	peering_announce_stopped(&control->peering);
	medlar_timer_clear(&control->client, &directory->register_timer);
	snprintf(path, sizeof(path), "/v1/agent/service/deregister/%s",
		 control->settings.name);
	if (store_send(&control->store, &request))
		done(&failed, data);
}
