/**
 * DOC: JSON form of the configuration
 *
 * All instances use the same configuration, which is generated from a
 * questionnaire and stored in the key-value service. A table of fields is used
 * to parse and check its JSON form.
 */
#include <json.h>
#include <stdlib.h>
#include <string.h>

#include "medlar.h"

#define SERVICES_MAX 1024
#define INSTANCES_MAX 100000
#define SHARDS_MAX 65536
#define REVISION_MAX 9007199254740992.0 /* 2^53, exact in a double */

/* A policy as parsed from JSON, in the types that document fields use. */
typedef struct policy_doc {
	char name[MEDLAR_NAME_MAX + 1];
	bool writes;
	int64_t shards;
	int priority;
	int64_t deadline;
	int64_t target;
	double target_quantile;
	double coverage_min;
	double extra_load;
	double hedge_quantile;
	int64_t slots;
	int64_t connections;
	int64_t connect_cost;
	int64_t queue_max;
	double eject_max;
	int64_t slow_start;
	int64_t idle_max;
	int64_t silence;
	int64_t window;
	int64_t partitions;
} policy_doc_t;

typedef struct config_doc {
	int64_t revision;
	int64_t instances;
	int64_t address_ttl;
	medlar_doc_array_t services;
} config_doc_t;

#define POLICY_OFFSET(member) offsetof(policy_doc_t, member)
#define INT_FIELD(name, member, min, max)                                 \
	{                                                                 \
		name, MEDLAR_DOC_INT, POLICY_OFFSET(member), 0, min, max, \
			NULL, NULL, true, NULL                            \
	}
#define REAL_FIELD(name, member, min, max)                                 \
	{                                                                  \
		name, MEDLAR_DOC_REAL, POLICY_OFFSET(member), 0, min, max, \
			NULL, NULL, true, NULL                             \
	}

static const medlar_doc_field_t policy_fields[] = {
	{ "name", MEDLAR_DOC_TEXT, POLICY_OFFSET(name), MEDLAR_NAME_MAX + 1, 1,
	  MEDLAR_NAME_MAX, NULL, NULL, true, NULL },
	{ "writes", MEDLAR_DOC_BOOL, POLICY_OFFSET(writes), 0, 0, 0, NULL, NULL,
	  true, NULL },
	INT_FIELD("shards", shards, 1, SHARDS_MAX),
	{ "priority", MEDLAR_DOC_CHOICE, POLICY_OFFSET(priority), 0, 0, 0,
	  medlar_priority_names, NULL, true, NULL },
	INT_FIELD("deadline_ms", deadline, 1, MEDLAR_HOUR),
	INT_FIELD("target_ms", target, 1, MEDLAR_HOUR),
	REAL_FIELD("target_quantile", target_quantile, 0.5, 0.99999),
	REAL_FIELD("coverage_min", coverage_min, 0, 1),
	REAL_FIELD("extra_load", extra_load, 0, 1),
	REAL_FIELD("hedge_quantile", hedge_quantile, 0.5, 1),
	INT_FIELD("slots", slots, 1, 65535),
	INT_FIELD("connections", connections, 1, 65535),
	INT_FIELD("connect_cost_ms", connect_cost, 0, MEDLAR_MINUTE),
	INT_FIELD("queue_max", queue_max, 0, 1000000),
	REAL_FIELD("eject_max", eject_max, 0, 1),
	INT_FIELD("slow_start_ms", slow_start, 0, MEDLAR_HOUR),
	INT_FIELD("idle_max_ms", idle_max, 100, MEDLAR_HOUR),
	INT_FIELD("silence_ms", silence, 1, MEDLAR_HOUR),
	INT_FIELD("window_ms", window, 1000, 366.0 * 24 * MEDLAR_HOUR),
	INT_FIELD("partitions", partitions, 1, 65536),
	{ 0 },
};

static const medlar_doc_field_t config_fields[] = {
	{ "revision", MEDLAR_DOC_INT, offsetof(config_doc_t, revision), 0, 1,
	  REVISION_MAX, NULL, NULL, true, NULL },
	{ "instances", MEDLAR_DOC_INT, offsetof(config_doc_t, instances), 0, 1,
	  INSTANCES_MAX, NULL, NULL, true, NULL },
	{ "address_ttl_ms", MEDLAR_DOC_INT, offsetof(config_doc_t, address_ttl),
	  0, 100, MEDLAR_HOUR, NULL, NULL, true, NULL },
	{ "services", MEDLAR_DOC_ARRAY, offsetof(config_doc_t, services),
	  sizeof(policy_doc_t), 0, SERVICES_MAX, NULL, policy_fields, true,
	  NULL },
	{ 0 },
};

static void policy_from_doc(medlar_policy_t *policy, const policy_doc_t *doc)
{
	*policy = (medlar_policy_t){
		.writes = doc->writes,
		.shards = (uint32_t)doc->shards,
		.priority = (medlar_priority_t)doc->priority,
		.deadline = doc->deadline,
		.target = doc->target,
		.target_quantile = doc->target_quantile,
		.coverage_min = doc->coverage_min,
		.extra_load = doc->extra_load,
		.hedge_quantile = doc->hedge_quantile,
		.slots = (uint32_t)doc->slots,
		.connections = (uint32_t)doc->connections,
		.connect_cost = doc->connect_cost,
		.queue_max = (uint32_t)doc->queue_max,
		.eject_max = doc->eject_max,
		.slow_start = doc->slow_start,
		.idle_max = doc->idle_max,
		.silence = doc->silence,
		.window = doc->window,
		.partitions = (uint32_t)doc->partitions,
	};
	memcpy(policy->name, doc->name, sizeof(policy->name));
}

