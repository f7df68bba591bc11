/**
 * DOC: which instances watch the store, and how often
 *
 * Every call to the store costs, and its rate is limited, so a few instances
 * watch it for all. The first of them follows each change at once. The others
 * get changes from it like everybody else and look less often, to notice when it
 * falls behind. Load pattern: the store stops answering hundreds of instances at
 * the same time. If all of them called it until it returns, they would keep it
 * busy and be refused; a bounded number of them tries at random instead.
 *
 * An instance that is cut off from the others, but not from the store, watches for
 * itself: nobody else can tell it of changes.
 *
 * A watch whose answer is lost looks like one without changes. Load pattern: the
 * store returns from an outage, or all connections fall silent, while every
 * instance waits for such an answer, and changes follow at once.
 */
#ifndef LIBROUTE_WATCHERS_H
#define LIBROUTE_WATCHERS_H

#include "libmedlar/medlar.h"

/** Instances that watch the store while it answers them. */
#define WATCHERS_MAX 4

/**
 * struct watch_view - what an instance knows about who watches the store
 * @fresh_before: instances with a lower name that watch the store and had an
 *	answer recently
 * @live_before: live instances with a lower name
 * @live: live instances, including this one
 * @in_contact: this instance watches the store and had an answer recently
 * @is_isolated: no other instance has been heard from lately
 */
typedef struct watch_view {
	size_t fresh_before;
	size_t live_before;
	size_t live;
	bool in_contact;
	bool is_isolated;
} watch_view_t;

/**
 * struct watch_role - what an instance does
 * @watches: it watches the store
 * @leads: it is the first of those that watch
 * @pause: time from a change to the next watch, in which changes gather, ms
 */
typedef struct watch_role {
	bool watches;
	bool leads;
	medlar_time_t pause;
} watch_role_t;

/**
 * struct watch_timing - how long a watch may take
 * @wait: time after which the store answers it even if nothing has changed, ms
 * @timeout: time after which its answer counts as lost, ms
 */
typedef struct watch_timing {
	medlar_time_t wait;
	medlar_time_t timeout;
} watch_timing_t;

watch_timing_t watchers_time_call(unsigned failures);
watch_role_t watchers_decide(const watch_view_t *view, medlar_rand_t *rand);

#endif /* LIBROUTE_WATCHERS_H */
