/**
 * DOC: questionnaire from which configurations are generated
 *
 * The table below defines each question once: the same row is used to check an
 * answer, to write a new questionnaire and to explain why the question is
 * asked.
 */
#include <string.h>

#include "medlar.h"

#define SERVICES_MAX 1024
#define SHARDS_MAX 65536
#define NO_CHOICES NULL
#define NO_FIELDS NULL

static const char *const section_names[MEDLAR_SECTION_COUNT] = {
	[MEDLAR_SECTION_PRODUCT] = "product",
	[MEDLAR_SECTION_OPERATIONS] = "operations",
};

#define FIELD(name, type, base, member, size, min, max, choices)             \
	{                                                                    \
		name, type, offsetof(base, member), size, min, max, choices, \
			NO_FIELDS, true, NULL                                \
	}
#define PRODUCT_QUESTION(name, type, member, size, min, max, choices)       \
	MEDLAR_SECTION_PRODUCT, true,                                       \
		FIELD(name, type, medlar_product_t, member, size, min, max, \
		      choices)
#define OPERATIONS_QUESTION(name, type, member, min, max)                   \
	MEDLAR_SECTION_OPERATIONS, true,                                    \
		FIELD(name, type, medlar_operations_t, member, 0, min, max, \
		      NO_CHOICES)
#define DEPLOYMENT_QUESTION(name, type, member, min, max)                      \
	MEDLAR_SECTION_OPERATIONS, false,                                      \
		FIELD(name, type, medlar_questionnaire_t, member, 0, min, max, \
		      NO_CHOICES)

static const medlar_question_t questions[] = {
	{ PRODUCT_QUESTION("name", MEDLAR_DOC_TEXT, name, MEDLAR_NAME_MAX + 1,
			   1, MEDLAR_NAME_MAX, NO_CHOICES),
	  "", "\"search\"", "callers and the instance list use this name" },
	{ PRODUCT_QUESTION("writes", MEDLAR_DOC_BOOL, writes, 0, 0, 0,
			   NO_CHOICES),
	  "", "false",
	  "keys of requests that must run at most once are claimed" },
	{ PRODUCT_QUESTION("priority", MEDLAR_DOC_CHOICE, priority, 0, 0, 0,
			   medlar_priority_names),
	  "", "\"coverage\"",
	  "whether an answer waits for late shards or omits them" },
	{ PRODUCT_QUESTION("deadline_ms", MEDLAR_DOC_INT, deadline, 0, 1,
			   MEDLAR_HOUR, NO_CHOICES),
	  "ms", "2000", "the longest time that a caller waits for an answer" },
	{ PRODUCT_QUESTION("target_ms", MEDLAR_DOC_INT, target, 0, 1,
			   MEDLAR_HOUR, NO_CHOICES),
	  "ms", "400", "the target latency of answers" },
	{ PRODUCT_QUESTION("target_percentile", MEDLAR_DOC_REAL, percentile, 0,
			   50, 99.999, NO_CHOICES),
	  "percent", "99", "the share of answers that must meet the target" },
	{ PRODUCT_QUESTION("coverage_percent", MEDLAR_DOC_REAL, coverage, 0, 0,
			   100, NO_CHOICES),
	  "percent", "100", "the least coverage of a useful answer" },
	{ PRODUCT_QUESTION("peak_rate", MEDLAR_DOC_REAL, peak_rate, 0, 0.001,
			   1e7, NO_CHOICES),
	  "requests/s", "50",
	  "the peak load for which the capacity is checked" },
	{ PRODUCT_QUESTION("write_window_hours", MEDLAR_DOC_INT, window, 0, 1,
			   8760, NO_CHOICES),
	  "hours", "24", "how long a repeated write is recognised" },
	{ OPERATIONS_QUESTION("shards", MEDLAR_DOC_INT, shards, 1, SHARDS_MAX),
	  "shards", "10", "every query waits for the slowest shard" },
	{ OPERATIONS_QUESTION("replicas", MEDLAR_DOC_INT, replicas, 1, 1000),
	  "replicas", "3", "the number of copies of each shard" },
	{ OPERATIONS_QUESTION("replicas_lost", MEDLAR_DOC_INT, replicas_lost, 0,
			      999),
	  "replicas", "1",
	  "the peak load must be served if that many are lost" },
	{ OPERATIONS_QUESTION("slots", MEDLAR_DOC_INT, slots, 1, 65535),
	  "requests", "2", "a replica queues requests beyond that number" },
	{ OPERATIONS_QUESTION("connections", MEDLAR_DOC_INT, connections, 1,
			      65535),
	  "connections", "25",
	  "the limit of a replica, shared by all entry instances" },
	{ OPERATIONS_QUESTION("connect_cost_ms", MEDLAR_DOC_INT, connect_cost,
			      0, MEDLAR_MINUTE),
	  "ms", "6", "determines how early connections are opened" },
	{ OPERATIONS_QUESTION("service_median_ms", MEDLAR_DOC_REAL,
			      service_median, 0.01, MEDLAR_MINUTE),
	  "ms", "20", "gives the latency distribution with the next answer" },
	{ OPERATIONS_QUESTION("service_p99_ms", MEDLAR_DOC_REAL, service_p99,
			      0.01, MEDLAR_MINUTE),
	  "ms", "60", "queries wait for the slow tail of the distribution" },
	{ OPERATIONS_QUESTION("extra_load_percent", MEDLAR_DOC_REAL, extra_load,
			      0, 100),
	  "percent", "5", "the load that hedges and retries may add" },
	{ DEPLOYMENT_QUESTION("instances", MEDLAR_DOC_INT, instances, 1,
			      100000),
	  "instances", "4", "the limits of upstreams are divided among them" },
	{ DEPLOYMENT_QUESTION("address_ttl_s", MEDLAR_DOC_INT, address_ttl, 1,
			      3600),
	  "s", "5", "how long callers may go on using a lost instance" },
};

