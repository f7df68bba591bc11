/**
 * DOC: key-value table and sessions (leases) of fake-platform
 */
#ifndef FAKES_COMMON_KV_H
#define FAKES_COMMON_KV_H

#include "libmedlar/medlar.h"

/* Longest value, bytes. */
#define FAKE_KV_VALUE_MAX ((size_t)1024 * 1024)
#define FAKE_SESSION_ID_LEN 36

/**
 * struct fake_kv_item - a key with its value
 * @key: key, NUL-terminated
 * @value: value, any bytes
 * @create_index: index of the write that created it
 * @modify_index: index of its last change
 * @session: id of the session that locks it, or an empty string
 */
typedef struct fake_kv_item {
	char *key;
	medlar_buf_t value;
	uint64_t create_index;
	uint64_t modify_index;
	char session[FAKE_SESSION_ID_LEN + 1];
} fake_kv_item_t;

/**
 * struct fake_session - a session: a lease that can lock keys
 * @id: unique id in the form of a UUID
 * @ttl: lifetime after each renewal, microseconds
 * @expires_at: time of fake_now() when it expires, microseconds
 */
typedef struct fake_session {
	char id[FAKE_SESSION_ID_LEN + 1];
	medlar_time_t ttl;
	medlar_time_t expires_at;
} fake_session_t;

/**
 * struct fake_kv - key-value table with its sessions
 * @items: items, sorted by key
 * @len: number of items
 * @sessions: sessions that have not ended, in no order
 * @sessions_len: number of sessions
 * @index: index of the last change, counted up by each
 */
typedef struct fake_kv {
	fake_kv_item_t *items;
	size_t len;
	fake_session_t *sessions;
	size_t sessions_len;
	uint64_t index;
} fake_kv_t;

/**
 * struct fake_kv_write - a write, with its conditions
 * @key: key
 * @value: new value
 * @has_cas: write only if the modification index of the key is @cas
 * @cas: expected modification index; 0 if the key must not exist
 * @acquire: id of the session that is to lock the key, or NULL
 */
typedef struct fake_kv_write {
	const char *key;
	medlar_str_t value;
	bool has_cas;
	uint64_t cas;
	const char *acquire;
} fake_kv_write_t;

void fake_kv_finish(fake_kv_t *kv);
const fake_kv_item_t *fake_kv_find(const fake_kv_t *kv, const char *key);
bool fake_kv_put(fake_kv_t *kv, const fake_kv_write_t *write);
uint64_t fake_kv_index(const fake_kv_t *kv, const char *key, bool recurse);
bool fake_kv_matches(const fake_kv_item_t *item, const char *key, bool recurse);
fake_session_t *fake_session_create(fake_kv_t *kv, medlar_rand_t *rand,
				    medlar_time_t ttl, medlar_time_t now);
fake_session_t *fake_session_find(fake_kv_t *kv, const char *id);
void fake_session_destroy(fake_kv_t *kv, const char *id);
void fake_session_expire(fake_kv_t *kv, medlar_time_t now);

#endif
