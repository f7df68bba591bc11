/**
 * DOC: stand-in for the users' platform, replicas and clients, on loopback
 *
 * Written from the users' pages for the third review. One process, one thread a
 * connection, one lock for all state. The scenarios are in scenario_*.c.
 */
#ifndef REVIEW_STAND_IN_3_SITE_H
#define REVIEW_STAND_IN_3_SITE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** Loopback addresses: of the store and the replicas, and of the routers. */
#define SITE_HOST "127.0.0.1"
#define ROUTER_HOST "127.0.1.%d"
/** Ports above the base: the store's, the first replica's, the routers'. */
#define STORE_PORT 0
#define REPLICA_PORT 1
#define CALLERS_PORT 40
#define READY_PORT 41

#define REPLICAS_MAX 32
#define RUNS_MAX 65536
#define REQUESTS_MAX 65536
#define TEXT_MAX 256
#define BODY_MAX 65536

/* http.c */

/** A message with its body; header lines are found by name. */
typedef struct message {
	char head[8192];
	char body[BODY_MAX];
	size_t body_len;
	bool keeps_open;
} message_t;

/** A connection that is read in pieces. */
typedef struct stream {
	int fd;
	char bytes[16384];
	size_t len;
} stream_t;

int64_t now_ms(void);
void sleep_ms(int64_t ms);
int listen_on(const char *host, int port);
int connect_to(const char *host, int port);
bool read_message(stream_t *stream, message_t *message);
bool send_text(int fd, const char *text, size_t len);
bool header_of(const message_t *message, const char *name, char *out,
	       size_t size);
void serve(int port, void *(*handler)(void *), void *data);

/** What a thread that serves a connection gets. */
typedef struct accepted {
	int fd;
	void *data;
} accepted_t;

/* store.c */

void store_start(int port);
void store_put(const char *key, const char *value);
bool store_has(const char *key);
uint64_t store_revision(void);
void store_set_open(bool open);
bool store_is_open(void);
void store_come_back(uint64_t revision);

/* replicas.c */

/** A replica; set up by the scenario before replica_start(). */
typedef struct replica {
	char id[TEXT_MAX];
	char service[TEXT_MAX];
	int port;
	int64_t work_ms;
	int64_t born;
	unsigned seq;
	unsigned answers;
	unsigned spoiled;
	volatile bool spoils; /* additional bytes after every SPOILS_EACH-th answer */
} replica_t;

/** One answer of so many is followed by additional bytes (a share of 0.03). */
#define SPOILS_EACH 34

typedef struct run {
	char id[TEXT_MAX];
	const replica_t *replica;
	int64_t at;
} run_t;

extern replica_t replicas[REPLICAS_MAX];
extern size_t replicas_len;
extern run_t runs[RUNS_MAX];
extern size_t runs_len;
extern pthread_mutex_t lock;

replica_t *replica_start(const char *service, unsigned number, int base);
void replica_register(replica_t *replica);
size_t count_runs(const char *id);

/* clients.c */

typedef struct request {
	char id[TEXT_MAX];
	const char *path;
	int router;
	int64_t sent_at;
	int64_t answered_at;
	int status; /* 0: no answer */
} request_t;

/** Clients that send one request after the other on kept connections. */
typedef struct load {
	const char *method;
	const char *path;
	int deadline_ms;
	int pause_ms;
	int clients;
} load_t;

extern request_t requests[REQUESTS_MAX];
extern size_t requests_len;

void clients_start(int base, const load_t *load);
void clients_stop(void);
bool routers_are_ready(int base, int64_t timeout_ms);
void write_record(const char *path);

/* scenarios; they return 0 if the rule held, 1 if it was broken, 2 if not run */

extern int routers;
int scenario_additional_bytes(int base, bool trouble);
int scenario_incomplete_entry(int base, bool trouble);
int scenario_lapse_and_copy(int base, bool trouble);

#endif /* REVIEW_STAND_IN_3_SITE_H */
