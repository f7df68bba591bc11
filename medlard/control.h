/**
 * DOC: the control thread
 *
 * Signals, the client of the platform, the instance lists, the configuration
 * and the shutdown are handled in one thread, which posts updates to the
 * workers.
 */
#ifndef MEDLARD_CONTROL_H
#define MEDLARD_CONTROL_H

#include "medlard/directory.h"
#include "medlard/peering.h"
#include "medlard/store.h"
#include "medlard/worker.h"

/** enum stop_state - progress of a graceful shutdown */
typedef enum stop_state {
	STOP_NONE,
	STOP_LEAVING, /* callers may still use this address */
	STOP_DRAINING, /* each connection is closed after its answer */
	STOP_FINISHING, /* leaves the instance list, waits for nothing else */
} stop_state_t;

/**
 * struct control - the control thread
 * @settings: settings of the process
 * @settings_path: file they were read from
 * @client: libmedlar client that owns the timers
 * @loop: event loop of the thread
 * @inbox: calls posted by workers
 * @log: log of the thread
 * @metrics: counters of the thread
 * @http: HTTP client for the platform
 * @store: client of the platform
 * @directory: instance lists, partition maps and configuration
 * @peering: exchange with the other instances
 * @workers: worker threads
 * @workers_len: number of workers
 * @signals: signalfd for SIGTERM, SIGINT and SIGHUP
 * @stop_state: progress of the shutdown
 * @stop_timer: next check of the shutdown
 * @stop_earliest_at: earliest time of the next &enum stop_state, ms
 * @stop_forced_at: when the shutdown stops waiting for requests, ms
 * @counts_pending: workers that have yet to report their requests in flight
 * @requests_counted: sum of the requests in flight reported so far
 */
struct control {
	settings_t settings;
	const char *settings_path;
	medlar_client_t client;
	loop_t loop;
	mailbox_t inbox;
	logger_t log;
	metrics_t metrics;
	http_client_t http;
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
worker_t *control_get_worker(control_t *control, size_t index);
void control_post(control_t *control, size_t worker,
		  void (*fn)(worker_t *worker, void *data), void *data);

#endif /* MEDLARD_CONTROL_H */
