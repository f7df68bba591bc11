/**
 * DOC: monotonic and wall clock, in milliseconds
 */
#ifndef MEDLARD_CLOCK_H
#define MEDLARD_CLOCK_H

#include "libmedlar/medlar.h"

medlar_time_t clock_now(void);
medlar_time_t clock_wall(void);

#endif /* MEDLARD_CLOCK_H */
