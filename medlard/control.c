/**
 * DOC: the control thread: start, signals, reload of the settings and exit
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <sodium.h>

#include "medlard/control.h"
#include "medlard/stop.h"

/* Bounds the passes over the inboxes at exit, as calls may post others. */
#define FINAL_PASSES_MAX 16

/**
 * control_get_worker() - get a worker by its index
 * @control: control thread
 * @index: index of the worker, from 0
 *
 * Return: the worker, or NULL if @index is out of range.
 */
worker_t *control_get_worker(control_t *control, size_t index)
{
	return index < control->workers_len ? &control->workers[index] : NULL;
}

/**
 * struct worker_call - a function to run in the thread of a worker
 * @call: entry in the inbox of the worker
 * @worker: worker
 * @fn: function
 * @data: passed to @fn
 */
typedef struct worker_call {
	mailbox_call_t call;
	worker_t *worker;
	void (*fn)(worker_t *worker, void *data);
	void *data;
} worker_call_t;

static void run_worker_call(mailbox_call_t *call, void *data)
{
	worker_call_t *worker_call = data;

	(void)call;
	worker_call->fn(worker_call->worker, worker_call->data);
	free(worker_call);
}

/**
 * control_post() - run a function in the thread of a worker
 * @control: control thread, which is the calling thread
 * @worker: index of the worker
 * @fn: function
 * @data: passed to @fn
 *
 * Aborts the process when there is no memory for the call.
 */
void control_post(control_t *control, size_t worker,
		  void (*fn)(worker_t *worker, void *data), void *data)
{
	worker_call_t *worker_call = malloc(sizeof(*worker_call));

	/* A lost update would leave the worker out of date for good. */
	if (!worker_call)
		abort();
	worker_call->worker = &control->workers[worker];
	worker_call->fn = fn;
	worker_call->data = data;
	mailbox_post(&worker_call->worker->inbox, &worker_call->call,
		     run_worker_call, worker_call);
}

static void set_log_level(worker_t *worker, void *data)
{
	worker->log.level = (log_level_t)(uintptr_t)data;
}

static void reload_settings(control_t *control)
{
	settings_t settings;
	const char *changed_field;

	if (settings_read(&settings, &control->client,
			  control->settings_path)) {
		LOG_LINE(&control->log, LOG_LEVEL_ERROR, "reload",
			 MEDLAR_TEXT("result", MEDLAR_STR("refused")));
		return;
	}
	changed_field = settings_find_restart_field(&control->settings,
						    &settings);
	if (changed_field)
		LOG_LINE(&control->log, LOG_LEVEL_WARNING, "reload",
			 MEDLAR_TEXT("needs_restart",
				     medlar_str_from(changed_field)));
	control->settings.stop_ms = settings.stop_ms;
	control->log.level = (log_level_t)settings.log_level;
	for (size_t i = 0; i < control->workers_len; i++)
		control_post(control, i, set_log_level,
			     (void *)(uintptr_t)settings.log_level);
	LOG_LINE(&control->log, LOG_LEVEL_NOTICE, "reload",
		 MEDLAR_NUM("log_level", settings.log_level),
		 MEDLAR_NUM("stop_ms", settings.stop_ms));
	settings_finish(&settings);
}

static void on_signal(uint32_t events, void *data)
{
	control_t *control = data;
	struct signalfd_siginfo info;

	(void)events;
	while (read(control->signals, &info, sizeof(info)) == sizeof(info)) {
		if (info.ssi_signo == SIGHUP)
			reload_settings(control);
		else if (control->stop_state == STOP_NONE)
			stop_begin(control);
		else
			stop_force(control);
	}
}

static int watch_signals(control_t *control)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	if (pthread_sigmask(SIG_BLOCK, &set, NULL) != 0)
		return MEDLAR_ERR_IO;
	control->signals = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (control->signals < 0)
		return MEDLAR_ERR_IO;
	return loop_watch(&control->loop, control->signals, EPOLLIN, on_signal,
			  control);
}

static int init_loop(control_t *control)
{
	const settings_t *settings = &control->settings;
	uint64_t seed;
	int error;

	randombytes_buf(&seed, sizeof(seed));
	medlar_client_init(&control->client, medlar_str_from(settings->name), 1,
			   seed);
	log_init(&control->log, STDERR_FILENO, -1,
		 (log_level_t)settings->log_level);
	medlar_client_on_trace(&control->client, log_trace, &control->log);
	medlar_client_on_error(&control->client, log_report, &control->log);
	error = loop_init(&control->loop, &control->client);
	if (!error)
		error = loop_add_hook(&control->loop, log_flush, &control->log);
	if (!error)
		error = mailbox_init(&control->inbox, &control->loop);
	if (!error)
		error = watch_signals(control);
	if (!error)
		error = http_client_init(&control->http, &control->loop,
					 &control->metrics);
	return error;
}

