/* The client of the store while calls get no reply, on a virtual clock. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <cmocka.h>

#include "medlard/h1_server.h"
#include "router/settings.h"
#include "router/store.h"

/* The first free port from 24700 to 24799 is used. */
#define PORT_BASE 24700
#define PORTS_LEN 100
#define CONNECTIONS_MAX 64
#define WATCHES_MAX 8
#define EVENTS_MAX 64
/* Real time after which nothing more is on its way between two sockets, ms. */
#define QUIET_MS 2
#define START_MS ((medlar_time_t)1000000)
/* Time in which a change has to be in force, ms. */
#define CHANGE_BOUND_MS 3000
#define PHASE_STEP_MS 500
#define OUTAGE_MS 3300
/* Longest time for which a call to the store may last. */
#define CALL_MAX_MS 2200

/* A watch that waits for a change. */
typedef struct waiting_watch {
	h1_conn_t *conn;
	uint64_t after;
	medlar_time_t due;
} waiting_watch_t;

/* The client of the store, and a store, in one thread. */
typedef struct fixture {
	medlar_client_t client;
	loop_t loop;
	logger_t log;
	stats_t stats;
	mirror_t mirror;
	store_t store;
	h1_server_t server;
	waiting_watch_t watches[WATCHES_MAX];
	uint64_t revision;
	bool silent;
	bool history_lost; /* watches are refused, lists get no reply */
} fixture_t;

static void write_call(medlar_buf_t *out, const char *path, uint64_t first,
		       int64_t second)
{
	medlar_buf_printf(out, "GET /%s/%llu/%lld HTTP/1.1\r\nHost: s\r\n\r\n",
			  path, (unsigned long long)first, (long long)second);
}

static void write_list(medlar_str_t after, medlar_buf_t *out)
{
	(void)after;
	write_call(out, "list", 0, 0);
}

static void write_watch(uint64_t after, medlar_time_t wait, medlar_buf_t *out)
{
	write_call(out, "watch", after, wait);
}

static void write_grant(medlar_time_t ttl, medlar_buf_t *out)
{
	write_call(out, "lease", 0, ttl);
}

static void write_lease_call(uint64_t lease, medlar_buf_t *out)
{
	write_call(out, "lease", lease, 0);
}

static void write_put(medlar_str_t key, medlar_str_t value, uint64_t lease,
		      medlar_buf_t *out)
{
	(void)key;
	(void)value;
	write_call(out, "lease", lease, 0);
}

/* The body is the revision of the store, which has one entry. */
static int read_items(medlar_str_t body, store_item_fn_t fn, void *data,
		      store_page_t *page)
{
	const store_item_t item = {
		.key = MEDLAR_STR("k"),
		.value = body,
		.position.revision = strtoull(body.ptr, NULL, 10),
	};

	*page = (store_page_t){ .revision = item.position.revision,
				.last_key = "k" };
	fn(&item, data);
	return MEDLAR_OK;
}

static int read_lease(medlar_str_t body, uint64_t *lease)
{
	(void)body;
	*lease = 1;
	return MEDLAR_OK;
}

static int read_no_epoch(const h1_message_t *reply, uint64_t *epoch)
{
	(void)reply;
	(void)epoch;
	return MEDLAR_ERR_NOT_FOUND;
}

static const store_calls_t calls = {
	.list = write_list,
	.watch = write_watch,
	.grant_lease = write_grant,
	.renew_lease = write_lease_call,
	.put = write_put,
	.revoke_lease = write_lease_call,
	.read_items = read_items,
	.read_lease = read_lease,
	.read_epoch = read_no_epoch,
};

static void answer_revision(const fixture_t *fixture, h1_conn_t *conn)
{
	char text[24];

	(void)snprintf(text, sizeof(text), "%llu",
		       (unsigned long long)fixture->revision);
	h1_conn_answer(conn, 200, (medlar_str_t){ 0 }, medlar_str_from(text));
}

static void begin_watch(fixture_t *fixture, h1_conn_t *conn, uint64_t after,
			medlar_time_t wait)
{
	for (size_t i = 0; i < WATCHES_MAX; i++) {
		waiting_watch_t *watch = &fixture->watches[i];

		if (watch->conn)
			continue;
		*watch = (waiting_watch_t){ conn, after,
					    fixture->loop.now + wait };
		return;
	}
	fail_msg("too many watches");
}

/* A call that arrives while the store is silent is never answered. */
static void on_request(h1_conn_t *conn, void *data)
{
	fixture_t *fixture = data;
	medlar_str_t target = h1_message_target(&conn->parser.message);
	unsigned long long after = 0;
	long long wait = 0;
	char text[64];

	(void)snprintf(text, sizeof(text), "%.*s", (int)target.len, target.ptr);
	if (fixture->silent ||
	    (fixture->history_lost && strncmp(text, "/list", 5) == 0))
		return;
	if (sscanf(text, "/watch/%llu/%lld", &after, &wait) != 2)
		answer_revision(fixture, conn);
	else if (fixture->history_lost)
		h1_conn_answer_status(conn, 410);
	else if (after < fixture->revision)
		answer_revision(fixture, conn);
	else
		begin_watch(fixture, conn, after, wait);
}

