/**
 * DOC: parsing of the platform's instance lists
 */
#include <json.h>
#include <stdlib.h>
#include <string.h>

#include "medlard/listing.h"
#include "medlard/wire.h"

#define PORT_MAX 65535

/**
 * zones_intern() - get the number of an availability zone, assigning a new one
 * @zones: numbers assigned so far
 * @name: name of the zone
 *
 * Return: number from 1 to %LISTING_ZONES_MAX; 0 if the name is empty or too
 * long, or if all numbers are in use.
 */
uint16_t zones_intern(zones_t *zones, medlar_str_t name)
{
	if (name.len == 0 || name.len > MEDLAR_NAME_MAX)
		return 0;
	for (size_t i = 0; i < zones->len; i++)
		if (medlar_str_equal(medlar_str_from(zones->names[i]), name))
			return (uint16_t)(i + 1);
	if (zones->len == LISTING_ZONES_MAX)
		return 0;
	memcpy(zones->names[zones->len], name.ptr, name.len);
	zones->names[zones->len][name.len] = '\0';
	return (uint16_t)++zones->len;
}

static medlar_str_t get_text(struct json_object *object, const char *name)
{
	struct json_object *value = NULL;

	if (!json_object_object_get_ex(object, name, &value) ||
	    !json_object_is_type(value, json_type_string))
		return (medlar_str_t){ 0 };
	return (medlar_str_t){ json_object_get_string(value),
			       (size_t)json_object_get_string_len(value) };
}

static uint64_t get_number(struct json_object *object, const char *name,
			   uint64_t max, uint64_t fallback)
{
	uint64_t number;

	if (!wire_parse_number(get_text(object, name), max, &number))
		return fallback;
	return number;
}

static bool copy_text(char *to, size_t size, medlar_str_t text)
{
	if (text.len == 0 || text.len >= size)
		return false;
	memcpy(to, text.ptr, text.len);
	to[text.len] = '\0';
	return true;
}

static uint16_t get_port(struct json_object *service)
{
	struct json_object *value = NULL;
	int64_t port;

	if (!json_object_object_get_ex(service, "Port", &value) ||
	    !json_object_is_type(value, json_type_int))
		return 0;
	port = json_object_get_int64(value);
	return port > 0 && port <= PORT_MAX ? (uint16_t)port : 0;
}

static bool is_leaving(struct json_object *meta)
{
	return medlar_str_equal(get_text(meta, "state"), MEDLAR_STR("leaving"));
}

static void read_versions(medlar_str_t list, uint32_t *versions)
{
	size_t len = 0;

	while (list.len > 0 && len < MEDLAR_VERSIONS_MAX) {
		const char *comma = memchr(list.ptr, ',', list.len);
		size_t item = comma ? (size_t)(comma - list.ptr) : list.len;
		uint64_t version = 0;

		if (wire_parse_number((medlar_str_t){ list.ptr, item },
				      UINT32_MAX, &version))
			versions[len++] = (uint32_t)version;
		list.ptr += item + (comma != NULL);
		list.len -= item + (comma != NULL);
	}
}

static bool read_replica(struct json_object *service, struct json_object *meta,
			 zones_t *zones, const medlar_policy_t *policy,
			 medlar_replica_info_t *out)
{
	*out = (medlar_replica_info_t){
		.port = get_port(service),
		.shard = (uint32_t)get_number(meta, "shard", UINT32_MAX - 1,
					      UINT32_MAX),
		.zone = zones_intern(zones, get_text(meta, "zone")),
		.slots = (uint16_t)get_number(meta, "slots", UINT16_MAX,
					      policy->slots),
		.connections = (uint16_t)get_number(
			meta, "connections", UINT16_MAX, policy->connections),
		.incarnation = (medlar_time_t)get_number(meta, "incarnation",
							 INT64_MAX, 0),
		.leaving = is_leaving(meta),
	};
	read_versions(get_text(meta, "versions"), out->versions);
	return out->port > 0 && out->shard != UINT32_MAX &&
	       copy_text(out->name, sizeof(out->name),
			 get_text(service, "ID")) &&
	       copy_text(out->host, sizeof(out->host),
			 get_text(service, "Address"));
}

