/**
 * DOC: instance list of fake-platform, whose changes can be shown late
 */
#ifndef FAKES_COMMON_LIST_H
#define FAKES_COMMON_LIST_H

#include "libmedlar/medlar.h"

/**
 * struct fake_list_entry - a registered instance
 * @id: unique id
 * @name: name of its service
 * @visible_json: JSON that readers see now; NULL if not listed
 * @pending_json: JSON that readers see from @visible_at on; NULL if not listed
 * @visible_at: time of fake_now() in microseconds at which @pending_json
 *              replaces @visible_json, or %MEDLAR_TIME_NEVER
 */
typedef struct fake_list_entry {
	char *id;
	char *name;
	char *visible_json;
	char *pending_json;
	medlar_time_t visible_at;
} fake_list_entry_t;

/**
 * struct fake_list - the instance list
 * @entries: in order of first registration
 * @len: number of entries
 */
typedef struct fake_list {
	fake_list_entry_t *entries;
	size_t len;
} fake_list_t;

int fake_list_register(fake_list_t *list, medlar_str_t body, medlar_time_t now,
		       medlar_time_t visible_at);
void fake_list_deregister(fake_list_t *list, const char *id, medlar_time_t now,
			  medlar_time_t visible_at);
void fake_list_write_service(fake_list_t *list, const char *name,
			     medlar_time_t now, medlar_buf_t *out);
void fake_list_finish(fake_list_t *list);

#endif
