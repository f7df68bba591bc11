/**
 * DOC: functions shared by the files that implement the client of the store
 */
#ifndef ROUTER_STORE_INTERNAL_H
#define ROUTER_STORE_INTERNAL_H

#include "router/store.h"

/** Time after which a call other than a watch counts as failed. */
#define STORE_CALL_TIMEOUT_MS 1500
/** Bounds of the time until a failed call is repeated. */
#define STORE_BACKOFF_MIN_MS 100
#define STORE_BACKOFF_MAX_MS 1000
#define STORE_STATUS_OK 200

/* store_channel.c */
void store_channel_init(store_channel_t *channel, store_t *store,
			void (*next)(store_t *),
			void (*done)(store_t *, unsigned, medlar_str_t));
void store_channel_set_timer(store_channel_t *channel, medlar_time_t after);
medlar_time_t store_channel_backoff(const store_channel_t *channel);
void store_channel_send(store_channel_t *channel, medlar_time_t timeout);
void store_channel_finish(store_channel_t *channel);
bool store_channel_is_stale(const store_channel_t *channel);
void store_record_failure(store_t *store, unsigned status);

/* store_epoch.c */
bool store_read_epoch(store_t *store, const h1_message_t *reply);

/* store_writer.c */
void store_writer_init(store_t *store);
void store_writer_finish(store_t *store);

#endif /* ROUTER_STORE_INTERNAL_H */