#define QUESTION_COUNT (sizeof(questions) / sizeof(questions[0]))

/* Field tables of the questionnaire document, built from the questions. */
typedef struct field_tables {
	medlar_doc_field_t product[QUESTION_COUNT + 1];
	medlar_doc_field_t operations[QUESTION_COUNT + 2];
	medlar_doc_field_t product_section[2];
	medlar_doc_field_t operations_section[QUESTION_COUNT + 2];
	medlar_doc_field_t root[3];
} field_tables_t;

/**
 * medlar_questions() - table of all questions
 * @len: receives the number of questions
 *
 * Return: a static table, grouped by section.
 */
const medlar_question_t *medlar_questions(size_t *len)
{
	*len = QUESTION_COUNT;
	return questions;
}

/**
 * medlar_section_name() - field name of a section in documents
 * @section: section
 *
 * Return: a static string.
 */
const char *medlar_section_name(medlar_section_t section)
{
	return section_names[section];
}

static void collect_fields(medlar_doc_field_t *fields, medlar_section_t section,
			   bool per_service)
{
	size_t i;

	for (i = 0; i < QUESTION_COUNT; i++)
		if (questions[i].section == section &&
		    questions[i].per_service == per_service)
			*fields++ = questions[i].field;
}

static size_t count_fields(const medlar_doc_field_t *fields)
{
	size_t len = 0;

	while (fields[len].name)
		len++;
	return len;
}

static medlar_doc_field_t section_field(medlar_section_t section,
					const medlar_doc_field_t *fields)
{
	return (medlar_doc_field_t){
		.name = section_names[section],
		.type = MEDLAR_DOC_OBJECT,
		.fields = fields,
		.required = true,
	};
}

static medlar_doc_field_t services_field(const medlar_doc_field_t *fields,
					 size_t offset, size_t size)
{
	return (medlar_doc_field_t){
		.name = "services",
		.type = MEDLAR_DOC_ARRAY,
		.offset = offset,
		.size = size,
		.min = 1,
		.max = SERVICES_MAX,
		.fields = fields,
		.required = true,
	};
}

static void field_tables_init(field_tables_t *tables)
{
	*tables = (field_tables_t){ 0 };
	collect_fields(tables->product, MEDLAR_SECTION_PRODUCT, true);
	tables->operations[0] = questions[0].field;
	tables->operations[0].offset = offsetof(medlar_operations_t, name);
	collect_fields(&tables->operations[1], MEDLAR_SECTION_OPERATIONS, true);
	tables->product_section[0] = services_field(
		tables->product, offsetof(medlar_questionnaire_t, products),
		sizeof(medlar_product_t));
	collect_fields(tables->operations_section, MEDLAR_SECTION_OPERATIONS,
		       false);
	tables->operations_section[count_fields(tables->operations_section)] =
		services_field(tables->operations,
			       offsetof(medlar_questionnaire_t, operations),
			       sizeof(medlar_operations_t));
	tables->root[0] = section_field(MEDLAR_SECTION_PRODUCT,
					tables->product_section);
	tables->root[1] = section_field(MEDLAR_SECTION_OPERATIONS,
					tables->operations_section);
}

