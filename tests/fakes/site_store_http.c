/**
 * DOC: calls over HTTP to the stand-in for the platform's store
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "platform/json.h"
#include "tests/fakes/site_store.h"

#define ARG_MAX_LEN 512
#define STATUS_GONE 410

/**
 * site_query_arg() - get a parameter of the query of a request
 * @conn: connection with the request
 * @name: name of the parameter
 * @out: set to its decoded value; an empty string if it is absent
 * @size: size of @out
 */
void site_query_arg(const h1_conn_t *conn, const char *name, char *out,
		    size_t size)
{
	medlar_str_t target = h1_message_target(&conn->parser.message);
	char text[ARG_MAX_LEN];
	char key[SITE_KEY_MAX];
	const char *at;
	size_t len = 0;

	(void)snprintf(text, sizeof(text), "%.*s", (int)target.len, target.ptr);
	(void)snprintf(key, sizeof(key), "%s=", name);
	out[0] = '\0';
	for (at = strchr(text, '?'); at; at = strchr(at, '&')) {
		at++;
		if (strncmp(at, key, strlen(key)) != 0)
			continue;
		for (at += strlen(key); *at && *at != '&' && len + 1 < size;
		     at++) {
			unsigned code;

			if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
				out[len++] = (char)code;
				at += 2;
			} else {
				out[len++] = *at;
			}
		}
		out[len] = '\0';
		return;
	}
}

/* @body may be NULL. */
static void answer(const site_store_t *store, h1_conn_t *conn, unsigned status,
		   const medlar_buf_t *body)
{
	char header[SITE_KEY_MAX + 16] = "";

	if (store->epoch_text[0])
		(void)snprintf(header, sizeof(header), "Store-Era: %s\r\n",
			       store->epoch_text);
	else if (store->epoch)
		(void)snprintf(header, sizeof(header),
			       "Store-Era: %" PRIu64 "\r\n", store->epoch);
	h1_conn_answer(conn, status, medlar_str_from(header),
		       body ? medlar_buf_str(body) : (medlar_str_t){ 0 });
}

