/**
 * DOC: numeric settings of a stand-in, changed by name at run time
 */
#include <stdlib.h>
#include <string.h>

#include "common_knobs.h"

/**
 * fake_knob_set() - set a knob by name
 * @table: the knobs, ended by a NULL name
 * @knobs: struct that holds their values
 * @name: name of the knob
 * @value: decimal number; NULL or empty means 1
 *
 * Return: false if the name is unknown.
 */
bool fake_knob_set(const fake_knob_t *table, void *knobs, const char *name,
		   const char *value)
{
	for (; table->name; table++) {
		double *value_ptr = (void *)((char *)knobs + table->offset);

		if (strcmp(table->name, name) != 0)
			continue;
		*value_ptr = value && *value ? strtod(value, NULL) : 1;
		return true;
	}
	return false;
}

/* Context of set_arg(), called for each argument of a URL. */
typedef struct arg_setter {
	const fake_knob_t *table;
	void *knobs;
	size_t set;
} arg_setter_t;

static enum MHD_Result set_arg(void *cls, enum MHD_ValueKind kind,
			       const char *name, const char *value)
{
	arg_setter_t *setter = cls;

	(void)kind;
	if (fake_knob_set(setter->table, setter->knobs, name, value))
		setter->set++;
	return MHD_YES;
}

/**
 * fake_knobs_from_args() - set the knobs named in the arguments of a URL
 * @table: the knobs, ended by a NULL name
 * @knobs: struct that holds their values
 * @request: request with the URL; other arguments are ignored
 *
 * Return: number of knobs that were set.
 */
size_t fake_knobs_from_args(const fake_knob_t *table, void *knobs,
			    const fake_request_t *request)
{
	arg_setter_t setter = { .table = table, .knobs = knobs };

	MHD_get_connection_values(request->mhd, MHD_GET_ARGUMENT_KIND, set_arg,
				  &setter);
	return setter.set;
}

/**
 * fake_knobs_from_text() - set knobs from a command-line argument
 * @table: the knobs, ended by a NULL name
 * @knobs: struct that holds their values
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
 * fake_rand_chance() - draw a random boolean
 * @rand: random generator
 * @probability: probability of true, 0 to 1; no number is drawn for 0
 *
 * Return: the boolean drawn.
 */
bool fake_rand_chance(medlar_rand_t *rand, double probability)
{
	return probability > 0 && medlar_rand_unit(rand) < probability;
}
