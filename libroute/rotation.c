/**
 * DOC: which instances get a message next
 */
#include "libroute/rotation.h"

/**
 * rotation_init() - start at a position that differs between instances
 * @rotation: rotation to initialise
 * @name: name of this instance
 * @fanout: instances that get one message
 */
void rotation_init(rotation_t *rotation, medlar_str_t name, size_t fanout)
{
	*rotation = (rotation_t){ .next = medlar_str_hash(name, 0) >> 1,
				  .fanout = fanout };
}

/**
 * rotation_includes() - check whether an instance gets the next message
 * @rotation: rotation
 * @index: position of the instance in the list
 * @len: length of the list, above @index
 *
 * Return: whether it is among the next ones.
 */
bool rotation_includes(const rotation_t *rotation, size_t index, size_t len)
{
	size_t start = rotation->next % len;

	return (index + len - start) % len < rotation->fanout;
}

/**
 * rotation_advance() - go on to the next instances
 * @rotation: rotation
 */
void rotation_advance(rotation_t *rotation)
{
	rotation->next += rotation->fanout;
}
