/**
 * DOC: the client of the store
 *
 * One connection lists the store and watches it. Another one keeps this
 * instance's own entry under a lease. Both back off while calls fail.
 */
#ifndef ROUTER_STORE_H
#define ROUTER_STORE_H

#include "medlard/log.h"
#include "router/h1_client.h"
#include "router/mirror.h"
#include "router/stats.h"

typedef struct store store_t;

/**
 * struct store_channel - a connection to the store, one call at a time
 * @store: its store
 * @client: the connection
 * @open: @client is in use
 * @waiting: a call waits for its answer
 * @call: request to send
 * @timer: next call, or the end of the time for an answer
 * @failures: calls that failed in a row
 * @next: makes the next call
 * @done: takes an answer; a failure has status 0
 */
typedef struct store_channel {
	store_t *store;
	h1_client_t client;
	bool open;
	bool waiting;
	medlar_buf_t call;
	medlar_timer_t timer;
	unsigned failures;
	void (*next)(store_t *store);
	void (*done)(store_t *store, unsigned status, medlar_str_t body);
} store_channel_t;

/** enum store_entry - what is known of this instance's own entry */
typedef enum store_entry {
	STORE_ENTRY_NO_LEASE,
	STORE_ENTRY_UNWRITTEN,
	STORE_ENTRY_WRITTEN,
	STORE_ENTRY_LEAVING,
} store_entry_t;

/**
 * struct store - the client of the store
 * @loop: loop that serves it
 * @log: told of outages
 * @stats: counters
 * @calls: protocol
 * @address: of the store
 * @mirror: fed by lists and watches
 * @reader: lists and watches
 * @keeper: keeps the own entry
 * @listed: the mirror is complete; watch from its revision
 * @page: last page of the list being read
 * @list_revision: of the store when the list was begun
 * @watching: this instance watches the store itself; others tell it otherwise
 * @entry: state of the own entry
 * @lease: its lease
 * @key: its key
 * @value: its value
 * @down_since: first failure since the last good answer; 0 while it answers
 * @up_since: first good answer after an outage, ms
 * @heard: last good answer, ms
 */
struct store {
	loop_t *loop;
	logger_t *log;
	stats_t *stats;
	const store_calls_t *calls;
	struct sockaddr_in address;
	mirror_t *mirror;
	store_channel_t reader;
	store_channel_t keeper;
	bool listed;
	store_page_t page;
	uint64_t list_revision;
	bool watching;
	store_entry_t entry;
	uint64_t lease;
	medlar_buf_t key;
	medlar_buf_t value;
	medlar_time_t down_since;
	medlar_time_t up_since;
	medlar_time_t heard;
};

void store_init(store_t *store, loop_t *loop, logger_t *log, stats_t *stats,
		const store_calls_t *calls, const struct sockaddr_in *address,
		mirror_t *mirror);
void store_start(store_t *store, medlar_str_t key, medlar_str_t value);
void store_watch(store_t *store, bool watching);
void store_entry_lost(store_t *store);
void store_leave(store_t *store);
void store_finish(store_t *store);

#endif /* ROUTER_STORE_H */
