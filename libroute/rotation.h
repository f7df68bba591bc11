/**
 * DOC: which instances get a message next
 *
 * A message goes to a fixed number of instances, whatever their number is, and
 * to all of them in rotation. Load pattern: one instance learns of a change, and
 * hundreds of others need it. If all of them were told and came to fetch it at
 * the same time, that instance would have to serve the whole fleet. Instead, each
 * that has fetched the change tells the next in its own rotation; the rotations
 * start at different positions, so that few are told twice.
 */
#ifndef LIBROUTE_ROTATION_H
#define LIBROUTE_ROTATION_H

#include "libmedlar/medlar.h"

/**
 * struct rotation - which instances get the next message
 * @next: position of the first of them in the list of instances, modulo its
 *	length
 * @fanout: how many they are
 */
typedef struct rotation {
	uint64_t next;
	size_t fanout;
} rotation_t;

void rotation_init(rotation_t *rotation, medlar_str_t name, size_t fanout);
bool rotation_includes(const rotation_t *rotation, size_t index, size_t len);
void rotation_advance(rotation_t *rotation);

#endif /* LIBROUTE_ROTATION_H */
