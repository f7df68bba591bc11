/**
 * DOC: state and calls of fake-platform
 */
#ifndef FAKES_COMMON_PLATFORM_H
#define FAKES_COMMON_PLATFORM_H

#include "common_knobs.h"
#include "common_kv.h"
#include "common_list.h"

/* A second in the time unit of the stand-ins, microseconds. */
#define FAKE_SECOND (1000 * FAKE_MILLISECOND)

/**
 * struct fake_platform_knobs - simulated faults and limits of the platform
 * @down: 0 in normal operation; 1: reset every call; 2: leave every call
 *        unanswered
 * @slow_ms: delay of each call, milliseconds
 * @lose: share of writes that take effect, but whose reply is lost; 0 to 1
 * @hang: 0: a lost reply resets the connection; 1: it leaves the call
 *	unanswered
 * @lag_ms: time until a change of the instance list is visible, milliseconds
 * @limit: calls allowed a second, beyond which 429 is answered; 0 for no limit
 * @write_limit: writes allowed a second, likewise; they count as calls too
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

/**
 * struct fake_platform_stats - counters of /stats
 * @calls: calls received while the platform is up
 * @reads: calls that change nothing
 * @writes: calls that change something
 * @watches: reads that waited for a change
 * @conflicts: writes of keys whose conditions did not hold
 * @rate_limited: calls refused because of a limit
 * @replies_lost: writes whose reply was lost on purpose
 * @calls_per_second_peak: most calls received in one second
 * @writes_per_second_peak: most writes received in one second
 */
typedef struct fake_platform_stats {
	uint64_t calls;
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t conflicts;
	uint64_t rate_limited;
	uint64_t replies_lost;
	uint64_t calls_per_second_peak;
	uint64_t writes_per_second_peak;
} fake_platform_stats_t;

typedef struct fake_platform_call fake_platform_call_t;

/**
 * struct fake_platform - the stand-in for the platform
 * @loop: event loop
 * @port: HTTP server
 * @knobs: simulated faults and limits
 * @kv: key-value table and sessions
 * @list: instance list
 * @watches: calls that wait for a change of a key
 * @stats: counters
 * @current_second: second of fake_now() that the next two members count in
 * @calls_this_second: calls received in it
 * @writes_this_second: writes received in it
 */
typedef struct fake_platform {
	fake_loop_t loop;
	fake_port_t port;
	fake_platform_knobs_t knobs;
	fake_kv_t kv;
	fake_list_t list;
	fake_platform_call_t *watches;
	fake_platform_stats_t stats;
	medlar_time_t current_second;
	uint64_t calls_this_second;
	uint64_t writes_this_second;
} fake_platform_t;

/**
 * struct fake_platform_call - a call in progress
 * @platform: platform
 * @request: HTTP request
 * @timer: end of the delay before the call is executed, or of the watch
 * @prev: previous watch
 * @next: next watch
 * @key: key or prefix that is read
 * @recurse: @key is a prefix
 * @watching: waits for a change of @key
 * @index: modification index that the caller has seen; 0 if not a watch
 */
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
void fake_platform_handle_key(fake_platform_t *platform,
			      fake_platform_call_t *call, const char *rest);
void fake_platform_create_session(fake_platform_t *platform,
				  fake_platform_call_t *call, const char *rest);
void fake_platform_renew_session(fake_platform_t *platform,
				 fake_platform_call_t *call, const char *rest);
void fake_platform_destroy_session(fake_platform_t *platform,
				   fake_platform_call_t *call,
				   const char *rest);
void fake_platform_end_watch(fake_platform_call_t *call);
void fake_platform_answer_read(fake_request_t *request,
			       const medlar_buf_t *text, unsigned status,
			       uint64_t index);
void fake_platform_answer_write(fake_platform_t *platform,
				fake_request_t *request, const char *text);

#endif
