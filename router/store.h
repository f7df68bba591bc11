/**
 * DOC: client of the store
 *
 * One connection lists the store and then watches it for changes. Another one
 * writes the entry of this instance under a lease and renews the lease. Both
 * retry with exponential backoff while calls fail. A third one writes entries that
 * outlive the instance and expire by themselves.
 */
#ifndef ROUTER_STORE_H
#define ROUTER_STORE_H

#include "medlard/log.h"
#include "medlard/h1_client.h"
#include "libroute/uptime.h"
#include "router/mirror.h"
#include "router/stats.h"

typedef struct store store_t;

/**
 * struct store_channel - a connection to the store that carries one call at a
 *	time
 * @store: client that owns the channel
 * @client: HTTP connection
 * @open: @client is initialised
 * @call_in_flight: a call is in progress
 * @epoch: epoch of the store that was known when it was sent
 * @request: request of the current call
 * @timer: timeout of the current call, or start of the next one
 * @failures: consecutive failed calls
 * @send_next: starts the next call
 * @on_reply: handles a reply; status 0 stands for a call without a reply
 */
typedef struct store_channel {
	store_t *store;
	h1_client_t client;
	bool open;
	bool call_in_flight;
	uint64_t epoch;
	medlar_buf_t request;
	medlar_timer_t timer;
	unsigned failures;
	void (*send_next)(store_t *store);
	void (*on_reply)(store_t *store, unsigned status, medlar_str_t body);
} store_channel_t;

/**
 * enum store_entry_state - state of this instance's entry in the store
 * @STORE_ENTRY_NO_LEASE: no lease is held; one has to be granted
 * @STORE_ENTRY_UNWRITTEN: a lease is held; the entry has to be written
 * @STORE_ENTRY_WRITTEN: the entry is written; the lease has to be renewed
 * @STORE_ENTRY_LEAVING: the instance is shutting down and makes no more calls
 */
typedef enum store_entry_state {
	STORE_ENTRY_NO_LEASE,
	STORE_ENTRY_UNWRITTEN,
	STORE_ENTRY_WRITTEN,
	STORE_ENTRY_LEAVING,
} store_entry_state_t;

/**
 * enum store_writer_state - what the writer of expiring entries waits for
 * @STORE_WRITER_IDLE: an entry to write
 * @STORE_WRITER_LEASE: a lease for the entry
 * @STORE_WRITER_PUT: the reply to the write
 */
typedef enum store_writer_state {
	STORE_WRITER_IDLE,
	STORE_WRITER_LEASE,
	STORE_WRITER_PUT,
} store_writer_state_t;

/**
 * struct store_writer - writes entries that expire by themselves, one at a time
 * @channel: channel for the calls
 * @state: what it waits for
 * @key: key of the entry being written
 * @value: value of the entry being written
 * @retry_at: earliest time of the next write after a failed one, ms
 */
typedef struct store_writer {
	store_channel_t channel;
	store_writer_state_t state;
	medlar_buf_t key;
	medlar_buf_t value;
	medlar_time_t retry_at;
} store_writer_t;

/**
 * struct store - client of the store
 * @loop: event loop
 * @log: log for the begin and end of outages
 * @stats: counters
 * @calls: protocol of the store
 * @address: address of the store
 * @mirror: copy of the store, updated by lists and watches
 * @reader: channel for lists and watches
 * @lease_keeper: channel for the lease and the entry of this instance
 * @writer: writer of expiring entries
 * @list_complete: a list is complete; watch from the revision of @mirror
 * @page: last page received of the list being read
 * @list_revision: store revision at the begin of the list being read; 0 if no
 *	list is being read
 * @list_epoch: epoch of the store of that page
 * @list_begun_at: when the first page of the last list was received, ms
 * @watching: this instance watches the store; otherwise it gets the changes
 *	from other instances
 * @watch_pause: time from a change to the next watch, in which changes gather,
 *	ms
 * @has_news: a watch has brought changes; cleared by the user of the client
 * @entry_state: state of the entry of this instance
 * @lease: lease of the entry
 * @key: key of the entry
 * @value: value of the entry
 * @down_since: time of the first failure after the last success, ms; 0 while
 *	calls succeed
 * @answered: time in which all lists and watches were answered; its start is 0 while
 *	they are not, or none is made
 * @epoch: highest epoch of the store that was heard of; 0 if none
 * @epoch_rose_at: when a higher one was, ms; 0 if never
 * @epoch_malformed: the last reply that told an epoch told something else
 * @on_epoch: called when a higher epoch is heard of; may be NULL
 * @epoch_data: passed to @on_epoch
 * @last_contact: time up to which the store is known to hold nothing that
 *	@mirror lacks, ms; 0 if no list is complete. Replies that are no complete
 *	list or watch do not count.
 */
struct store {
	loop_t *loop;
	logger_t *log;
	stats_t *stats;
	const store_calls_t *calls;
	struct sockaddr_in address;
	mirror_t *mirror;
	store_channel_t reader;
	store_channel_t lease_keeper;
	store_writer_t writer;
	bool list_complete;
	store_page_t page;
	uint64_t list_revision;
	uint64_t list_epoch;
	medlar_time_t list_begun_at;
	bool watching;
	medlar_time_t watch_pause;
	bool has_news;
	store_entry_state_t entry_state;
	uint64_t lease;
	medlar_buf_t key;
	medlar_buf_t value;
	medlar_time_t down_since;
	uptime_t answered;
	uint64_t epoch;
	medlar_time_t epoch_rose_at;
	bool epoch_malformed;
	void (*on_epoch)(void *data);
	void *epoch_data;
	medlar_time_t last_contact;
};

void store_init(store_t *store, loop_t *loop, logger_t *log, stats_t *stats,
		const store_calls_t *calls, const struct sockaddr_in *address,
		mirror_t *mirror);
void store_start(store_t *store, medlar_str_t key, medlar_str_t value);
void store_set_watching(store_t *store, bool watching, medlar_time_t pause);
void store_hear_epoch(store_t *store, uint64_t epoch);
void store_entry_lost(store_t *store);
medlar_time_t store_silence(const store_t *store);
void store_withdraw_entry(store_t *store);
int store_put_expiring(store_t *store, medlar_str_t key, medlar_str_t value,
		       medlar_time_t ttl);
void store_finish(store_t *store);

#endif /* ROUTER_STORE_H */
