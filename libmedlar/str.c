/**
 * DOC: length-counted strings
 */
#include <string.h>
#include <xxhash.h>

#include "medlar.h"

/**
 * medlar_str_from() - wrap a terminated string without copying it
 * @text: terminated string; NULL gives an empty string
 *
 * Return: the string, valid as long as @text.
 */
medlar_str_t medlar_str_from(const char *text)
{
	if (!text)
		return (medlar_str_t){ "", 0 };
	return (medlar_str_t){ text, strlen(text) };
}

/**
 * medlar_str_equal() - compare two strings byte by byte
 * @a: first string
 * @b: second string
 *
 * Return: true if their bytes are equal.
 */
bool medlar_str_equal(medlar_str_t a, medlar_str_t b)
{
	if (a.len != b.len)
		return false;
	return a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0;
}

/**
 * medlar_str_hash() - 64-bit hash of a string
 * @str: string
 * @seed: seed of the hash; different seeds give independent hashes
 *
 * Return: the XXH3 hash, the same on every platform.
 */
uint64_t medlar_str_hash(medlar_str_t str, uint64_t seed)
{
	return XXH3_64bits_withSeed(str.ptr, str.len, seed);
}
