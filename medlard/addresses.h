/**
 * DOC: choice of the entry instances that a caller should use
 */
#ifndef MEDLARD_ADDRESSES_H
#define MEDLARD_ADDRESSES_H

#include "medlard/listing.h"
#include "medlard/request.h"

/**
 * struct addresses_choice - entry instances for one caller
 * @items: instances, those of the caller's zone first
 * @weights: relative share of the caller's requests for each instance
 * @len: number of instances
 */
typedef struct addresses_choice {
	const instance_t *items[MEDLAR_ADDRESSES_MAX];
	unsigned weights[MEDLAR_ADDRESSES_MAX];
	size_t len;
} addresses_choice_t;

void addresses_choose(addresses_choice_t *choice, const instance_t *instances,
		      size_t len, medlar_str_t zone, medlar_client_t *client);
void addresses_handle(request_t *request);

#endif /* MEDLARD_ADDRESSES_H */
