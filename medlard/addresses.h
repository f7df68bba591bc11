/**
 * DOC: the answer to callers that ask which instances to use
 */
#ifndef MEDLARD_ADDRESSES_H
#define MEDLARD_ADDRESSES_H

#include "medlard/request.h"

void addresses_handle(request_t *request);

#endif /* MEDLARD_ADDRESSES_H */
