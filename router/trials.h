/**
 * DOC: requests that wait for leave to be tried after they crashed replicas
 *
 * One instance decides for all when such a request is sent to a replica again. Another
 * one that gets the request asks it, and waits for the reply for a moment.
 */
#ifndef ROUTER_TRIALS_H
#define ROUTER_TRIALS_H

#include <sys/queue.h>

#include "libroute/suspects.h"
#include "medlard/h1_server.h"
#include "router/peers.h"

/**
 * struct trial_wait - a request that waits
 * @link: links &struct trials.waits
 * @conn: connection with the request
 * @fingerprint: fingerprint of the request
 * @asked_at: when leave was asked, ms
 */
typedef struct trial_wait {
	TAILQ_ENTRY(trial_wait) link;
	h1_conn_t *conn;
	uint64_t fingerprint;
	medlar_time_t asked_at;
} trial_wait_t;

TAILQ_HEAD(trial_wait_list, trial_wait);

/**
 * struct trials - requests that wait, and the exchange about them
 * @loop: event loop
 * @suspects: requests that crashed replicas
 * @peers: other instances
 * @waits: requests that wait, oldest first
 * @waits_len: number of @waits
 * @timer: end of the wait of the oldest one
 * @resume: called when the wait of a request has ended; it took @waited ms
 * @data: passed to @resume
 */
typedef struct trials {
	loop_t *loop;
	suspects_t *suspects;
	peers_t *peers;
	struct trial_wait_list waits;
	size_t waits_len;
	medlar_timer_t timer;
	void (*resume)(h1_conn_t *conn, bool granted, medlar_time_t waited,
		       void *data);
	void *data;
} trials_t;

void trials_init(trials_t *trials, loop_t *loop, suspects_t *suspects,
		 peers_t *peers,
		 void (*resume)(h1_conn_t *, bool, medlar_time_t, void *),
		 void *data);
void trials_finish(trials_t *trials);
int trials_ask(trials_t *trials, h1_conn_t *conn, uint64_t fingerprint);
bool trials_forget(trials_t *trials, const h1_conn_t *conn);
void trials_receive(trials_t *trials, const gossip_trial *message);
void trials_report_answer(trials_t *trials, uint64_t fingerprint);

#endif /* ROUTER_TRIALS_H */