static bool read_instance(struct json_object *service, struct json_object *meta,
			  instance_t *out)
{
	*out = (instance_t){
		.port = get_port(service),
		.peer_port = (uint16_t)get_number(meta, "peer_port", PORT_MAX,
						  0),
		.incarnation = (medlar_time_t)get_number(meta, "incarnation",
							 INT64_MAX, 0),
		.leaving = is_leaving(meta),
	};
	return out->port > 0 &&
	       copy_text(out->name, sizeof(out->name),
			 get_text(service, "ID")) &&
	       copy_text(out->host, sizeof(out->host),
			 get_text(service, "Address")) &&
	       copy_text(out->zone, sizeof(out->zone), get_text(meta, "zone"));
}

static struct json_object *parse_array(medlar_str_t json)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *list = NULL;

	if (tokener && json.len <= INT32_MAX)
		list = json_tokener_parse_ex(tokener, json.ptr, (int)json.len);
	json_tokener_free(tokener);
	if (json_object_is_type(list, json_type_array))
		return list;
	json_object_put(list);
	return NULL;
}

static bool get_service_and_meta(struct json_object *entry,
				 struct json_object **service,
				 struct json_object **meta)
{
	return json_object_is_type(entry, json_type_object) &&
	       json_object_object_get_ex(entry, "Service", service) &&
	       json_object_is_type(*service, json_type_object) &&
	       json_object_object_get_ex(*service, "Meta", meta) &&
	       json_object_is_type(*meta, json_type_object);
}

/**
 * listing_parse_replicas() - parse the instance list of a service
 * @json: reply of the platform, a JSON array
 * @zones: numbers of the zones; new zones are added
 * @policy: provides the capacity of entries that do not state one
 * @out: receives the valid entries, to be freed by the caller
 * @len: receives the number of valid entries; others are skipped
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_SYNTAX or %MEDLAR_ERR_NOMEM.
 */
int listing_parse_replicas(medlar_str_t json, zones_t *zones,
			   const medlar_policy_t *policy,
			   medlar_replica_info_t **out, size_t *len)
{
	struct json_object *list = parse_array(json);
	size_t count;

	if (!list)
		return MEDLAR_ERR_SYNTAX;
	count = json_object_array_length(list);
	*len = 0;
	*out = calloc(count + 1, sizeof(**out));
	for (size_t i = 0; *out && i < count; i++) {
		struct json_object *service = NULL;
		struct json_object *meta = NULL;

		if (get_service_and_meta(json_object_array_get_idx(list, i),
					 &service, &meta) &&
		    read_replica(service, meta, zones, policy, &(*out)[*len]))
			(*len)++;
	}
	json_object_put(list);
	return *out ? MEDLAR_OK : MEDLAR_ERR_NOMEM;
}

/**
 * listing_parse_instances() - parse the list of entry instances
 * @json: reply of the platform, a JSON array
 * @out: receives the valid entries, to be freed by the caller
 * @len: receives the number of valid entries; others are skipped
 *
 * Return: %MEDLAR_OK, %MEDLAR_ERR_SYNTAX or %MEDLAR_ERR_NOMEM.
 */
int listing_parse_instances(medlar_str_t json, instance_t **out, size_t *len)
{
	struct json_object *list = parse_array(json);
	size_t count;

	if (!list)
		return MEDLAR_ERR_SYNTAX;
	count = json_object_array_length(list);
	*len = 0;
	*out = calloc(count + 1, sizeof(**out));
	for (size_t i = 0; *out && i < count; i++) {
		struct json_object *service = NULL;
		struct json_object *meta = NULL;

		if (get_service_and_meta(json_object_array_get_idx(list, i),
					 &service, &meta) &&
		    read_instance(service, meta, &(*out)[*len]))
			(*len)++;
	}
	json_object_put(list);
	return *out ? MEDLAR_OK : MEDLAR_ERR_NOMEM;
}
