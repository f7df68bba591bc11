/**
 * DOC: instance list of the platform stand-in
 */
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "common_list.h"

/* Applies the changes that have become visible. */
static void settle(fake_list_t *list, medlar_time_t now)
{
	size_t i;

	for (i = 0; i < list->len; i++) {
		fake_listed_t *item = &list->items[i];

		if (item->due > now)
			continue;
		free(item->shown);
		item->shown = item->next;
		item->next = NULL;
		item->due = MEDLAR_TIME_NEVER;
	}
}

static fake_listed_t *find_or_add(fake_list_t *list, const char *id)
{
	fake_listed_t *item;
	size_t i;

	for (i = 0; i < list->len; i++) {
		if (!strcmp(list->items[i].id, id))
			return &list->items[i];
	}
	list->items = realloc(list->items, (list->len + 1) * sizeof(*item));
	if (!list->items)
		abort();
	item = &list->items[list->len++];
	*item = (fake_listed_t){ .id = strdup(id),
				 .name = strdup(""),
				 .due = MEDLAR_TIME_NEVER };
	return item;
}

static void change(fake_list_t *list, fake_listed_t *item, char *next,
		   medlar_time_t now, medlar_time_t due)
{
	settle(list, now);
	free(item->next);
	item->next = next;
	item->due = due;
}

static char *entry_text(struct json_object *body, const char *name)
{
	const char *const copied[] = { "ID", "Address", "Port", "Meta" };
	struct json_object *service = json_object_new_object();
	struct json_object *entry = json_object_new_object();
	struct json_object *value;
	char *text;
	size_t i;

	json_object_object_add(service, "Service",
			       json_object_new_string(name));
	for (i = 0; i < sizeof(copied) / sizeof(copied[0]); i++) {
		if (json_object_object_get_ex(body, copied[i], &value))
			json_object_object_add(service, copied[i],
					       json_object_get(value));
	}
	json_object_object_add(entry, "Service", service);
	json_object_object_add(
		entry, "Checks",
		json_tokener_parse("[{\"Status\":\"passing\"}]"));
	text = strdup(json_object_to_json_string(entry));
	json_object_put(entry);
	return text;
}

/**
 * fake_list_register() - add or replace an entry
 * @list: list
 * @body: JSON with ``ID``, ``Name``, ``Address``, ``Port`` and ``Meta``
 * @now: current time, microseconds
 * @due: when readers see the change, microseconds
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_MISSING without ``ID`` and ``Name``.
 */
int fake_list_register(fake_list_t *list, medlar_str_t body, medlar_time_t now,
		       medlar_time_t due)
{
	struct json_object *json = json_tokener_parse(body.ptr);
	const char *id = json_object_get_string(
		json_object_object_get(json, "ID"));
	const char *name = json_object_get_string(
		json_object_object_get(json, "Name"));
	int err = id && name ? MEDLAR_OK : MEDLAR_ERR_MISSING;

	if (err == MEDLAR_OK) {
		fake_listed_t *item = find_or_add(list, id);

		free(item->name);
		item->name = strdup(name);
		change(list, item, entry_text(json, name), now, due);
	}
	json_object_put(json);
	return err;
}

/**
 * fake_list_deregister() - remove an entry
 * @list: list
 * @id: its name
 * @now: current time, microseconds
 * @due: when readers see the change, microseconds
 */
void fake_list_deregister(fake_list_t *list, const char *id, medlar_time_t now,
			  medlar_time_t due)
{
	change(list, find_or_add(list, id), NULL, now, due);
}

/**
 * fake_list_write() - write the entries of a service as JSON
 * @list: list
 * @name: service
 * @now: current time, microseconds
 * @out: receives an array
 */
void fake_list_write(fake_list_t *list, const char *name, medlar_time_t now,
		     medlar_buf_t *out)
{
	size_t found = 0;
	size_t i;

	settle(list, now);
	medlar_buf_add(out, MEDLAR_STR("["));
	for (i = 0; i < list->len; i++) {
		const fake_listed_t *item = &list->items[i];

		if (!item->shown || strcmp(item->name, name) != 0)
			continue;
		if (found++)
			medlar_buf_add(out, MEDLAR_STR(","));
		medlar_buf_add(out, medlar_str_from(item->shown));
	}
	medlar_buf_add(out, MEDLAR_STR("]"));
}

/**
 * fake_list_finish() - release all entries
 * @list: list
 */
void fake_list_finish(fake_list_t *list)
{
	size_t i;

	for (i = 0; i < list->len; i++) {
		free(list->items[i].id);
		free(list->items[i].name);
		free(list->items[i].shown);
		free(list->items[i].next);
	}
	free(list->items);
	*list = (fake_list_t){ 0 };
}