static void write_base64(const char *value, medlar_buf_t *out)
{
	size_t size = sodium_base64_ENCODED_LEN(strlen(value),
						sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(size);

	if (!text)
		abort();
	sodium_bin2base64(text, size, (const unsigned char *)value,
			  strlen(value), sodium_base64_VARIANT_ORIGINAL);
	medlar_buf_add(out, medlar_str_from(text));
	free(text);
}

static void write_item(const site_item_t *item, medlar_buf_t *out)
{
	medlar_buf_printf(out, "{\"key\":\"%s\",\"revision\":%" PRIu64,
			  item->key, item->revision);
	if (!item->value) {
		medlar_buf_add(out, MEDLAR_STR(",\"tombstone\":true}"));
		return;
	}
	medlar_buf_add(out, MEDLAR_STR(",\"value\":\""));
	write_base64(item->value, out);
	medlar_buf_add(out, MEDLAR_STR("\"}"));
}

/* Writes the items changed after a revision, separated by commas. */
static void write_items(const site_store_t *store, uint64_t after,
			bool with_tombstones, medlar_buf_t *out)
{
	size_t count = 0;

	for (size_t i = 0; i < store->items_len; i++) {
		const site_item_t *item = &store->items[i];

		if (item->revision <= after ||
		    (!item->value && !with_tombstones))
			continue;
		if (count++)
			medlar_buf_add(out, MEDLAR_STR(","));
		write_item(item, out);
	}
}

static void remove_watch(site_store_t *store, site_watch_t *watch)
{
	medlar_timer_clear(store->loop->client, &watch->timer);
	TAILQ_REMOVE(&store->watches, watch, link);
	watch->conn->handler_data = NULL;
	free(watch);
}

static void answer_watch(site_store_t *store, site_watch_t *watch)
{
	bool is_known = watch->after >= store->history_from &&
			watch->after <= store->revision;
	h1_conn_t *conn = watch->conn;
	medlar_buf_t body;

	medlar_buf_init(&body);
	medlar_buf_add(&body, MEDLAR_STR("{\"events\":["));
	if (is_known)
		write_items(store, watch->after, true, &body);
	medlar_buf_printf(&body, "],\"storeRevision\":%" PRIu64 "}",
			  store->revision);
	remove_watch(store, watch);
	answer(store, conn, is_known ? 200 : STATUS_GONE, &body);
	medlar_buf_finish(&body);
}

/**
 * site_store_wake_watches() - answer the watches for which there are changes
 * @store: store
 */
void site_store_wake_watches(site_store_t *store)
{
	site_watch_t *watch = TAILQ_FIRST(&store->watches);

	while (watch) {
		site_watch_t *next = TAILQ_NEXT(watch, link);

		if (watch->after < store->revision)
			answer_watch(store, watch);
		watch = next;
	}
}

static void on_watch_timer(medlar_client_t *client, medlar_timer_t *timer,
			   medlar_time_t now, void *data)
{
	site_watch_t *watch = data;

	(void)client;
	(void)timer;
	(void)now;
	answer_watch(watch->gate->store, watch);
}

static void serve_watch(site_gate_t *gate, h1_conn_t *conn)
{
	site_store_t *store = gate->store;
	char after[SITE_KEY_MAX];
	char wait[SITE_KEY_MAX];
	site_watch_t *watch = calloc(1, sizeof(*watch));

	if (!watch)
		abort();
	store->counts.watches++;
	site_query_arg(conn, "after", after, sizeof(after));
	site_query_arg(conn, "waitMs", wait, sizeof(wait));
	*watch = (site_watch_t){ .conn = conn,
				 .gate = gate,
				 .after = strtoull(after, NULL, 10) };
	conn->handler_data = watch;
	medlar_timer_init(&watch->timer, on_watch_timer, watch);
	TAILQ_INSERT_TAIL(&store->watches, watch, link);
	if (watch->after != store->revision)
		answer_watch(store, watch);
	else
		(void)medlar_timer_set(store->loop->client, &watch->timer,
				       store->loop->now + atoi(wait));
}

static void serve_list(site_store_t *store, h1_conn_t *conn)
{
	medlar_buf_t body;

	store->counts.lists++;
	medlar_buf_init(&body);
	medlar_buf_add(&body, MEDLAR_STR("{\"items\":["));
	write_items(store, 0, false, &body);
	medlar_buf_printf(
		&body, "],\"morePages\":false,\"storeRevision\":%" PRIu64 "}",
		store->revision);
	answer(store, conn, 200, &body);
	medlar_buf_finish(&body);
}

static bool write_is_valid(site_store_t *store, const json_t *write,
			   char *value, size_t size)
{
	medlar_str_t text = json_get_string(write, "value");
	json_t *lease = json_get(write, "lease", json_type_int);
	uint64_t id = lease ? (uint64_t)json_object_get_int64(lease) : 0;
	size_t len = 0;

	if (sodium_base642bin((unsigned char *)value, size - 1, text.ptr,
			      text.len, NULL, &len, NULL,
			      sodium_base64_VARIANT_ORIGINAL))
		return false;
	value[len] = '\0';
	return id == 0 || site_store_find_lease(store, id);
}

static void apply_write(site_store_t *store, const json_t *write,
			const char *value)
{
	medlar_str_t key = json_get_string(write, "key");
	json_t *lease = json_get(write, "lease", json_type_int);
	char text[SITE_KEY_MAX];

	(void)snprintf(text, sizeof(text), "%.*s", (int)key.len, key.ptr);
	site_store_put(store, text, value,
		       lease ? (uint64_t)json_object_get_int64(lease) : 0);
}

/* Serves the one form of transaction that routers send: a single write. */
static void serve_transaction(site_store_t *store, h1_conn_t *conn)
{
	json_t *body = json_parse_object(
		medlar_buf_str(&conn->parser.message.body));
	json_t *writes = json_get(body, "writes", json_type_array);
	const json_t *write = writes ? json_object_array_get_idx(writes, 0)
				     : NULL;
	char value[ARG_MAX_LEN];
	medlar_buf_t out;

	store->counts.writes++;
	if (!write || !write_is_valid(store, write, value, sizeof(value))) {
		answer(store, conn, 404, NULL);
	} else {
		apply_write(store, write, value);
		medlar_buf_init(&out);
		medlar_buf_printf(&out, "{\"revision\":%" PRIu64 "}",
				  store->revision);
		answer(store, conn, 200, &out);
		medlar_buf_finish(&out);
	}
	json_object_put(body);
}

static void answer_lease(const site_store_t *store, h1_conn_t *conn,
			 const site_lease_t *lease)
{
	medlar_buf_t out;

	medlar_buf_init(&out);
	medlar_buf_printf(&out, "{\"lease\":%" PRIu64 ",\"ttlMs\":%" PRId64 "}",
			  lease->id, lease->ttl);
	answer(store, conn, 200, &out);
	medlar_buf_finish(&out);
}

static void serve_grant(site_store_t *store, h1_conn_t *conn)
{
	json_t *body = json_parse_object(
		medlar_buf_str(&conn->parser.message.body));
	json_t *ttl = json_get(body, "ttlMs", json_type_int);

	store->counts.writes++;
	if (ttl)
		answer_lease(
			store, conn,
			site_store_find_lease(
				store,
				site_store_grant(store,
						 json_object_get_int64(ttl))));
	else
		answer(store, conn, 400, NULL);
	json_object_put(body);
}

static void serve_renewal(site_store_t *store, h1_conn_t *conn, uint64_t id)
{
	site_lease_t *lease = site_store_find_lease(store, id);

	store->counts.renewals++;
	if (!lease) {
		answer(store, conn, 404, NULL);
		return;
	}
	lease->expires_at = store->loop->now + lease->ttl;
	answer_lease(store, conn, lease);
}

static void serve_end(site_store_t *store, h1_conn_t *conn, uint64_t id)
{
	store->counts.writes++;
	site_store_end_lease(store, id);
	answer(store, conn, 200, NULL);
}

/* Gets what follows @path in the target of a request. */
static bool match_path(medlar_str_t target, const char *path, const char **rest)
{
	size_t len = strlen(path);

	if (target.len < len || memcmp(target.ptr, path, len) != 0)
		return false;
	*rest = target.ptr + len;
	return true;
}

static void serve_call(site_gate_t *gate, h1_conn_t *conn)
{
	site_store_t *store = gate->store;
	medlar_str_t target = h1_message_target(&conn->parser.message);
	const char *rest;

	if (match_path(target, "/api/kv-range", &rest))
		serve_list(store, conn);
	else if (match_path(target, "/api/kv-watch", &rest))
		serve_watch(gate, conn);
	else if (match_path(target, "/api/kv-txn", &rest))
		serve_transaction(store, conn);
	else if (match_path(target, "/api/kv-lease-end/", &rest))
		serve_end(store, conn, strtoull(rest, NULL, 10));
	else if (match_path(target, "/api/kv-keep/", &rest))
		serve_renewal(store, conn, strtoull(rest, NULL, 10));
	else if (match_path(target, "/api/kv-lease", &rest))
		serve_grant(store, conn);
	else
		answer(store, conn, 404, NULL);
}

/**
 * site_gate_serve() - answer a call to the store, now or later
 * @gate: gate at which it arrived
 * @conn: connection with the call
 */
void site_gate_serve(site_gate_t *gate, h1_conn_t *conn)
{
	switch (gate->state) {
	case SITE_GATE_OPEN:
		serve_call(gate, conn);
		break;
	case SITE_GATE_BUSY:
		answer(gate->store, conn, 503, NULL);
		break;
	case SITE_GATE_RESET:
		conn->busy = false;
		h1_conn_close(conn);
		break;
	case SITE_GATE_SILENT:
		break;
	}
}

/**
 * site_gate_forget() - drop the call of a connection that is about to be closed
 * @gate: gate at which it arrived
 * @conn: connection
 */
void site_gate_forget(site_gate_t *gate, h1_conn_t *conn)
{
	if (conn->handler_data)
		remove_watch(gate->store, conn->handler_data);
}

static void end_watch(site_gate_t *gate, site_watch_t *watch)
{
	h1_conn_t *conn = watch->conn;

	remove_watch(gate->store, watch);
	site_gate_serve(gate, conn);
}

/**
 * site_gate_set() - set how calls are treated
 * @gate: gate
 * @state: how calls are treated from now on; those that wait are, too
 */
void site_gate_set(site_gate_t *gate, site_gate_state_t state)
{
	site_watch_t *watch = TAILQ_FIRST(&gate->store->watches);

	gate->state = state;
	while (watch && state != SITE_GATE_OPEN) {
		site_watch_t *next = TAILQ_NEXT(watch, link);

		if (watch->gate == gate)
			end_watch(gate, watch);
		watch = next;
	}
}
