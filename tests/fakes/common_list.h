/**
 * DOC: instance list of the platform stand-in
 */
#ifndef FAKES_COMMON_LIST_H
#define FAKES_COMMON_LIST_H

#include "libmedlar/medlar.h"

/**
 * struct fake_listed - an entry of the list
 * @id: unique name
 * @name: service
 * @shown: JSON that readers see; NULL: not listed
 * @next: JSON that readers will see; NULL: not listed
 * @due: when @next replaces @shown, microseconds
 */
typedef struct fake_listed {
	char *id;
	char *name;
	char *shown;
	char *next;
	medlar_time_t due;
} fake_listed_t;

/**
 * struct fake_list - all entries
 * @items: in order of first registration
 * @len: how many
 */
typedef struct fake_list {
	fake_listed_t *items;
	size_t len;
} fake_list_t;

int fake_list_register(fake_list_t *list, medlar_str_t body, medlar_time_t now,
		       medlar_time_t due);
void fake_list_deregister(fake_list_t *list, const char *id, medlar_time_t now,
			  medlar_time_t due);
void fake_list_write(fake_list_t *list, const char *name, medlar_time_t now,
		     medlar_buf_t *out);
void fake_list_finish(fake_list_t *list);

#endif
