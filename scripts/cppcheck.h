/* The macro of a system header that cppcheck cannot do without. */
#define TAILQ_FOREACH(v, h, f) \
	for ((v) = (h)->tqh_first; (v); (v) = (v)->f.tqe_next)