static int config_from_doc(medlar_config_t *config, const config_doc_t *doc)
{
	const policy_doc_t *services = doc->services.items;
	size_t i;

	config->services = calloc(doc->services.len + 1,
				  sizeof(*config->services));
	if (!config->services)
		return MEDLAR_ERR_NOMEM;
	config->revision = (uint64_t)doc->revision;
	config->instances = (uint32_t)doc->instances;
	config->address_ttl = doc->address_ttl;
	config->len = doc->services.len;
	for (i = 0; i < config->len; i++)
		policy_from_doc(&config->services[i], &services[i]);
	return MEDLAR_OK;
}

static int check_names_unique(medlar_client_t *client,
			      const medlar_config_t *config, medlar_str_t file)
{
	medlar_error_report_t fault = {
		.error = MEDLAR_ERR_CONFLICT,
		.file = file,
		.field = MEDLAR_STR("services"),
		.advice = MEDLAR_STR("give each service a unique name"),
	};
	size_t i;

	for (i = 0; i < config->len; i++) {
		medlar_str_t name = medlar_str_from(config->services[i].name);

		if (medlar_config_find(config, name) == &config->services[i])
			continue;
		medlar_client_report(client, &fault);
		return MEDLAR_ERR_CONFLICT;
	}
	return MEDLAR_OK;
}

/**
 * medlar_config_parse() - parse and check a configuration
 * @client: its error handler receives a report for every error
 * @config: memory of the caller; to be finished if %MEDLAR_OK is returned
 * @file: name of the document for error reports
 * @json: the document
 *
 * Return: %MEDLAR_OK, or the first error found.
 */
int medlar_config_parse(medlar_client_t *client, medlar_config_t *config,
			medlar_str_t file, medlar_str_t json)
{
	config_doc_t doc = { 0 };
	int error;

	*config = (medlar_config_t){ 0 };
	error = medlar_doc_read(client, file, json, config_fields, &doc);
	if (!error)
		error = config_from_doc(config, &doc);
	if (!error)
		error = check_names_unique(client, config, file);
	if (error)
		medlar_config_finish(config);
	medlar_doc_free(config_fields, &doc);
	return error;
}

static void write_policy(const medlar_policy_t *policy, medlar_buf_t *out)
{
	medlar_buf_add(out, MEDLAR_STR("{\"name\":"));
	medlar_buf_json_string(out, medlar_str_from(policy->name));
	medlar_buf_printf(out,
			  ",\"writes\":%s,\"shards\":%u,\"priority\":\"%s\","
			  "\"deadline_ms\":%lld,\"target_ms\":%lld,",
			  policy->writes ? "true" : "false", policy->shards,
			  medlar_priority_names[policy->priority],
			  (long long)policy->deadline,
			  (long long)policy->target);
	medlar_buf_printf(out,
			  "\"target_quantile\":%.10g,\"coverage_min\":%.10g,"
			  "\"extra_load\":%.10g,\"hedge_quantile\":%.10g,",
			  policy->target_quantile, policy->coverage_min,
			  policy->extra_load, policy->hedge_quantile);
	medlar_buf_printf(out,
			  "\"slots\":%u,\"connections\":%u,"
			  "\"connect_cost_ms\":%lld,\"queue_max\":%u,"
			  "\"eject_max\":%.10g,\"slow_start_ms\":%lld,",
			  policy->slots, policy->connections,
			  (long long)policy->connect_cost, policy->queue_max,
			  policy->eject_max, (long long)policy->slow_start);
	medlar_buf_printf(out,
			  "\"idle_max_ms\":%lld,\"silence_ms\":%lld,"
			  "\"window_ms\":%lld,\"partitions\":%u}",
			  (long long)policy->idle_max,
			  (long long)policy->silence, (long long)policy->window,
			  policy->partitions);
}

/**
 * medlar_config_write() - append the JSON form of a configuration
 * @config: configuration; equal configurations give equal bytes
 * @out: buffer; its error member is set on failure
 */
void medlar_config_write(const medlar_config_t *config, medlar_buf_t *out)
{
	size_t i;

	medlar_buf_printf(out,
			  "{\"revision\":%llu,\"instances\":%u,"
			  "\"address_ttl_ms\":%lld,\"services\":[",
			  (unsigned long long)config->revision,
			  config->instances, (long long)config->address_ttl);
	for (i = 0; i < config->len; i++) {
		if (i > 0)
			medlar_buf_add(out, MEDLAR_STR(","));
		write_policy(&config->services[i], out);
	}
	medlar_buf_add(out, MEDLAR_STR("]}"));
}

/**
 * medlar_config_finish() - release a configuration
 * @config: configuration; empty afterwards
 */
void medlar_config_finish(medlar_config_t *config)
{
	free(config->services);
	*config = (medlar_config_t){ 0 };
}

/**
 * medlar_config_find() - find the policy of a service
 * @config: configuration
 * @name: name of the service
 *
 * Return: the policy, valid as long as @config, or NULL.
 */
const medlar_policy_t *medlar_config_find(const medlar_config_t *config,
					  medlar_str_t name)
{
	size_t i;

	for (i = 0; i < config->len; i++)
		if (medlar_str_equal(name,
				     medlar_str_from(config->services[i].name)))
			return &config->services[i];
	return NULL;
}