static void log_start_step(control_t *control, const char *what, int error)
{
	LOG_LINE(&control->log, error ? LOG_LEVEL_ERROR : LOG_LEVEL_NOTICE,
		 "start", MEDLAR_TEXT("step", medlar_str_from(what)),
		 MEDLAR_TEXT("result",
			     medlar_str_from(medlar_error_name(error))));
	log_flush(&control->log);
}

static int init_workers(control_t *control)
{
	size_t len = (size_t)control->settings.threads;
	int error = MEDLAR_OK;

	control->workers = calloc(len, sizeof(*control->workers));
	if (!control->workers)
		return MEDLAR_ERR_NOMEM;
	for (size_t i = 0; !error && i < len; i++) {
		error = worker_init(&control->workers[i], control, (unsigned)i);
		control->workers_len = i + 1;
	}
	return error;
}

static int start_control(control_t *control)
{
	int error;

	error = init_loop(control);
	log_start_step(control, "loop", error);
	if (error)
		return error;
	error = init_workers(control);
	log_start_step(control, "listen", error);
	if (error)
		return error;
	error = store_init(&control->store, &control->http, &control->log,
			   &control->settings.platform);
	if (!error)
		error = peering_init(&control->peering, control);
	log_start_step(control, "peers", error);
	if (!error)
		error = directory_init(&control->directory, control);
	for (size_t i = 0; !error && i < control->workers_len; i++)
		error = worker_start(&control->workers[i]);
	log_start_step(control, "workers", error);
	return error;
}

/* Runs calls posted while the loops were ending, so that they free memory. */
static void run_remaining_calls(control_t *control)
{
	size_t calls_run = 1;

	for (int i = 0; i < FINAL_PASSES_MAX && calls_run > 0; i++) {
		calls_run = mailbox_run(&control->inbox);
		for (size_t j = 0; j < control->workers_len; j++)
			calls_run += mailbox_run(&control->workers[j].inbox);
	}
}

static void finish_control(control_t *control)
{
	for (size_t i = 0; i < control->workers_len; i++)
		worker_join(&control->workers[i]);
	run_remaining_calls(control);
	peering_finish(&control->peering);
	directory_finish(&control->directory);
	store_finish(&control->store);
	for (size_t i = 0; i < control->workers_len; i++)
		worker_finish(&control->workers[i]);
	free(control->workers);
	http_client_finish(&control->http);
	mailbox_finish(&control->inbox);
	close(control->signals);
	loop_finish(&control->loop);
	medlar_client_finish(&control->client);
	log_finish(&control->log);
}

static void append_error_report(const medlar_error_report_t *report, void *data)
{
	logger_t *log = data;

	medlar_buf_printf(&log->lines, "%.*s:%u: %.*s: %s; %.*s\n",
			  (int)report->file.len, report->file.ptr, report->line,
			  (int)report->field.len, report->field.ptr,
			  medlar_error_text(report->error),
			  (int)report->advice.len, report->advice.ptr);
}

static int read_settings(settings_t *settings, const char *path)
{
	medlar_client_t client;
	logger_t log;
	int error;

	medlar_client_init(&client, MEDLAR_STR("settings"), 0, 0);
	log_init(&log, STDERR_FILENO, -1, LOG_LEVEL_ERROR);
	medlar_client_on_error(&client, append_error_report, &log);
	error = settings_read(settings, &client, path);
	log_finish(&log);
	medlar_client_finish(&client);
	return error;
}

/**
 * control_check() - check a settings file and print every error in it
 * @settings_path: path of the file
 *
 * Return: %MEDLAR_OK, or the first error.
 */
int control_check(const char *settings_path)
{
	settings_t settings;
	int error;

	error = read_settings(&settings, settings_path);
	if (!error)
		settings_finish(&settings);
	return error;
}

/**
 * control_run() - run the daemon until it is stopped by a signal
 * @settings_path: path of the settings file
 *
 * Return: %MEDLAR_OK after a shutdown, or the error that prevented the start.
 */
int control_run(const char *settings_path)
{
	control_t *control = calloc(1, sizeof(*control));
	int error;

	if (!control)
		return MEDLAR_ERR_NOMEM;
	error = read_settings(&control->settings, settings_path);
	if (error) {
		free(control);
		return error;
	}
	control->settings_path = settings_path;
	error = start_control(control);
	if (!error) {
		loop_run(&control->loop);
		finish_control(control);
	}
	settings_finish(&control->settings);
	free(control);
	return error;
}
