/**
 * DOC: stand-ins for the platform, its replicas and its clients
 *
 * One process on loopback addresses, a thread for each connection. The store keeps
 * what it acknowledged and answers reads and watches as PROTOCOL.md says. Routers
 * are started as processes of their own.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define ROUTERS_MAX 24
#define REPLICAS_MAX 16
#define CONNS_MAX 256
#define NAME_MAX_LEN 64
#define HOST "site.example"

/* Bounds of the pages for a small deployment, ms. */
#define HEARTBEAT_MS 1200
#define CONTACT_MS 4000
#define DRAIN_MS 3000
#define CONFIG_APPLY_MS 3000

typedef struct replica replica_t;

/* A request as a replica sees it. */
typedef struct request {
	char method[16];
	char path[256];
	char id[NAME_MAX_LEN];
	char expected[NAME_MAX_LEN];
	long deadline;
} request_t;

/* What a faulty replica does; see replica_t. */
typedef struct faults {
	double extra_late; /* share of answers that are sent once more, late */
	const char *crash_on; /* part of the path of requests that crash it */
} faults_t;

/**
 * struct replica - a server of a service
 * @extra_until: until when extra answers are sent, ms
 * @leaving: its answers say so
 * @retry_after: what it says with 503 when it is full, s; 0: nothing
 */
struct replica {
	char id[NAME_MAX_LEN];
	char service[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	char ip[32];
	int port;
	int slots;
	int queue;
	int work_ms;
	long down_ms;
	int64_t born;
	unsigned starts;
	unsigned seq;
	bool up;
	bool crashing;
	bool leaving;
	bool beats;
	int retry_after;
	faults_t faults;
	double extra_until;
	int listener;
	int conns[CONNS_MAX];
	int running;
	int waiting;
	double beat_at;
	pthread_mutex_t lock;
	pthread_cond_t freed;
	pthread_t acceptor;
	void (*on_run)(replica_t *replica, const request_t *request);
	void (*on_arrival)(replica_t *replica, const request_t *request);
};

/** struct router - a process of the system */
typedef struct router {
	char name[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	char ip[32];
	char store[64];
	pid_t pid;
	double started_at;
} router_t;

/** struct link_proxy - a proxy between a router and the store, which can be cut */
typedef struct link_proxy {
	char ip[32];
	int port;
	char to_ip[32];
	int to_port;
	int listener;
	volatile bool cut;
} link_proxy_t;

/** struct answer - what a client got; status 0 if there was no answer */
typedef struct answer {
	int status;
	char headers[4096];
} answer_t;

/** struct attempt - what became of a client attempt */
typedef struct attempt {
	char id[NAME_MAX_LEN];
	int sent;
	int arrivals;
	int runs;
	int status;
} attempt_t;

extern router_t routers[ROUTERS_MAX];
extern replica_t replicas[REPLICAS_MAX];
extern int replicas_len;
extern bool trouble;
extern int retry_slack; /* bound of the deployment, for all routers */

double now_ms(void);
void wait_until(double at);
void pause_ms(double ms);
double draw(void);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void give_up(const char *format, ...) __attribute__((format(printf, 1, 2)))
__attribute__((noreturn));

void site_init(int argc, char **argv);
void site_finish(void);

void store_start(void);
void store_put(const char *key, const char *text);
void store_remove(const char *key);
void store_configure(const char *json);
const char *store_address(void);
void store_ip_port(char *ip, int *port);

replica_t *replica_add(const char *service, const char *zone, int slots,
		       int queue, int work_ms);
void replica_start(replica_t *replica);
void replica_stop(replica_t *replica);

void link_start(link_proxy_t *link, const char *ip);

void router_start(int index);
void router_kill(int index, int signal);
void router_await_exit(int index);
bool router_await_ready(int index, double timeout);

answer_t ask(int router, const char *method, const char *path, const char *id,
	     long deadline, const char *body);
void new_id(char *out);
int client_connect(int router);
bool client_send(int fd, const char *method, const char *path, const char *id,
		 long deadline, const char *body);
answer_t client_receive(int fd, long deadline);

attempt_t *attempt_of(const char *id);
void attempts_begin(void);
void attempts_end(void);
void attempts_each(void (*visit)(const attempt_t *));

void start_thread(void *(*run)(void *), void *data);

#endif /* REVIEW_SITE_H */
