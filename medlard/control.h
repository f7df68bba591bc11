/**
 * DOC: the control thread
 *
 * Signals, the platform client, the instance lists, the configuration and the
 * shutdown run in one thread, which posts what it learns to the workers.
 */
#ifndef MEDLARD_CONTROL_H
#define MEDLARD_CONTROL_H

#include "medlard/directory.h"
#include "medlard/peering.h"
#include "medlard/store.h"
#include "medlard/worker.h"

/** enum stop_state - how far a graceful shutdown has come */
typedef enum stop_state {
	STOP_NONE,
	STOP_LEAVING, /* addresses that were given out are still in use */
	STOP_DRAINING, /* connections are closed after their answer */
	STOP_FINISHING, /* requests in flight are not waited for */
} stop_state_t;

/**
 * struct control - the control thread
 * @settings: settings of the process
 * @settings_path: file that they come from
 * @client: owns the timers
 * @loop: its loop
 * @inbox: calls from workers
 * @log: its log
 * @metrics: its counters
 * @http: HTTP client towards the platform
 * @store: platform client
 * @directory: instance lists, partition maps and configuration
 * @peering: the other instances
 * @workers: worker threads
 * @workers_len: how many
 * @signals: signalfd
 * @stop: shutdown
 * @stop_timer: next check of the shutdown
 * @stop_at: when the shutdown may close connections, ms
 * @stop_until: when it no longer waits, ms
 * @counting: workers asked for their requests in flight
 * @counted: requests in flight that they told
 */
struct control {
	settings_t settings;
	const char *settings_path;
	medlar_client_t client;
	loop_t loop;
	handoff_t inbox;
	logger_t log;
	metrics_t metrics;
	http_t http;
	store_t store;
	directory_t directory;
	peering_t peering;
	worker_t *workers;
	size_t workers_len;
	int signals;
	stop_state_t stop_state;
	medlar_timer_t stop_timer;
	medlar_time_t stop_earliest_at;
	medlar_time_t stop_forced_at;
	size_t counts_pending;
	size_t requests_counted;
};

int control_run(const char *settings_path);
int control_check(const char *settings_path);
worker_t *control_worker(control_t *control, size_t index);
void control_post(control_t *control, size_t worker,
		  void (*fn)(worker_t *worker, void *data), void *data);

#endif /* MEDLARD_CONTROL_H */
