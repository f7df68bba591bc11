/**
 * DOC: outcomes of attempts
 */
#ifndef LIBROUTE_OUTCOME_H
#define LIBROUTE_OUTCOME_H

#include "libroute/fleet.h"

/**
 * enum outcome - how an attempt ended
 * @OUTCOME_OK: the replica replied with a success
 * @OUTCOME_FAILED: the replica ran the request and replied with a failure
 * @OUTCOME_REFUSED: the replica states that it did not run the request
 * @OUTCOME_OTHER_REPLICA: another replica uses the address; the request was not
 *	run
 * @OUTCOME_NOT_SENT: no byte was sent
 * @OUTCOME_LOST: there is no usable reply; the request may have run
 * @OUTCOME_COUNT: number of outcomes; as a value, no outcome yet
 */
typedef enum outcome {
	OUTCOME_OK,
	OUTCOME_FAILED,
	OUTCOME_REFUSED,
	OUTCOME_OTHER_REPLICA,
	OUTCOME_NOT_SENT,
	OUTCOME_LOST,
	OUTCOME_COUNT
} outcome_t;

const char *outcome_name(outcome_t outcome);
inflight_end_t outcome_inflight_end(outcome_t outcome);

#endif /* LIBROUTE_OUTCOME_H */
