/**
 * DOC: stand-in for the upstreams: all replicas of all services in one process
 *
 * Reads a file such as examples/kraisorn/upstreams.json and listens on one port
 * for each replica. A thread of its own registers the replicas at the platform
 * and writes the partition maps there, again whenever they change. The control
 * interface is that of fake_control_ops.
 */
#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common_upstream.h"

#define REGISTER_PERIOD_MS 20
#define REGISTER_RETRY_MS 200
#define PLATFORM_TIMEOUT_MS 2000L
#define HTTP_OK 200

/* State of the thread that registers replicas and maps at the platform. */
typedef struct registrar {
	fake_upstream_t *upstream;
	CURL *curl;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool stop;
} registrar_t;

static size_t discard_response(char *data, size_t size, size_t count,
			       void *userdata)
{
	(void)data;
	(void)userdata;
	return size * count;
}

static bool put_to_platform(registrar_t *registrar, const char *path,
			    const medlar_buf_t *body)
{
	CURL *curl = registrar->curl;
	medlar_buf_t url;
	long status = 0;
	CURLcode code;

	medlar_buf_init(&url);
	medlar_buf_printf(&url, "http://%s%s", registrar->upstream->platform,
			  path);
	curl_easy_setopt(curl, CURLOPT_URL, url.ptr);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "PUT");
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)body->len);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body->ptr ? body->ptr : "");
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_response);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, PLATFORM_TIMEOUT_MS);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	medlar_buf_finish(&url);
	return code == CURLE_OK && status == HTTP_OK;
}

static void write_list_entry(const fake_replica_t *replica, medlar_buf_t *out)
{
	const fake_replica_knobs_t *knobs = &replica->knobs;

	medlar_buf_printf(out,
			  "{\"ID\":\"%s\",\"Name\":\"%s\","
			  "\"Address\":\"127.0.0.1\",\"Port\":%u,\"Meta\":{",
			  replica->name, replica->service->name,
			  replica->port.port);
	medlar_buf_printf(out,
			  "\"shard\":\"%u\",\"zone\":\"%s\",\"slots\":\"%.0f\","
			  "\"connections\":\"%.0f\",\"incarnation\":\"%lld\",",
			  replica->shard, replica->zone, knobs->slots,
			  knobs->connections, (long long)replica->incarnation);
	medlar_buf_add(out, MEDLAR_STR("\"versions\":\""));
	fake_replica_write_versions(replica, out);
	medlar_buf_printf(out, "\",\"state\":\"%s\"}}",
			  replica->drain_started_at ? "leaving" : "live");
}

/*
 * Registers a replica, or deregisters it while it is down, if its entry is out
 * of date. Returns false if the platform did not accept the change.
 */
static bool update_list_entry(registrar_t *registrar, fake_replica_t *replica)
{
	pthread_mutex_t *lock = &replica->port.loop->lock;
	medlar_buf_t path;
	medlar_buf_t body;
	bool done = true;
	bool listed;

	medlar_buf_init(&path);
	medlar_buf_init(&body);
	pthread_mutex_lock(lock);
	listed = replica->registered;
	replica->registered = true;
	if (replica->down) {
		medlar_buf_printf(&path, "/v1/agent/service/deregister/%s",
				  replica->name);
	} else {
		medlar_buf_printf(&path, "/v1/agent/service/register");
		write_list_entry(replica, &body);
	}
	pthread_mutex_unlock(lock);
	if (!listed)
		done = put_to_platform(registrar, path.ptr, &body);
	if (!done) {
		pthread_mutex_lock(lock);
		replica->registered = false;
		pthread_mutex_unlock(lock);
	}
	medlar_buf_finish(&path);
	medlar_buf_finish(&body);
	return done;
}

static void write_map(const fake_service_t *service, medlar_buf_t *out)
{
	size_t i;

	medlar_buf_printf(out, "{\"epoch\":%llu,\"shards\":%u,\"entries\":[",
			  (unsigned long long)service->epoch, service->shards);
	for (i = 0; i < service->map_len; i++) {
		const medlar_map_entry_t *entry = &service->map[i];

		medlar_buf_printf(
			out, "%s{\"lo\":%llu,\"hi\":%llu,\"shard\":%u}",
			i ? "," : "", (unsigned long long)entry->range.lo,
			(unsigned long long)entry->range.hi, entry->shard);
	}
	medlar_buf_add(out, MEDLAR_STR("]}"));
}

static bool publish_map(registrar_t *registrar, fake_service_t *service)
{
	fake_upstream_t *upstream = registrar->upstream;
	medlar_buf_t path;
	medlar_buf_t body;
	bool changed;
	bool done = true;

	medlar_buf_init(&path);
	medlar_buf_init(&body);
	fake_upstream_lock(upstream);
	changed = service->map_changed;
	service->map_changed = false;
	write_map(service, &body);
	fake_upstream_unlock(upstream);
	medlar_buf_printf(&path, "/v1/kv/medlar/config/maps/%s", service->name);
	if (changed)
		done = put_to_platform(registrar, path.ptr, &body);
	if (!done) {
		fake_upstream_lock(upstream);
		service->map_changed = true;
		fake_upstream_unlock(upstream);
	}
	medlar_buf_finish(&path);
	medlar_buf_finish(&body);
	return done;
}

