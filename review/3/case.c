/**
 * DOC: a request that crashes replicas comes again after the routers were killed
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../stand-in/site.h"

#define ROUTERS 4
#define REPLICAS 7
#define KILLS 2
#define RESTART_DELAY_MS 1000
#define TIMEOUT_MS 1500
#define STEADY_GAP_MS 200
/* The client comes back this often, in each of its visits. */
#define VISITS 3
#define REPEATS 6
#define REPEAT_GAP_MS 1500
/* From the restart to the next visit; longer than contactMs. */
#define AWAY_MS 6000
#define CRASHES_BEFORE 3
#define RETRIES_MAX 3
#define CRASH_PATH "/renew/crash"

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"renew\",\"hostname\":\"" HOST
	"\",\"pathPrefix\":\"/renew/\",\"type\":\"idempotent\","
	"\"timeoutMs\":1500,\"targetLatencyMs\":250,\"priority\":2,"
	"\"service\":\"ledger\",\"maxAttempts\":2}],"
	"\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/health\","
	"\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static unsigned crashes, late_arrivals, late_retries, sent, answered;
static double third_crash_at;
static volatile bool stopped;

/* Counts what routers in touch have sent on: all run for longer than contactMs. */
static void on_run(replica_t *replica, const request_t *request)
{
	double now = now_ms();
	bool is_late;

	if (!strstr(request->path, CRASH_PATH))
		return;
	attempts_begin();
	is_late = third_crash_at > 0 && now > third_crash_at + CONTACT_MS &&
		  attempt_of(request->id)->sent;
	crashes++;
	if (crashes == CRASHES_BEFORE)
		third_crash_at = now;
	if (is_late) {
		late_arrivals++;
		late_retries += ++attempt_of(request->id)->runs == 1;
	}
	record("%s is crashed by %s, the %u. time%s", replica->id, request->id,
	       crashes, is_late ? ", long after the third" : "");
	attempts_end();
}

static bool is_in_touch(int router)
{
	return now_ms() > routers[router].started_at + CONTACT_MS;
}

static void send_crashing(int router)
{
	char id[NAME_MAX_LEN];
	answer_t answer;

	new_id(id);
	attempts_begin();
	attempt_of(id)->sent = is_in_touch(router);
	attempts_end();
	record("client sends the crashing request %s to %s", id,
	       routers[router].name);
	answer = ask(router, "GET", CRASH_PATH, id, TIMEOUT_MS, NULL);
	record("client got %d to %s", answer.status, id);
}

/* The same request comes again, at any machine. */
static void visit(void)
{
	for (int i = 0; i < REPEATS; i++) {
		double next = now_ms() + REPEAT_GAP_MS;

		send_crashing((int)(draw() * ROUTERS));
		wait_until(next);
	}
}

static void *send_steadily(void *data)
{
	int router = (int)(intptr_t)data;

	while (!stopped) {
		char id[NAME_MAX_LEN];
		char path[128];
		answer_t answer;

		new_id(id);
		snprintf(path, sizeof(path), "/renew/%s", id);
		answer = ask(router, "GET", path, id, TIMEOUT_MS, NULL);
		attempts_begin();
		sent++;
		answered += answer.status == 200;
		attempts_end();
		pause_ms(STEADY_GAP_MS);
	}
	return NULL;
}

static void kill_all_routers(void)
{
	for (int i = 0; i < ROUTERS; i++)
		router_kill(i, SIGKILL);
	for (int i = 0; i < ROUTERS; i++)
		router_await_exit(i);
	pause_ms(RESTART_DELAY_MS);
	for (int i = 0; i < ROUTERS; i++)
		router_start(i);
	for (int i = 0; i < ROUTERS; i++)
		if (!router_await_ready(i, 10000))
			give_up("router is not ready");
}

int main(int argc, char **argv)
{
	static const char *const zones[] = { "a", "b", "c" };

	site_init(argc, argv);
	store_start();
	for (int i = 0; i < REPLICAS; i++) {
		replica_t *replica = replica_add("ledger", zones[i % 3], 3, 12,
						 60);

		replica->on_run = on_run;
		replica->faults.crash_on = CRASH_PATH;
		replica_start(replica);
	}
	store_configure(config);
	for (int i = 0; i < ROUTERS; i++)
		router_start(i);
	for (int i = 0; i < ROUTERS; i++)
		if (!router_await_ready(i, 10000))
			give_up("router is not ready");
	pause_ms(AWAY_MS);
	for (int i = 0; i < ROUTERS; i++)
		start_thread(send_steadily, (void *)(intptr_t)i);
	for (int i = 0; i < VISITS; i++) {
		visit();
		if (i == VISITS - 1)
			break;
		if (trouble && i < KILLS)
			kill_all_routers();
		pause_ms(AWAY_MS);
	}
	stopped = true;
	pause_ms(TIMEOUT_MS + 500);
	record("crashes %u; after the third and contactMs: %u retries reached "
	       "replicas %u times",
	       crashes, late_retries, late_arrivals);
	printf("crashes %u; after the third and contactMs: %u retries reached "
	       "replicas %u times; others: sent %u, answered %u\n",
	       crashes, late_retries, late_arrivals, sent, answered);
	site_finish();
	return late_retries > RETRIES_MAX;
}
