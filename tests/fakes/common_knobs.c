/**
 * DOC: named numbers that steer a stand-in
 */
#include <stdlib.h>
#include <string.h>

#include "common_knobs.h"

/**
 * fake_knob_set() - set a knob by name
 * @table: known knobs
 * @knobs: struct that holds them
 * @name: name
 * @value: decimal number; NULL or empty for 1
 *
 * Return: false if the name is unknown.
 */
bool fake_knob_set(const fake_knob_t *table, void *knobs, const char *name,
		   const char *value)
{
	for (; table->name; table++) {
		double *place = (void *)((char *)knobs + table->offset);

		if (strcmp(table->name, name) != 0)
			continue;
		*place = value && *value ? strtod(value, NULL) : 1;
		return true;
	}
	return false;
}

typedef struct arg_walk {
	const fake_knob_t *table;
	void *knobs;
	size_t set;
} arg_walk_t;

static enum MHD_Result set_arg(void *cls, enum MHD_ValueKind kind,
			       const char *name, const char *value)
{
	arg_walk_t *walk = cls;

	(void)kind;
	if (fake_knob_set(walk->table, walk->knobs, name, value))
		walk->set++;
	return MHD_YES;
}

/**
 * fake_knobs_from_args() - set the knobs that a URL names
 * @table: known knobs
 * @knobs: struct that holds them
 * @request: request; its other arguments are ignored
 *
 * Return: how many were set.
 */
size_t fake_knobs_from_args(const fake_knob_t *table, void *knobs,
			    const fake_request_t *request)
{
	arg_walk_t walk = { .table = table, .knobs = knobs };

	MHD_get_connection_values(request->mhd, MHD_GET_ARGUMENT_KIND, set_arg,
				  &walk);
	return walk.set;
}

/**
 * fake_knobs_from_text() - set knobs from the command line
 * @table: known knobs
 * @knobs: struct that holds them
 * @text: ``NAME=VALUE``, several separated by commas
 *
 * Return: %MEDLAR_OK, or %MEDLAR_ERR_FIELD if a name is unknown.
 */
int fake_knobs_from_text(const fake_knob_t *table, void *knobs,
			 const char *text)
{
	char *copy = strdup(text);
	char *rest = NULL;
	char *pair;
	int err = MEDLAR_OK;

	for (pair = strtok_r(copy, ",", &rest); pair;
	     pair = strtok_r(NULL, ",", &rest)) {
		char *value = strchr(pair, '=');

		if (value)
			*value++ = '\0';
		if (!fake_knob_set(table, knobs, pair, value))
			err = MEDLAR_ERR_FIELD;
	}
	free(copy);
	return err;
}

/**
 * fake_chance() - decide at random
 * @rand: generator
 * @share: probability of true; no number is drawn for 0
 *
 * Return: the decision.
 */
bool fake_chance(medlar_rand_t *rand, double share)
{
	return share > 0 && medlar_rand_unit(rand) < share;
}
