/* TAILQ_FOREACH() of <sys/queue.h>; cppcheck does not read system headers. */
#define TAILQ_FOREACH(v, h, f) \
	for ((v) = (h)->tqh_first; (v); (v) = (v)->f.tqe_next)
