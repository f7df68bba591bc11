/**
 * DOC: a late second copy of a refusal, on a connection on which the same request
 * was sent again
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../stand-in/site.h"

#define SERVICES 5
#define CLIENTS_PER_SERVICE 12
#define THINK_MS 40
#define ROUTERS 4
#define RUN_MS 80000
#define TIMEOUT_MS 1500
/* Largest dose of "garble", "extra late" in the site file. */
#define EPISODE_MS 5000
#define EXTRA_LATE 0.04
#define EPISODE_GAP_MS 1000

static double ends_at;
static unsigned twice, refused, sent, ran;

static void configure(void)
{
	char routes[4096] = "";
	char services[1024] = "";
	char config[8192];

	for (int i = 0; i < SERVICES; i++) {
		size_t routes_len = strlen(routes);
		size_t services_len = strlen(services);

		snprintf(routes + routes_len, sizeof(routes) - routes_len,
			 "%s{\"name\":\"renew%d\",\"hostname\":\"" HOST
			 "\",\"pathPrefix\":\"/renew%d/\","
			 "\"type\":\"non_idempotent\",\"timeoutMs\":1500,"
			 "\"targetLatencyMs\":250,\"priority\":2,"
			 "\"service\":\"ledger%d\",\"maxAttempts\":2}",
			 i ? "," : "", i, i, i);
		snprintf(services + services_len,
			 sizeof(services) - services_len,
			 "%s{\"name\":\"ledger%d\",\"healthPath\":\"/health\","
			 "\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}",
			 i ? "," : "", i);
	}
	snprintf(config, sizeof(config),
		 "{\"version\":1,\"routes\":[%s],\"services\":[%s],"
		 "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		 "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
		 routes, services);
	store_configure(config);
}

static void on_run(replica_t *replica, const request_t *request)
{
	int runs;

	attempts_begin();
	runs = ++attempt_of(request->id)->runs;
	attempts_end();
	record("%s runs %s%s", replica->id, request->id,
	       runs > 1 ? ", which has run before" : "");
}

static void *send_requests(void *data)
{
	int service = (int)(intptr_t)data;

	while (now_ms() < ends_at) {
		char id[NAME_MAX_LEN];
		char path[128];
		int router = (int)(draw() * ROUTERS);
		answer_t answer;

		new_id(id);
		snprintf(path, sizeof(path), "/renew%d/%s", service, id);
		record("client sends %s to %s", id, routers[router].name);
		answer = ask(router, "POST", path, id, TIMEOUT_MS, "renewal");
		attempts_begin();
		attempt_of(id)->sent = 1;
		attempt_of(id)->status = answer.status;
		attempts_end();
		record("client got %d to %s", answer.status, id);
		pause_ms(2 * THINK_MS * draw());
	}
	return NULL;
}

static bool promises_not_run(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

static void judge(const attempt_t *attempt)
{
	sent += attempt->sent;
	ran += attempt->runs > 0;
	if (attempt->runs > 1) {
		twice++;
		record("TWICE: %s ran %d times, its client got %d", attempt->id,
		       attempt->runs, attempt->status);
	}
	if (attempt->runs > 0 && promises_not_run(attempt->status)) {
		refused++;
		record("REFUSED: %s ran %d times, its client got %d",
		       attempt->id, attempt->runs, attempt->status);
	}
}

/*
 * Three replicas a service. Two have a newer version of their software, which
 * says when to come back when it is full.
 */
static void add_replicas(void)
{
	static const char *const zones[] = { "a", "b", "c" };

	for (int i = 0; i < 3 * SERVICES; i++) {
		char service[NAME_MAX_LEN];
		replica_t *replica;

		snprintf(service, sizeof(service), "ledger%d", i / 3);
		replica = replica_add(service, zones[i % 3], 2, 2, 60);
		replica->retry_after = i % 3 == 2 ? 0 : 1;
		replica->on_run = on_run;
		replica_start(replica);
	}
}

/* One of the three replicas of each service is faulty, for 5 s at a time. */
static void disturb(void)
{
	while (now_ms() < ends_at - EPISODE_MS) {
		if (trouble)
			record("replicas begin to repeat answers late");
		for (int i = 0; trouble && i < SERVICES; i++) {
			replica_t *replica = &replicas[3 * i + 2];

			replica->faults.extra_late = EXTRA_LATE;
			replica->extra_until = now_ms() + EPISODE_MS;
		}
		pause_ms(EPISODE_MS + EPISODE_GAP_MS);
	}
}

int main(int argc, char **argv)
{
	site_init(argc, argv);
	store_start();
	add_replicas();
	configure();
	for (int i = 0; i < ROUTERS; i++)
		router_start(i);
	for (int i = 0; i < ROUTERS; i++)
		if (!router_await_ready(i, 10000))
			give_up("router is not ready");
	pause_ms(3000);
	ends_at = now_ms() + RUN_MS;
	for (int i = 0; i < SERVICES * CLIENTS_PER_SERVICE; i++)
		start_thread(send_requests, (void *)(intptr_t)(i % SERVICES));
	pause_ms(2000);
	disturb();
	wait_until(ends_at + TIMEOUT_MS + 3000);
	attempts_begin();
	attempts_each(judge);
	attempts_end();
	record("sent %u, ran %u, ran twice %u, refused though run %u", sent,
	       ran, twice, refused);
	printf("sent %u, ran %u, ran twice %u, refused though run %u\n", sent,
	       ran, twice, refused);
	site_finish();
	return twice + refused > 0;
}