static void on_disconnect(h1_conn_t *conn, void *data)
{
	fixture_t *fixture = data;

	for (size_t i = 0; i < WATCHES_MAX; i++)
		if (fixture->watches[i].conn == conn)
			fixture->watches[i].conn = NULL;
}

static const h1_handler_t handler = { .request = on_request,
				      .disconnected = on_disconnect };

/* Calls that wait when the store falls silent are not answered either. */
static void fall_silent(fixture_t *fixture)
{
	fixture->silent = true;
	memset(fixture->watches, 0, sizeof(fixture->watches));
}

static void change_store(fixture_t *fixture)
{
	fixture->revision++;
	for (size_t i = 0; i < WATCHES_MAX; i++)
		fixture->watches[i].due = fixture->loop.now;
}

static void ignore_change(const store_item_t *item, void *data)
{
	(void)item;
	(void)data;
}

static const mirror_events_t mirror_events = { .change = ignore_change };

static int open_server(fixture_t *fixture, struct sockaddr_in *address)
{
	static const h1_server_options_t options = {
		.message = { 4096, 4096 },
		.receive_ms = MEDLAR_HOUR,
		.idle_ms = MEDLAR_HOUR,
	};
	char text[32];
	int error = MEDLAR_ERR_IO;

	for (int i = 0; error && i < PORTS_LEN; i++) {
		(void)snprintf(text, sizeof(text), "127.0.0.1:%d",
			       PORT_BASE + ((int)getpid() + i) % PORTS_LEN);
		assert_int_equal(
			router_address_parse(medlar_str_from(text), address),
			MEDLAR_OK);
		error = h1_server_init(&fixture->server, &fixture->loop,
				       (const struct sockaddr *)address,
				       &options, CONNECTIONS_MAX, &handler,
				       fixture);
	}
	return error;
}

static int set_up(void **state)
{
	fixture_t *fixture = calloc(1, sizeof(*fixture));
	struct sockaddr_in address;

	medlar_client_init(&fixture->client, MEDLAR_STR("t"), 0, 1);
	assert_int_equal(loop_init(&fixture->loop, &fixture->client),
			 MEDLAR_OK);
	fixture->loop.now = START_MS;
	fixture->revision = 1;
	log_init(&fixture->log, STDERR_FILENO, 0, LOG_LEVEL_ERROR);
	mirror_init(&fixture->mirror, &mirror_events, NULL);
	assert_int_equal(open_server(fixture, &address), MEDLAR_OK);
	store_init(&fixture->store, &fixture->loop, &fixture->log,
		   &fixture->stats, &calls, &address, &fixture->mirror);
	store_set_watching(&fixture->store, true, 150);
	store_start(&fixture->store, MEDLAR_STR("own"), MEDLAR_STR("v"));
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	store_finish(&fixture->store);
	h1_server_finish(&fixture->server);
	mirror_finish(&fixture->mirror);
	log_finish(&fixture->log);
	loop_finish(&fixture->loop);
	medlar_client_finish(&fixture->client);
	free(fixture);
	return 0;
}

/* Handles what is on its way between the sockets; the clock stands still. */
static void exchange_bytes(fixture_t *fixture)
{
	struct epoll_event events[EVENTS_MAX];
	loop_t *loop = &fixture->loop;
	int count;

	while ((count = epoll_wait(loop->epoll, events, EVENTS_MAX, QUIET_MS)) >
	       0)
		for (int i = 0; i < count; i++) {
			const loop_watch_t *watch =
				&loop->watches[(uint32_t)events[i].data.u64];

			if (watch->fn)
				watch->fn(events[i].events, watch->data);
		}
}

static void answer_due_watches(fixture_t *fixture)
{
	for (size_t i = 0; i < WATCHES_MAX; i++) {
		waiting_watch_t *watch = &fixture->watches[i];
		h1_conn_t *conn = watch->conn;

		if (!conn || watch->due > fixture->loop.now)
			continue;
		watch->conn = NULL;
		answer_revision(fixture, conn);
	}
}

static medlar_time_t next_event(const fixture_t *fixture)
{
	medlar_time_t due = medlar_client_due(&fixture->client);

	for (size_t i = 0; i < WATCHES_MAX; i++)
		if (fixture->watches[i].conn && fixture->watches[i].due < due)
			due = fixture->watches[i].due;
	return due < fixture->loop.now ? fixture->loop.now : due;
}

static void run_until(fixture_t *fixture, medlar_time_t end)
{
	exchange_bytes(fixture);
	while (next_event(fixture) <= end) {
		fixture->loop.now = next_event(fixture);
		answer_due_watches(fixture);
		medlar_client_run(&fixture->client, fixture->loop.now);
		exchange_bytes(fixture);
	}
	fixture->loop.now = end;
}

