/**
 * DOC: key-value table with leases of the platform stand-in
 */
#ifndef FAKES_COMMON_KV_H
#define FAKES_COMMON_KV_H

#include "libmedlar/medlar.h"

#define FAKE_KV_VALUE_MAX ((size_t)1024 * 1024)
#define FAKE_SESSION_ID_LEN 36

/**
 * struct fake_kv_item - a key with its value
 * @key: terminated name
 * @value: bytes
 * @created: index of the first write
 * @modified: index of the last write
 * @session: lease that holds the lock, or an empty string
 */
typedef struct fake_kv_item {
	char *key;
	medlar_buf_t value;
	uint64_t created;
	uint64_t modified;
	char session[FAKE_SESSION_ID_LEN + 1];
} fake_kv_item_t;

/**
 * struct fake_session - a lease
 * @id: unique name
 * @ttl: lifetime after each renewal, microseconds
 * @expires: when it lapses, microseconds
 */
typedef struct fake_session {
	char id[FAKE_SESSION_ID_LEN + 1];
	medlar_time_t ttl;
	medlar_time_t expires;
} fake_session_t;

/**
 * struct fake_kv - the table
 * @items: keys in the order of their names
 * @len: number of keys
 * @sessions: live leases
 * @sessions_len: how many
 * @index: index of the last write
 */
typedef struct fake_kv {
	fake_kv_item_t *items;
	size_t len;
	fake_session_t *sessions;
	size_t sessions_len;
	uint64_t index;
} fake_kv_t;

/**
 * struct fake_kv_write - a conditional write
 * @key: name
 * @value: bytes
 * @has_cas: only if the modification index is still @cas
 * @cas: expected index; 0: the key must not exist
 * @acquire: lease that is to lock the key, or NULL
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