/**
 * medlar_questionnaire_parse() - parse and check a questionnaire
 * @client: its error handler receives a report for every error
 * @questionnaire: memory of the caller; to be finished if %MEDLAR_OK is
 *	returned
 * @file: name of the document for error reports
 * @json: the document, both sections in one object
 *
 * Return: %MEDLAR_OK, or the first error found.
 */
int medlar_questionnaire_parse(medlar_client_t *client,
			       medlar_questionnaire_t *questionnaire,
			       medlar_str_t file, medlar_str_t json)
{
	field_tables_t tables;
	int error;

	field_tables_init(&tables);
	*questionnaire = (medlar_questionnaire_t){ 0 };
	error = medlar_doc_read(client, file, json, tables.root, questionnaire);
	if (error)
		medlar_questionnaire_finish(questionnaire);
	return error;
}

/**
 * medlar_questionnaire_finish() - release a questionnaire
 * @questionnaire: questionnaire; empty afterwards
 */
void medlar_questionnaire_finish(medlar_questionnaire_t *questionnaire)
{
	field_tables_t tables;

	field_tables_init(&tables);
	medlar_doc_free(tables.root, questionnaire);
}

static void write_question(const medlar_question_t *question,
			   const char *indent, const char *comma,
			   medlar_buf_t *out)
{
	const medlar_doc_field_t *field = &question->field;

	medlar_buf_printf(out, "%s/* %s", indent, question->why);
	if (field->type == MEDLAR_DOC_INT || field->type == MEDLAR_DOC_REAL)
		medlar_buf_printf(out, "; %.10g to %.10g %s", field->min,
				  field->max, question->unit);
	if (field->type == MEDLAR_DOC_CHOICE)
		medlar_buf_printf(out, "; \"%s\" or \"%s\"", field->choices[0],
				  field->choices[1]);
	medlar_buf_printf(out, " */\n%s\"%s\": %s%s\n", indent, field->name,
			  question->initial_answer, comma);
}

static void write_services(medlar_section_t section, medlar_buf_t *out)
{
	const medlar_question_t *last = NULL;
	size_t i;

	medlar_buf_add(out, MEDLAR_STR("\t\t\"services\": [\n\t\t\t{\n"));
	if (section != MEDLAR_SECTION_PRODUCT)
		write_question(&questions[0], "\t\t\t\t", ",", out);
	for (i = 0; i < QUESTION_COUNT; i++)
		if (questions[i].section == section && questions[i].per_service)
			last = &questions[i];
	for (i = 0; i < QUESTION_COUNT; i++)
		if (questions[i].section == section && questions[i].per_service)
			write_question(&questions[i], "\t\t\t\t",
				       &questions[i] == last ? "" : ",", out);
	medlar_buf_add(out, MEDLAR_STR("\t\t\t}\n\t\t]\n"));
}

static void write_section(medlar_section_t section, const char *comma,
			  medlar_buf_t *out)
{
	size_t i;

	medlar_buf_printf(out, "\t\"%s\": {\n", section_names[section]);
	for (i = 0; i < QUESTION_COUNT; i++)
		if (questions[i].section == section &&
		    !questions[i].per_service)
			write_question(&questions[i], "\t\t", ",", out);
	write_services(section, out);
	medlar_buf_printf(out, "\t}%s\n", comma);
}

/**
 * medlar_questionnaire_template() - write a questionnaire of initial answers
 * @out: buffer; JSON in which a comment explains each question is appended
 */
void medlar_questionnaire_template(medlar_buf_t *out)
{
	medlar_buf_add(out, MEDLAR_STR("{\n"));
	write_section(MEDLAR_SECTION_PRODUCT, ",", out);
	write_section(MEDLAR_SECTION_OPERATIONS, "", out);
	medlar_buf_add(out, MEDLAR_STR("}\n"));
}
