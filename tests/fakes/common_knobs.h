/**
 * DOC: numeric settings of a stand-in, changed by name at run time
 */
#ifndef FAKES_COMMON_KNOBS_H
#define FAKES_COMMON_KNOBS_H

#include "common_loop.h"

/**
 * struct fake_knob - a numeric setting
 * @name: name in URLs and options; NULL ends a table
 * @offset: offset of its double in the struct of knobs
 */
typedef struct fake_knob {
	const char *name;
	size_t offset;
} fake_knob_t;

bool fake_knob_set(const fake_knob_t *table, void *knobs, const char *name,
		   const char *value);
size_t fake_knobs_from_args(const fake_knob_t *table, void *knobs,
			    const fake_request_t *request);
int fake_knobs_from_text(const fake_knob_t *table, void *knobs,
			 const char *text);
bool fake_rand_chance(medlar_rand_t *rand, double probability);

#endif
