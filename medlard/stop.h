/**
 * DOC: graceful shutdown
 */
#ifndef MEDLARD_STOP_H
#define MEDLARD_STOP_H

typedef struct control control_t;

void stop_begin(control_t *control);
void stop_force(control_t *control);

#endif /* MEDLARD_STOP_H */
