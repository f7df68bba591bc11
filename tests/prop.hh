/* Runs RapidCheck properties and prints the results as TAP. */
#ifndef TESTS_PROP_HH
#define TESTS_PROP_HH

#include <cstdio>
#include <string>

#include <rapidcheck.h>

#include "libmedlar/medlar.h"

class Properties
{
      public:
	/* States how many properties follow, so that a missing one is noticed. */
	explicit Properties(int planned)
	{
		std::printf("1..%d\n", planned);
	}

	template <typename Testable>
	void check(const std::string &name, Testable &&testable)
	{
		bool passed = rc::check(name, std::forward<Testable>(testable));

		count_++;
		if (!passed)
			failed_++;
		std::printf("%s %d - %s\n", passed ? "ok" : "not ok", count_,
			    name.c_str());
		std::fflush(stdout);
	}

	int status() const
	{
		return failed_ == 0 ? 0 : 1;
	}

      private:
	int count_ = 0;
	int failed_ = 0;
};

#endif