static void run_for(fixture_t *fixture, medlar_time_t span)
{
	run_until(fixture, fixture->loop.now + span);
}

/* Runs until the client has the last change, or for @bound more. */
static bool is_current_within(fixture_t *fixture, medlar_time_t bound)
{
	medlar_time_t end = fixture->loop.now + bound;

	run_until(fixture, fixture->loop.now);
	while (fixture->mirror.position.revision != fixture->revision &&
	       next_event(fixture) <= end)
		run_until(fixture, next_event(fixture));
	return fixture->mirror.position.revision == fixture->revision;
}

static void changes_arrive_in_time_after_an_outage_of_any_length(void **state)
{
	fixture_t *fixture = *state;

	run_for(fixture, 2 * MEDLAR_SECOND);
	for (medlar_time_t outage = 0; outage <= 12 * MEDLAR_SECOND;
	     outage += PHASE_STEP_MS) {
		run_for(fixture, outage % 1700);
		fall_silent(fixture);
		run_for(fixture, outage);
		fixture->silent = false;
		change_store(fixture);
		if (!is_current_within(fixture, CHANGE_BOUND_MS))
			fail_msg("no change 3 s after an outage of %d ms",
				 (int)outage);
	}
}

/*
 * Guards against CONFIG: calls made in the last moments of a silent outage are never
 * answered, and changes that follow its end were waited for behind them.
 */
static void calls_of_the_last_moments_of_an_outage_delay_no_change(void **state)
{
	static const medlar_time_t pauses[] = { 0, 700, 1900, 3700 };
	fixture_t *fixture = *state;

	run_for(fixture, 2 * MEDLAR_SECOND);
	for (medlar_time_t phase = 0; phase < CALL_MAX_MS; phase += 50) {
		run_for(fixture, phase);
		fall_silent(fixture);
		run_for(fixture, OUTAGE_MS - phase % 700);
		fixture->silent = false;
		run_for(fixture, pauses[phase / 50 % 4]);
		change_store(fixture);
		if (!is_current_within(fixture, CHANGE_BOUND_MS))
			fail_msg("no change 3 s after an outage, phase %d ms",
				 (int)phase);
		run_for(fixture, 5 * MEDLAR_SECOND);
	}
}

/* The same for an instance that starts in the outage: its first list is lost. */
static void
a_start_in_the_last_moments_of_an_outage_is_not_delayed(void **state)
{
	fixture_t *fixture = *state;

	fall_silent(fixture);
	run_for(fixture, OUTAGE_MS);
	fixture->silent = false;
	assert_true(is_current_within(fixture, CHANGE_BOUND_MS));
	run_for(fixture, CHANGE_BOUND_MS);
	assert_int_equal(fixture->store.entry_state, STORE_ENTRY_WRITTEN);
}

/* A renewed lease does not show that the copy of the store is current. */
static void a_renewed_lease_does_not_make_the_copy_current(void **state)
{
	fixture_t *fixture = *state;
	medlar_time_t silent_since;

	run_for(fixture, 2 * MEDLAR_SECOND);
	fall_silent(fixture);
	silent_since = fixture->loop.now;
	fixture->store.watching = false;
	run_for(fixture, 4 * MEDLAR_SECOND);
	fixture->silent = false;
	change_store(fixture);
	run_for(fixture, 12 * MEDLAR_SECOND);
	assert_true(fixture->store.entry_state == STORE_ENTRY_WRITTEN);
	assert_true(fixture->stats.counts[STAT_STORE_CALLS] > 0);
	assert_true(fixture->mirror.position.revision < fixture->revision);
	assert_true(fixture->store.last_contact <= silent_since);
}

/* Nor does the reply that the history of the store is no longer available. */
static void a_lost_history_does_not_make_the_copy_current(void **state)
{
	fixture_t *fixture = *state;
	medlar_time_t changed_at;

	run_for(fixture, 2 * MEDLAR_SECOND);
	fixture->history_lost = true;
	changed_at = fixture->loop.now;
	change_store(fixture);
	memset(fixture->watches, 0, sizeof(fixture->watches));
	run_for(fixture, 6 * MEDLAR_SECOND);
	assert_false(fixture->store.list_complete);
	assert_true(fixture->mirror.position.revision < fixture->revision);
	assert_true(fixture->store.last_contact <= changed_at);
	fixture->history_lost = false;
	assert_true(is_current_within(fixture, CHANGE_BOUND_MS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			changes_arrive_in_time_after_an_outage_of_any_length,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			calls_of_the_last_moments_of_an_outage_delay_no_change,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_start_in_the_last_moments_of_an_outage_is_not_delayed,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_renewed_lease_does_not_make_the_copy_current, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_lost_history_does_not_make_the_copy_current, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
