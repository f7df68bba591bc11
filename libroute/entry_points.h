/**
 * DOC: which instances a caller should use
 */
#ifndef LIBROUTE_ENTRY_POINTS_H
#define LIBROUTE_ENTRY_POINTS_H

#include "libmedlar/medlar.h"

/**
 * struct entry_point - an instance that takes callers
 * @address: host and port for callers
 * @zone: its availability zone
 * @near: services of which a replica is in its zone, in percent
 */
typedef struct entry_point {
	medlar_str_t address;
	medlar_str_t zone;
	unsigned near;
} entry_point_t;

size_t entry_points_choose(entry_point_t *points, size_t len,
			   medlar_str_t zone);

#endif /* LIBROUTE_ENTRY_POINTS_H */
