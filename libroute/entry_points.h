/**
 * DOC: choice of the instances that a caller is told to use
 */
#ifndef LIBROUTE_ENTRY_POINTS_H
#define LIBROUTE_ENTRY_POINTS_H

#include "libmedlar/medlar.h"

/**
 * struct entry_point - an instance that accepts callers
 * @address: host and port for callers
 * @zone: availability zone of the instance
 * @local_percent: services with a replica in that zone, in percent of all
 *	services
 */
typedef struct entry_point {
	medlar_str_t address;
	medlar_str_t zone;
	unsigned local_percent;
} entry_point_t;

size_t entry_points_choose(entry_point_t *points, size_t len,
			   medlar_str_t zone);

#endif /* LIBROUTE_ENTRY_POINTS_H */
