/**
 * DOC: instance list of fake-platform, whose changes can be shown late
 */
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "common_list.h"

/* Makes the changes visible that are due. */
static void apply_due_changes(fake_list_t *list, medlar_time_t now)
{
	size_t i;

	for (i = 0; i < list->len; i++) {
		fake_list_entry_t *item = &list->entries[i];

		if (item->visible_at > now)
			continue;
		free(item->visible_json);
		item->visible_json = item->pending_json;
		item->pending_json = NULL;
		item->visible_at = MEDLAR_TIME_NEVER;
	}
}

static fake_list_entry_t *find_or_add(fake_list_t *list, const char *id)
{
	fake_list_entry_t *item;
	size_t i;

	for (i = 0; i < list->len; i++) {
		if (!strcmp(list->entries[i].id, id))
			return &list->entries[i];
	}
	list->entries = realloc(list->entries, (list->len + 1) * sizeof(*item));
	if (!list->entries)
		abort();
	item = &list->entries[list->len++];
	*item = (fake_list_entry_t){ .id = strdup(id),
				     .name = strdup(""),
				     .visible_at = MEDLAR_TIME_NEVER };
	return item;
}

static void set_pending_json(fake_list_t *list, fake_list_entry_t *item,
			     char *next, medlar_time_t now,
			     medlar_time_t visible_at)
{
	apply_due_changes(list, now);
	free(item->pending_json);
	item->pending_json = next;
	item->visible_at = visible_at;
}

static char *make_entry_json(struct json_object *body, const char *name)
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
 * fake_list_register() - register an instance, or update its entry
 * @list: instance list
 * @body: JSON object with ``ID``, ``Name``, ``Address``, ``Port`` and ``Meta``
 * @now: current time, microseconds
 * @visible_at: time from which readers see the change, microseconds
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_MISSING without ``ID`` and ``Name``.
 */
int fake_list_register(fake_list_t *list, medlar_str_t body, medlar_time_t now,
		       medlar_time_t visible_at)
{
	struct json_object *json = json_tokener_parse(body.ptr);
	const char *id = json_object_get_string(
		json_object_object_get(json, "ID"));
	const char *name = json_object_get_string(
		json_object_object_get(json, "Name"));
	int err = id && name ? MEDLAR_OK : MEDLAR_ERR_MISSING;

	if (err == MEDLAR_OK) {
		fake_list_entry_t *item = find_or_add(list, id);

		free(item->name);
		item->name = strdup(name);
		set_pending_json(list, item, make_entry_json(json, name), now,
				 visible_at);
	}
	json_object_put(json);
	return err;
}

/**
 * fake_list_deregister() - remove the entry of an instance
 * @list: instance list
 * @id: id of the instance
 * @now: current time, microseconds
 * @visible_at: time from which readers see the change, microseconds
 */
void fake_list_deregister(fake_list_t *list, const char *id, medlar_time_t now,
			  medlar_time_t visible_at)
{
	set_pending_json(list, find_or_add(list, id), NULL, now, visible_at);
}

/**
 * fake_list_write_service() - write the entries of a service as JSON
 * @list: instance list
 * @name: name of the service
 * @now: current time, microseconds
 * @out: buffer to append a JSON array to
 */
void fake_list_write_service(fake_list_t *list, const char *name,
			     medlar_time_t now, medlar_buf_t *out)
{
	size_t found = 0;
	size_t i;

	apply_due_changes(list, now);
	medlar_buf_add(out, MEDLAR_STR("["));
	for (i = 0; i < list->len; i++) {
		const fake_list_entry_t *item = &list->entries[i];

		if (!item->visible_json || strcmp(item->name, name) != 0)
			continue;
		if (found++)
			medlar_buf_add(out, MEDLAR_STR(","));
		medlar_buf_add(out, medlar_str_from(item->visible_json));
	}
	medlar_buf_add(out, MEDLAR_STR("]"));
}

/**
 * fake_list_finish() - free all entries
 * @list: instance list
 */
void fake_list_finish(fake_list_t *list)
{
	size_t i;

	for (i = 0; i < list->len; i++) {
		free(list->entries[i].id);
		free(list->entries[i].name);
		free(list->entries[i].visible_json);
		free(list->entries[i].pending_json);
	}
	free(list->entries);
	*list = (fake_list_t){ 0 };
}
