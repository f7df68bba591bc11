/**
 * DOC: what the router asks of a store, whatever its protocol
 */
#ifndef ROUTER_STORE_CALLS_H
#define ROUTER_STORE_CALLS_H

#include "router/h1.h"

/**
 * struct store_item - an entry of the store, or its end
 * @key: its key
 * @value: its value; empty at its end
 * @revision: of its last change
 * @gone: the entry has ended
 */
typedef struct store_item {
	medlar_str_t key;
	medlar_str_t value;
	uint64_t revision;
	bool gone;
} store_item_t;

typedef void (*store_item_fn_t)(const store_item_t *item, void *data);

/**
 * struct store_page - what a list or a watch tells besides its items
 * @revision: of the store
 * @more: further pages follow
 * @last_key: last key of the page, NUL-terminated
 */
typedef struct store_page {
	uint64_t revision;
	bool more;
	char last_key[256];
} store_page_t;

/**
 * struct store_calls - writes calls and reads their answers
 * @list: all entries after a key
 * @watch: changes after a revision, for at most @wait ms
 * @grant: a lease of @ttl ms
 * @keep: renew a lease
 * @put: write an entry under a lease, whatever is there
 * @drop: end a lease
 * @read_items: read the answer of @list or @watch
 * @read_lease: read the answer of @grant
 *
 * Calls append a whole request to @out.
 */
typedef struct store_calls {
	void (*list)(medlar_str_t after, medlar_buf_t *out);
	void (*watch)(uint64_t after, medlar_time_t wait, medlar_buf_t *out);
	void (*grant)(medlar_time_t ttl, medlar_buf_t *out);
	void (*keep)(uint64_t lease, medlar_buf_t *out);
	void (*put)(medlar_str_t key, medlar_str_t value, uint64_t lease,
		    medlar_buf_t *out);
	void (*drop)(uint64_t lease, medlar_buf_t *out);
	int (*read_items)(medlar_str_t body, store_item_fn_t fn, void *data,
			  store_page_t *page);
	int (*read_lease)(medlar_str_t body, uint64_t *lease);
} store_calls_t;

#endif /* ROUTER_STORE_CALLS_H */
