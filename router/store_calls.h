/**
 * DOC: interface between the client of the store and the protocol of a store
 */
#ifndef ROUTER_STORE_CALLS_H
#define ROUTER_STORE_CALLS_H

#include "medlard/h1.h"
#include "router/position.h"

/**
 * struct store_item - an entry of the store, or its deletion
 * @key: key
 * @value: value; empty for a deletion, but for one that is @withdrawn
 * @position: position of the last change; its epoch is set by who reads the item
 * @deleted: the entry was deleted
 * @withdrawn: the entry was deleted, and the store lists it all the same as it was
 *	before; @value is its last one
 */
typedef struct store_item {
	medlar_str_t key;
	medlar_str_t value;
	store_position_t position;
	bool deleted;
	bool withdrawn;
} store_item_t;

/** Called for each item that was read; @data is that of the registration. */
typedef void (*store_item_fn_t)(const store_item_t *item, void *data);

/**
 * struct store_page - metadata of a reply to a list or a watch
 * @revision: store revision of the reply
 * @more: further pages of the list follow
 * @last_key: last key of the page, NUL-terminated; empty if there are no items
 */
typedef struct store_page {
	uint64_t revision;
	bool more;
	char last_key[256];
} store_page_t;

/**
 * struct store_calls - operations of a store protocol
 * @list: write a request for one page of the entries after key @after
 * @watch: write a request for the changes after revision @after, which the
 *	store answers after @wait ms at the latest
 * @grant_lease: write a request for a new lease of @ttl ms
 * @renew_lease: write a request that renews a lease
 * @put: write a request that sets an entry under a lease, unconditionally
 * @revoke_lease: write a request that revokes a lease, which deletes its
 *	entries
 * @read_items: parse the reply to @list or @watch and call @fn for each item
 * @read_lease: parse the reply to @grant_lease
 * @read_epoch: read the epoch of the store from the head of any reply: sets it and
 *	returns %MEDLAR_OK, or %MEDLAR_ERR_NOT_FOUND if none is told, or
 *	%MEDLAR_ERR_SYNTAX
 *
 * The operations that write a request append a whole HTTP request to @out; the
 * others return %MEDLAR_OK or an error.
 */
typedef struct store_calls {
	void (*list)(medlar_str_t after, medlar_buf_t *out);
	void (*watch)(uint64_t after, medlar_time_t wait, medlar_buf_t *out);
	void (*grant_lease)(medlar_time_t ttl, medlar_buf_t *out);
	void (*renew_lease)(uint64_t lease, medlar_buf_t *out);
	void (*put)(medlar_str_t key, medlar_str_t value, uint64_t lease,
		    medlar_buf_t *out);
	void (*revoke_lease)(uint64_t lease, medlar_buf_t *out);
	int (*read_items)(medlar_str_t body, store_item_fn_t fn, void *data,
			  store_page_t *page);
	int (*read_lease)(medlar_str_t body, uint64_t *lease);
	int (*read_epoch)(const h1_message_t *reply, uint64_t *epoch);
} store_calls_t;

#endif /* ROUTER_STORE_CALLS_H */
