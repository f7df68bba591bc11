/**
 * DOC: an old answer of the store, after another instance has told of the removal
 * of a replica
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../stand-in/site.h"

#define ROUTERS 3
/* The router whose path from the store is cut; it is not the first by name. */
#define CUT_ROUTER 1
#define CUT_MS 1500
/* The replica leaves this long after the begin of the cut. */
#define LEAVES_AFTER_MS 800
#define SERVES_ON_MS 14000
#define TIMEOUT_MS 1500
#define QUIET_GAP_MS 150
#define BURST 14
#define BURSTS 6
#define BURST_GAP_MS 400

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"fetch\",\"hostname\":\"" HOST
	"\",\"pathPrefix\":\"/fetch/\",\"type\":\"idempotent\","
	"\"timeoutMs\":1500,\"targetLatencyMs\":250,\"priority\":2,"
	"\"service\":\"ledger\",\"maxAttempts\":2}],"
	"\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/health\","
	"\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static replica_t *leaver;
static link_proxy_t link_to_store;
static volatile double removed_at; /* when the store has acknowledged it */
static volatile double in_touch_at; /* of the router that was cut off */
static unsigned late, sent, answered;
static volatile bool quiet = true;
static volatile int waiting;

static void on_arrival(replica_t *replica, const request_t *request)
{
	double now = now_ms();
	bool is_late = replica == leaver && removed_at > 0 &&
		       now > removed_at + DRAIN_MS;

	record("%s gets %s%s", replica->id, request->id,
	       is_late ? ", later than drainMs after its removal" : "");
	if (!is_late || strcmp(request->expected, replica->id))
		return;
	attempts_begin();
	/* The client sent it when the router was in touch, see send_burst(). */
	late += attempt_of(request->id)->sent;
	attempts_end();
}

static void fetch(int router, bool counts)
{
	char id[NAME_MAX_LEN];
	char path[128];
	answer_t answer;

	new_id(id);
	snprintf(path, sizeof(path), "/fetch/%s", id);
	attempts_begin();
	attempt_of(id)->sent = counts;
	sent++;
	attempts_end();
	record("client sends %s to %s", id, routers[router].name);
	answer = ask(router, "GET", path, id, TIMEOUT_MS, NULL);
	attempts_begin();
	answered += answer.status == 200;
	attempts_end();
	record("client got %d to %s", answer.status, id);
}

/* One client at a time, at each router. */
static void *send_steadily(void *data)
{
	int router = (int)(intptr_t)data;

	while (quiet) {
		fetch(router, false);
		pause_ms(QUIET_GAP_MS);
	}
	return NULL;
}

static void *fetch_once(void *data)
{
	fetch((int)(intptr_t)data, now_ms() > in_touch_at);
	__atomic_sub_fetch(&waiting, 1, __ATOMIC_SEQ_CST);
	return NULL;
}

/* Many clients come to the router at the same time. */
static void send_burst(void)
{
	for (int i = 0; i < BURST; i++) {
		__atomic_add_fetch(&waiting, 1, __ATOMIC_SEQ_CST);
		start_thread(fetch_once, (void *)(intptr_t)CUT_ROUTER);
	}
}

static void add_replicas(void)
{
	static const char *const zones[] = { "c", "a", "b" };

	for (int i = 0; i < 3; i++) {
		replica_t *replica = replica_add("ledger", zones[i], 3, 12, 60);

		replica->on_arrival = on_arrival;
		replica_start(replica);
		pause_ms(50);
	}
	leaver = &replicas[0];
}

/* It does not report that it is draining: its entry is removed. */
static void let_replica_leave(void)
{
	char key[208];

	snprintf(key, sizeof(key), "servers/%s", leaver->id);
	leaver->beats = false;
	leaver->leaving = true;
	store_remove(key);
	removed_at = now_ms();
	record("store: %s removed", key);
}

int main(int argc, char **argv)
{
	double cut_at;

	site_init(argc, argv);
	store_start();
	link_start(&link_to_store, "127.0.1.201");
	snprintf(routers[CUT_ROUTER].store, sizeof(routers[CUT_ROUTER].store),
		 "%s:%d", link_to_store.ip, link_to_store.port);
	add_replicas();
	store_configure(config);
	for (int i = 0; i < ROUTERS; i++)
		router_start(i);
	for (int i = 0; i < ROUTERS; i++)
		if (!router_await_ready(i, 10000))
			give_up("router is not ready");
	pause_ms(3000);
	for (int i = 0; i < ROUTERS; i++)
		start_thread(send_steadily, (void *)(intptr_t)i);
	pause_ms(4000);
	/* The next report in the store after the begin of the cut is its last. */
	wait_until(leaver->beat_at + HEARTBEAT_MS - 300);
	cut_at = now_ms();
	if (trouble) {
		record("cut: nothing from the store to %s",
		       routers[CUT_ROUTER].name);
		link_to_store.cut = true;
	}
	wait_until(cut_at + LEAVES_AFTER_MS);
	let_replica_leave();
	wait_until(cut_at + CUT_MS);
	link_to_store.cut = false;
	record("healed");
	in_touch_at = now_ms() + CONTACT_MS;
	wait_until(in_touch_at + 200);
	for (int i = 0; i < BURSTS; i++) {
		send_burst();
		pause_ms(BURST_GAP_MS);
	}
	quiet = false;
	while (waiting > 0 && now_ms() < removed_at + SERVES_ON_MS)
		pause_ms(20);
	wait_until(removed_at + SERVES_ON_MS);
	replica_stop(leaver);
	record("sent %u, answered %u, late at the leaving replica %u", sent,
	       answered, late);
	printf("sent %u, answered %u, late at the leaving replica %u\n", sent,
	       answered, late);
	site_finish();
	return late > 0;
}
