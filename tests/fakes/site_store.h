/**
 * DOC: stand-in for the platform's store, served over HTTP
 *
 * Holds items with revisions and leases, and answers the calls of routers. Every
 * listener that serves it has a gate, which can turn its callers away while others
 * are served.
 */
#ifndef TESTS_FAKES_SITE_STORE_H
#define TESTS_FAKES_SITE_STORE_H

#include "medlard/h1_server.h"

#define SITE_KEY_MAX 128

/**
 * struct site_item - an item, or the tombstone of a deleted one
 * @key: key
 * @value: value, NUL-terminated; NULL if the item is deleted
 * @revision: revision of the last change
 * @lease: lease that it depends on; 0 for none
 */
typedef struct site_item {
	char key[SITE_KEY_MAX];
	char *value;
	uint64_t revision;
	uint64_t lease;
} site_item_t;

/**
 * struct site_lease - a lease
 * @id: id; ids are given out in ascending order
 * @ttl: time to live after a renewal, ms
 * @expires_at: when it ends, ms
 */
typedef struct site_lease {
	uint64_t id;
	medlar_time_t ttl;
	medlar_time_t expires_at;
} site_lease_t;

/**
 * enum site_gate_state - how the calls that arrive at a gate are treated
 * @SITE_GATE_OPEN: they are served
 * @SITE_GATE_BUSY: they are answered with status 503
 * @SITE_GATE_RESET: their connections are closed
 * @SITE_GATE_SILENT: they are never answered
 */
typedef enum site_gate_state {
	SITE_GATE_OPEN,
	SITE_GATE_BUSY,
	SITE_GATE_RESET,
	SITE_GATE_SILENT,
} site_gate_state_t;

/**
 * struct site_counts - calls that were served
 * @lists: pages of lists
 * @watches: watches
 * @writes: transactions, and grants and ends of leases
 * @renewals: renewals of leases
 */
typedef struct site_counts {
	unsigned lists;
	unsigned watches;
	unsigned writes;
	unsigned renewals;
} site_counts_t;

/**
 * struct site_change - a change of the store, kept for the drill
 * @at: when it was made, ms
 * @key: key
 * @value: value; NULL if the item was deleted
 * @lease: lease of the item
 * @last_lease: &struct site_store.last_lease then
 */
typedef struct site_change {
	medlar_time_t at;
	char key[SITE_KEY_MAX];
	char *value;
	uint64_t lease;
	uint64_t last_lease;
} site_change_t;

typedef struct site_store site_store_t;

/**
 * struct site_gate - a way to the store
 * @store: store behind it
 * @state: how calls are treated
 */
typedef struct site_gate {
	site_store_t *store;
	site_gate_state_t state;
} site_gate_t;

/**
 * struct site_watch - a watch that waits for a change
 * @link: links &struct site_store.watches
 * @conn: connection of the caller
 * @gate: gate at which it arrived
 * @after: revision after which changes are wanted
 * @timer: end of the wait
 */
typedef struct site_watch {
	TAILQ_ENTRY(site_watch) link;
	h1_conn_t *conn;
	site_gate_t *gate;
	uint64_t after;
	medlar_timer_t timer;
} site_watch_t;

TAILQ_HEAD(site_watch_list, site_watch);

/**
 * struct site_store - the store
 * @loop: event loop that serves it
 * @items: items and tombstones, in order of their first write
 * @items_len: number of @items
 * @items_cap: allocated capacity of @items
 * @leases: leases
 * @leases_len: number of @leases
 * @leases_cap: allocated capacity of @leases
 * @last_lease: last id of a lease that was given out
 * @revision: revision of the last change
 * @history_from: changes after this revision are known; watches from an older one are
 *	answered with status 410
 * @epoch: number that all replies tell and each drill raises; 0 tells none
 * @epoch_text: told in its place if it is not empty, as bad input
 * @changes: all changes that the store knows
 * @changes_len: number of @changes
 * @changes_cap: allocated capacity of @changes
 * @returned_at: number of changes when the store last came back
 * @lost: changes that the last drill lost
 * @lost_len: number of @lost
 * @watches: watches that wait
 * @lease_timer: next check for leases that have ended
 * @counts: calls served
 */
struct site_store {
	loop_t *loop;
	site_item_t *items;
	size_t items_len;
	size_t items_cap;
	site_lease_t *leases;
	size_t leases_len;
	size_t leases_cap;
	uint64_t last_lease;
	uint64_t revision;
	uint64_t history_from;
	uint64_t epoch;
	char epoch_text[SITE_KEY_MAX];
	site_change_t *changes;
	size_t changes_len;
	size_t changes_cap;
	size_t returned_at;
	site_change_t *lost;
	size_t lost_len;
	struct site_watch_list watches;
	medlar_timer_t lease_timer;
	site_counts_t counts;
};

int site_store_init(site_store_t *store, loop_t *loop);
void site_store_finish(site_store_t *store);
void site_store_put(site_store_t *store, const char *key, const char *value,
		    uint64_t lease);
void site_store_set(site_store_t *store, const char *key, const char *value,
		    uint64_t lease);
const site_item_t *site_store_find(const site_store_t *store, const char *key);
void site_store_drop_history(site_store_t *store);
uint64_t site_store_grant(site_store_t *store, medlar_time_t ttl);
site_lease_t *site_store_find_lease(site_store_t *store, uint64_t id);
void site_store_end_lease(site_store_t *store, uint64_t id);

/* The drill. */
void site_store_keep_change(site_store_t *store, const char *key,
			    const char *value, uint64_t lease);
void site_store_come_back(site_store_t *store, medlar_time_t age);
void site_store_write_again(site_store_t *store, bool last_first);
void site_store_finish_changes(site_store_t *store);

/* Calls over HTTP. */
void site_gate_serve(site_gate_t *gate, h1_conn_t *conn);
void site_gate_forget(site_gate_t *gate, h1_conn_t *conn);
void site_gate_set(site_gate_t *gate, site_gate_state_t state);
void site_store_wake_watches(site_store_t *store);
void site_query_arg(const h1_conn_t *conn, const char *name, char *out,
		    size_t size);

#endif /* TESTS_FAKES_SITE_STORE_H */
