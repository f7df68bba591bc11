/**
 * DOC: calls of the platform stand-in
 */
#ifndef FAKES_COMMON_PLATFORM_H
#define FAKES_COMMON_PLATFORM_H

#include "common_knobs.h"
#include "common_kv.h"
#include "common_list.h"

#define FAKE_SECOND (1000 * FAKE_MILLISECOND)

/**
 * struct fake_platform_knobs - faults of the platform
 * @down: 1: every call is reset; 2: every call hangs
 * @slow_ms: delay of each call, milliseconds
 * @lose: share of writes whose reply is lost after they took effect
 * @hang: a lost reply hangs instead of resetting the connection
 * @lag_ms: time until a change of the instance list is seen, milliseconds
 * @limit: calls a second, beyond which 429 is answered; 0 for no limit
 * @write_limit: likewise for writes
 */
typedef struct fake_platform_knobs {
	double down;
	double slow_ms;
	double lose;
	double hang;
	double lag_ms;
	double limit;
	double write_limit;
} fake_platform_knobs_t;

typedef struct fake_platform_stats {
	uint64_t calls;
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t conflicts;
	uint64_t limited;
	uint64_t lost;
	uint64_t peak;
	uint64_t write_peak;
} fake_platform_stats_t;

typedef struct fake_platform_call fake_platform_call_t;

typedef struct fake_platform {
	fake_loop_t loop;
	fake_port_t port;
	fake_platform_knobs_t knobs;
	fake_kv_t kv;
	fake_list_t list;
	fake_platform_call_t *watches;
	fake_platform_stats_t stats;
	medlar_time_t second;
	uint64_t in_second;
	uint64_t writes_in_second;
} fake_platform_t;

/* A call that waits, for its delay or for a change. */
struct fake_platform_call {
	fake_platform_t *platform;
	fake_request_t *request;
	medlar_timer_t timer;
	fake_platform_call_t *prev;
	fake_platform_call_t *next;
	const char *key;
	bool recurse;
	bool watching;
	uint64_t index;
};

bool fake_platform_is_write(const fake_request_t *request);
void fake_platform_key(fake_platform_t *platform, fake_platform_call_t *call,
		       const char *rest);
void fake_platform_create_session(fake_platform_t *platform,
				  fake_platform_call_t *call, const char *rest);
void fake_platform_renew_session(fake_platform_t *platform,
				 fake_platform_call_t *call, const char *rest);
void fake_platform_destroy_session(fake_platform_t *platform,
				   fake_platform_call_t *call,
				   const char *rest);
void fake_platform_watch_end(fake_platform_call_t *call);
void fake_platform_answer(fake_request_t *request, const medlar_buf_t *text,
			  unsigned status, uint64_t index);
void fake_platform_answer_write(fake_platform_t *platform,
				fake_request_t *request, const char *text);

#endif
