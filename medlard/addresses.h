/**
 * DOC: the answer to callers that ask which instances to use
 */
#ifndef MEDLARD_ADDRESSES_H
#define MEDLARD_ADDRESSES_H

#include "medlard/listing.h"
#include "medlard/request.h"

#define ADDRESSES_MAX 3

/**
 * struct addresses_choice - instances for one caller
 * @items: the instances, those of the caller's zone first
 * @weights: share of the caller's requests each should get, 1 to 100
 * @len: how many
 */
typedef struct addresses_choice {
	const instance_t *items[ADDRESSES_MAX];
	unsigned weights[ADDRESSES_MAX];
	size_t len;
} addresses_choice_t;

void addresses_choose(addresses_choice_t *choice, const instance_t *instances,
		      size_t len, medlar_str_t zone, medlar_rand_t *rand);
void addresses_handle(request_t *request);

#endif /* MEDLARD_ADDRESSES_H */
