/**
 * DOC: key-value table and sessions (leases) of fake-platform
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common_kv.h"

static void *grow_array(void *items, size_t len, size_t size)
{
	void *grown = realloc(items, (len + 1) * size);

	if (!grown)
		abort();
	memset((char *)grown + len * size, 0, size);
	return grown;
}

/**
 * fake_kv_finish() - free all items and sessions
 * @kv: table; empty and usable again afterwards
 */
void fake_kv_finish(fake_kv_t *kv)
{
	size_t i;

	for (i = 0; i < kv->len; i++) {
		free(kv->items[i].key);
		medlar_buf_finish(&kv->items[i].value);
	}
	free(kv->items);
	free(kv->sessions);
	*kv = (fake_kv_t){ 0 };
}

static fake_kv_item_t *find_item(const fake_kv_t *kv, const char *key)
{
	size_t i;

	for (i = 0; i < kv->len; i++) {
		if (!strcmp(kv->items[i].key, key))
			return &kv->items[i];
	}
	return NULL;
}

/**
 * fake_kv_find() - look up a key
 * @kv: table
 * @key: key
 *
 * Return: the item, or NULL if the key does not exist.
 */
const fake_kv_item_t *fake_kv_find(const fake_kv_t *kv, const char *key)
{
	return find_item(kv, key);
}

static fake_kv_item_t *insert_item(fake_kv_t *kv, const char *key)
{
	fake_kv_item_t *item;
	size_t at = 0;

	kv->items = grow_array(kv->items, kv->len, sizeof(*kv->items));
	while (at < kv->len && strcmp(kv->items[at].key, key) < 0)
		at++;
	item = &kv->items[at];
	memmove(item + 1, item, (kv->len++ - at) * sizeof(*item));
	memset(item, 0, sizeof(*item));
	item->key = strdup(key);
	item->create_index = kv->index + 1;
	return item;
}

static bool can_acquire_lock(fake_kv_t *kv, const fake_kv_item_t *item,
			     const char *session)
{
	if (!fake_session_find(kv, session))
		return false;
	return !item || !item->session[0] || !strcmp(item->session, session);
}

/**
 * fake_kv_put() - write a key if its conditions hold
 * @kv: table
 * @write: key, value and conditions
 *
 * Return: true if it was written.
 */
bool fake_kv_put(fake_kv_t *kv, const fake_kv_write_t *write)
{
	fake_kv_item_t *item = find_item(kv, write->key);

	if (write->has_cas && write->cas != (item ? item->modify_index : 0))
		return false;
	if (write->acquire && !can_acquire_lock(kv, item, write->acquire))
		return false;
	if (!item)
		item = insert_item(kv, write->key);
	if (write->acquire)
		snprintf(item->session, sizeof(item->session), "%s",
			 write->acquire);
	medlar_buf_reset(&item->value);
	medlar_buf_add(&item->value, write->value);
	item->modify_index = ++kv->index;
	return true;
}

/**
 * fake_kv_matches() - check whether an item has a key or prefix
 * @item: item
 * @key: key or prefix of keys
 * @recurse: @key is a prefix
 *
 * Return: true if the item matches.
 */
bool fake_kv_matches(const fake_kv_item_t *item, const char *key, bool recurse)
{
	if (recurse)
		return !strncmp(item->key, key, strlen(key));
	return !strcmp(item->key, key);
}

/**
 * fake_kv_index() - modification index of a key or prefix
 * @kv: table
 * @key: key or prefix of keys
 * @recurse: @key is a prefix
 *
 * Return: highest modification index of the matching items, at least 1.
 */
uint64_t fake_kv_index(const fake_kv_t *kv, const char *key, bool recurse)
{
	uint64_t index = 1;
	size_t i;

	for (i = 0; i < kv->len; i++) {
		const fake_kv_item_t *item = &kv->items[i];

		if (item->modify_index > index &&
		    fake_kv_matches(item, key, recurse))
			index = item->modify_index;
	}
	return index;
}

/**
 * fake_session_create() - create a session
 * @kv: table
 * @rand: random generator for its id
 * @ttl: lifetime without renewal, microseconds
 * @now: current time, microseconds
 *
 * Return: the session, valid until a session is created or ends.
 */
fake_session_t *fake_session_create(fake_kv_t *kv, medlar_rand_t *rand,
				    medlar_time_t ttl, medlar_time_t now)
{
	uint64_t a = medlar_rand_next(rand);
	uint64_t b = medlar_rand_next(rand);
	fake_session_t *session;

	kv->sessions = grow_array(kv->sessions, kv->sessions_len,
				  sizeof(*session));
	session = &kv->sessions[kv->sessions_len++];
	snprintf(session->id, sizeof(session->id),
		 "%08x-%04x-%04x-%04x-%012llx", (unsigned)(a >> 32),
		 (unsigned)(a >> 16 & 0xffff), (unsigned)(a & 0xffff),
		 (unsigned)(b >> 48), (unsigned long long)(b & 0xffffffffffff));
	session->ttl = ttl;
	session->expires_at = now + ttl;
	return session;
}

/**
 * fake_session_find() - look up a session
 * @kv: table
 * @id: id of the session
 *
 * Return: the session, or NULL if there is none with this id.
 */
fake_session_t *fake_session_find(fake_kv_t *kv, const char *id)
{
	size_t i;

	for (i = 0; i < kv->sessions_len; i++) {
		if (!strcmp(kv->sessions[i].id, id))
			return &kv->sessions[i];
	}
	return NULL;
}

static void release_locks(fake_kv_t *kv, const char *id)
{
	size_t i;

	for (i = 0; i < kv->len; i++) {
		if (strcmp(kv->items[i].session, id) != 0)
			continue;
		kv->items[i].session[0] = '\0';
		kv->items[i].modify_index = ++kv->index;
	}
}

/**
 * fake_session_destroy() - end a session and release its locks
 * @kv: table
 * @id: id of the session
 */
void fake_session_destroy(fake_kv_t *kv, const char *id)
{
	fake_session_t *session = fake_session_find(kv, id);

	if (!session)
		return;
	release_locks(kv, session->id);
	*session = kv->sessions[--kv->sessions_len];
}

/**
 * fake_session_expire() - end the sessions whose lifetime is over
 * @kv: table
 * @now: current time, microseconds
 */
void fake_session_expire(fake_kv_t *kv, medlar_time_t now)
{
	size_t i = kv->sessions_len;

	while (i-- > 0) {
		if (kv->sessions[i].expires_at <= now)
			fake_session_destroy(kv, kv->sessions[i].id);
	}
}
