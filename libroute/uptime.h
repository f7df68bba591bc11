/**
 * DOC: since when a service that many instances call has been up
 *
 * Each instance knows in which time its own calls were answered. The service was up
 * for as long as those times of all instances leave no gap. Load pattern: some
 * instances are cut off from the store while others are not, which tells them
 * nothing of the store; or the store is away for all of them, and entries lapse that
 * could not be renewed.
 */
#ifndef LIBROUTE_UPTIME_H
#define LIBROUTE_UPTIME_H

#include "libmedlar/medlar.h"

/**
 * struct uptime - time in which a service has answered
 * @since: when it began to answer, ms; 0 if that is not known
 * @until: its last answer, ms
 */
typedef struct uptime {
	medlar_time_t since;
	medlar_time_t until;
} uptime_t;

void uptime_add(uptime_t *uptime, const uptime_t *seen);
bool uptime_is_steady(const uptime_t *uptime, medlar_time_t span,
		      medlar_time_t now);

#endif /* LIBROUTE_UPTIME_H */
