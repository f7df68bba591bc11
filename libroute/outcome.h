/**
 * DOC: how attempts end
 */
#ifndef LIBROUTE_OUTCOME_H
#define LIBROUTE_OUTCOME_H

#include "libroute/fleet.h"

/**
 * enum outcome - how an attempt has ended
 * @OUTCOME_OK: a success of the replica asked
 * @OUTCOME_FAILED: the replica ran it and answered with a failure
 * @OUTCOME_REFUSED: the replica states that it did not run it
 * @OUTCOME_ELSEWHERE: another replica has the address; it was not run
 * @OUTCOME_NOT_SENT: no byte was sent
 * @OUTCOME_LOST: no answer that can be used; it may have run
 * @OUTCOME_COUNT: number of outcomes
 */
typedef enum outcome {
	OUTCOME_OK,
	OUTCOME_FAILED,
	OUTCOME_REFUSED,
	OUTCOME_ELSEWHERE,
	OUTCOME_NOT_SENT,
	OUTCOME_LOST,
	OUTCOME_COUNT
} outcome_t;

const char *outcome_name(outcome_t outcome);
flight_end_t outcome_flight(outcome_t outcome);

#endif /* LIBROUTE_OUTCOME_H */
