/* Properties of the pseudo-random number generator. */
#include "prop.hh"

int main()
{
	Properties props(2);

	props.check("stays_below_its_bound", [](uint64_t seed, uint64_t bound) {
		RC_PRE(bound > 0);
		medlar_rand_t rand = { seed };
		RC_ASSERT(medlar_rand_below(&rand, bound) < bound);
	});
	props.check("repeats_with_equal_seeds", [](uint64_t seed) {
		medlar_rand_t a = { seed };
		medlar_rand_t b = { seed };
		RC_ASSERT(medlar_rand_next(&a) == medlar_rand_next(&b));
	});
	return props.status();
}
