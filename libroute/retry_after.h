/**
 * DOC: time after which a caller whose request was refused should return
 *
 * Load pattern: many callers are refused at once, in a burst or after a restart
 * of all instances. If all return at the same moment they are refused again, and
 * a caller may have only one more attempt. Their return is spread over the time
 * in which room is expected, and each keeps enough of its timeout for an answer.
 */
#ifndef LIBROUTE_RETRY_AFTER_H
#define LIBROUTE_RETRY_AFTER_H

#include "libmedlar/medlar.h"

/**
 * enum retry_reason - why a request was refused
 * @RETRY_NOT_RUN: no replica ran it; another instance may reach one
 * @RETRY_OVERLOADED: this instance or the replicas are overloaded
 * @RETRY_NOT_READY: this instance knows no configuration, or no current one
 */
typedef enum retry_reason {
	RETRY_NOT_RUN,
	RETRY_OVERLOADED,
	RETRY_NOT_READY,
} retry_reason_t;

medlar_time_t retry_after_wait(medlar_time_t wait, medlar_rand_t *rand);
medlar_time_t retry_after_delay(retry_reason_t reason, medlar_time_t timeout,
				medlar_rand_t *rand);

#endif /* LIBROUTE_RETRY_AFTER_H */