static bool update_platform(registrar_t *registrar)
{
	fake_upstream_t *upstream = registrar->upstream;
	size_t i;

	if (!upstream->platform[0])
		return true;
	for (i = 0; i < upstream->services_len; i++) {
		if (!publish_map(registrar, &upstream->services[i]))
			return false;
	}
	for (i = 0; i < upstream->replicas_len; i++) {
		if (!update_list_entry(registrar, &upstream->replicas[i]))
			return false;
	}
	return true;
}

/* Returns false if the thread is to end. */
static bool wait_unless_stopped(registrar_t *registrar, long ms)
{
	struct timespec until;
	bool stop;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += ms * 1000000;
	until.tv_sec += until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_mutex_lock(&registrar->lock);
	if (!registrar->stop)
		pthread_cond_timedwait(&registrar->wake, &registrar->lock,
				       &until);
	stop = registrar->stop;
	pthread_mutex_unlock(&registrar->lock);
	return !stop;
}

static void *run_registrar(void *data)
{
	registrar_t *registrar = data;
	bool done = true;

	while (wait_unless_stopped(registrar, done ? REGISTER_PERIOD_MS
						   : REGISTER_RETRY_MS))
		done = update_platform(registrar);
	return NULL;
}

static void *run_loop(void *data)
{
	fake_loop_run(data);
	return NULL;
}

typedef struct options {
	const char *file;
	uint64_t seed;
} options_t;

static const struct argp_option option_table[] = {
	{ "seed", 's', "N", 0, "seed of all random choices", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *options = state->input;

	if (key == 's')
		options->seed = strtoull(arg, NULL, 10);
	else if (key == ARGP_KEY_ARG && !options->file)
		options->file = arg;
	else if (key == ARGP_KEY_END && !options->file)
		argp_usage(state);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static int start_replicas(fake_upstream_t *upstream)
{
	size_t i;

	for (i = 0; i < upstream->replicas_len; i++) {
		fake_replica_t *replica = &upstream->replicas[i];

		if (fake_replica_start(replica) != MEDLAR_OK) {
			fprintf(stderr,
				"fake-upstream: cannot listen on port %u\n",
				replica->port.port);
			return MEDLAR_ERR_IO;
		}
	}
	return MEDLAR_OK;
}

static void run_threads(fake_upstream_t *upstream, fake_loop_t *control,
			registrar_t *registrar)
{
	size_t count = upstream->loops_len;
	pthread_t *threads = calloc(count, sizeof(*threads));
	pthread_t signal_thread;
	pthread_t registrar_thread;
	size_t i;

	if (!threads || fake_loop_stop_on_signal(control, &signal_thread))
		abort();
	for (i = 0; i < count; i++)
		pthread_create(&threads[i], NULL, run_loop,
			       &upstream->loops[i]);
	pthread_create(&registrar_thread, NULL, run_registrar, registrar);
	fake_loop_run(control);
	pthread_mutex_lock(&registrar->lock);
	registrar->stop = true;
	pthread_cond_signal(&registrar->wake);
	pthread_mutex_unlock(&registrar->lock);
	for (i = 0; i < count; i++)
		fake_loop_stop(&upstream->loops[i]);
	for (i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	pthread_join(registrar_thread, NULL);
	pthread_join(signal_thread, NULL);
	free(threads);
}

static int serve(fake_upstream_t *upstream, uint64_t seed)
{
	registrar_t registrar = { .upstream = upstream,
				  .lock = PTHREAD_MUTEX_INITIALIZER,
				  .wake = PTHREAD_COND_INITIALIZER };
	fake_loop_t control;
	fake_port_t port;
	int err = start_replicas(upstream);

	if (err)
		return err;
	err = fake_loop_init(&control, seed);
	if (err)
		return err;
	fake_port_init(&port, &control, upstream->control_port,
		       &fake_control_ops, upstream);
	err = fake_port_open(&port);
	if (!err) {
		registrar.curl = curl_easy_init();
		run_threads(upstream, &control, &registrar);
		curl_easy_cleanup(registrar.curl);
		fake_port_close(&port);
	}
	fake_loop_finish(&control);
	return err;
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		option_table, parse_option,
		"FILE",	      "Stand-in for all upstreams of FILE.",
		NULL,	      NULL,
		NULL
	};
	options_t options = { NULL, 1 };
	fake_upstream_t upstream;
	int err;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	err = fake_upstream_load(&upstream, options.file, options.seed);
	if (err)
		fprintf(stderr, "fake-upstream: %s: %s\n", options.file,
			medlar_error_text(err));
	else
		err = serve(&upstream, options.seed);
	fake_upstream_finish(&upstream);
	curl_global_cleanup();
	return err ? EXIT_FAILURE : EXIT_SUCCESS;
}
