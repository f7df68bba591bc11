/**
 * DOC: named numbers that steer a stand-in
 */
#ifndef FAKES_COMMON_KNOBS_H
#define FAKES_COMMON_KNOBS_H

#include "common_loop.h"

/**
 * struct fake_knob - a number that can be set by its name
 * @name: name; NULL ends a table
 * @offset: where the double is in the struct of knobs
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
bool fake_chance(medlar_rand_t *rand, double share);

#endif
