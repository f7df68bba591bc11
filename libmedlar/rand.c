/**
 * DOC: seeded pseudo-random number generator
 *
 * SplitMix64 (Steele, Lea and Flood, 2014). Not cryptographically secure.
 */
#include "medlar.h"

/**
 * medlar_rand_next() - next 64 random bits
 * @rand: generator
 *
 * Return: a uniformly distributed 64-bit number.
 */
uint64_t medlar_rand_next(medlar_rand_t *rand)
{
	uint64_t z = rand->state += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/**
 * medlar_rand_below() - random integer below a bound
 * @rand: generator
 * @bound: one past the largest result, at least 1
 *
 * Return: an integer from 0 to @bound - 1.
 */
uint64_t medlar_rand_below(medlar_rand_t *rand, uint64_t bound)
{
	return (uint64_t)(((unsigned __int128)medlar_rand_next(rand) * bound) >>
			  64);
}

/**
 * medlar_rand_unit() - random number between 0 and 1
 * @rand: generator
 *
 * Return: a number from 0 (included) to 1 (excluded).
 */
double medlar_rand_unit(medlar_rand_t *rand)
{
	return (double)(medlar_rand_next(rand) >> 11) * 0x1.0p-53;
}
