/**
 * DOC: services and replicas of fake-upstream
 *
 * Each replica belongs to one event loop. Other threads may read its members,
 * and those of its service, while they hold the lock of that loop; they may
 * change them while they hold the locks of all loops.
 */
#ifndef FAKES_COMMON_REPLICA_H
#define FAKES_COMMON_REPLICA_H

#include "common_knobs.h"

#define FAKE_KEY_MAX 63
#define FAKE_ID_LEN 32
#define FAKE_ZONE_MAX 31

typedef struct fake_replica fake_replica_t;
typedef struct fake_call fake_call_t;

/**
 * struct fake_replica_knobs - simulated behaviour of a replica
 * @mean_ms: mean service time, milliseconds
 * @sigma: spread of its log-normal distribution; 0 for a constant time
 * @slow: factor on every service time
 * @tail_share: share of requests with a longer service time, 0 to 1
 * @tail_factor: factor on the service time of these
 * @slots: number of requests that run at once
 * @queue: number of requests that may wait for a slot; more are shed
 * @connections: number of connections accepted at once; 0 for no limit
 * @connect_ms: extra delay of the first request of a connection, milliseconds
 * @shed: share of requests shed at random, 0 to 1
 * @drain: 0 in normal operation; 1: announce that it leaves; 2: also refuse
 *         requests
 * @cold_ms: length of the warm-up after a start, milliseconds
 * @cold_factor: factor on service times at the start; falls to 1 linearly
 *               during the warm-up
 * @load: utilization to report; negative to report the true one
 * @crossed: share of replies that carry the id and body of another request,
 *           0 to 1
 * @late: share of replies that are delayed after the execution, 0 to 1
 * @late_ms: delay of these, milliseconds
 * @dead_ms: time until a crashed replica starts again, milliseconds
 * @fence: 1: refuse a write whose key was executed under another claim token
 */
typedef struct fake_replica_knobs {
	double mean_ms;
	double sigma;
	double slow;
	double tail_share;
	double tail_factor;
	double slots;
	double queue;
	double connections;
	double connect_ms;
	double shed;
	double drain;
	double cold_ms;
	double cold_factor;
	double load;
	double crossed;
	double late;
	double late_ms;
	double dead_ms;
	double fence;
} fake_replica_knobs_t;

extern const fake_knob_t fake_replica_knob_table[];

/**
 * struct fake_replica_stats - counters of a replica
 * @requests: queries and writes received
 * @executed: queries and writes executed
 * @writes: writes executed
 * @in_flight_max: most requests running or waiting at once
 * @running_max: most requests running at once
 * @cancelled: requests cancelled by the client
 * @shed: requests refused because the queue was full, at random or by a drain
 * @expired: requests refused because their deadline passed in the queue
 * @moved: requests refused because another shard holds the range
 * @wrong_version: requests refused because the version is not served
 * @after_drain: requests received while draining
 * @after_drain_ms: time from the start of the drain to the last of these,
 *                  milliseconds
 * @deaths: number of crashes
 */
typedef struct fake_replica_stats {
	uint64_t requests;
	uint64_t executed;
	uint64_t writes;
	uint64_t in_flight_max;
	uint64_t running_max;
	uint64_t cancelled;
	uint64_t shed;
	uint64_t expired;
	uint64_t moved;
	uint64_t wrong_version;
	uint64_t after_drain;
	uint64_t after_drain_ms;
	uint64_t deaths;
} fake_replica_stats_t;

/**
 * struct fake_execution - log entry of an executed write or a crash
 * @time_ms: time of day, milliseconds since 1970
 * @key: idempotency key
 * @claim: claim token
 * @id: request id
 * @crash: the request crashed the replica
 */
typedef struct fake_execution {
	medlar_time_t time_ms;
	char key[FAKE_KEY_MAX + 1];
	char claim[FAKE_ID_LEN + 1];
	char id[FAKE_ID_LEN + 1];
	bool crash;
} fake_execution_t;

/**
 * struct fake_service - a service and its partition map
 * @name: name, NUL-terminated
 * @shards: number of shards
 * @replicas: number of replicas of each shard
 * @port: TCP port of the first replica; the others follow
 * @epoch: epoch of @map, incremented with each change
 * @map: all ranges of keys in ascending order, with the shards that hold them
 * @map_len: number of entries of @map
 * @map_changed: @map is still to be written to the platform
 * @crash_text: a request whose body contains it crashes the replica; or empty
 * @versions: index versions at the start
 * @knobs: behaviour of all replicas at the start
 */
typedef struct fake_service {
	char name[MEDLAR_NAME_MAX + 1];
	uint32_t shards;
	uint32_t replicas;
	uint16_t port;
	uint64_t epoch;
	medlar_map_entry_t *map;
	size_t map_len;
	bool map_changed;
	char crash_text[MEDLAR_NAME_MAX + 1];
	uint32_t versions[MEDLAR_VERSIONS_MAX];
	fake_replica_knobs_t knobs;
} fake_service_t;

/**
 * struct fake_replica - one replica of one shard
 * @port: HTTP server
 * @service: service that it belongs to
 * @name: unique name
 * @zone: name of its availability zone
 * @shard: number of the shard that it serves
 * @index: number of the replica in its shard
 * @incarnation: start time, milliseconds since 1970
 * @started_at: start time, microseconds of fake_now()
 * @drain_started_at: start of the drain, likewise; 0 if not draining
 * @registered: the entry in the instance list of the platform is up to date
 * @versions: index versions served; unused entries are 0
 * @knobs: simulated behaviour
 * @stats: counters
 * @calls: requests in progress
 * @queue_head: first request that waits for a slot
 * @queue_tail: last request that waits for a slot
 * @running: number of requests that run
 * @queued: number of requests that wait for a slot
 * @crash_timer: fires when the replica crashes and when it starts again
 * @down: it has crashed and not started again
 * @executions: log of executed writes and crashes
 * @executions_len: number of entries in the log
 * @executions_cap: entries allocated for the log
 * @last_reply: previous reply, for the knob "crossed"
 */
struct fake_replica {
	fake_port_t port;
	fake_service_t *service;
	char name[MEDLAR_NAME_MAX + 1];
	char zone[FAKE_ZONE_MAX + 1];
	uint32_t shard;
	uint32_t index;
	medlar_time_t incarnation;
	medlar_time_t started_at;
	medlar_time_t drain_started_at;
	bool registered;
	uint32_t versions[MEDLAR_VERSIONS_MAX];
	fake_replica_knobs_t knobs;
	fake_replica_stats_t stats;
	fake_call_t *calls;
	fake_call_t *queue_head;
	fake_call_t *queue_tail;
	unsigned running;
	unsigned queued;
	medlar_timer_t crash_timer;
	bool down;
	fake_execution_t *executions;
	size_t executions_len;
	size_t executions_cap;
	struct {
		char id[FAKE_ID_LEN + 1];
		medlar_range_t range;
		uint32_t version;
		medlar_buf_t body;
	} last_reply;
};

int fake_replica_init(fake_replica_t *replica, fake_service_t *service,
		      fake_loop_t *loop, uint32_t shard, uint32_t index);
int fake_replica_start(fake_replica_t *replica);
void fake_replica_finish(fake_replica_t *replica);
void fake_replica_crash(fake_replica_t *replica, double dead_ms);
void fake_replica_publish(fake_replica_t *replica, uint32_t version);
void fake_replica_retire(fake_replica_t *replica, uint32_t version);
void fake_replica_apply_knobs(fake_replica_t *replica);
void fake_replica_write_versions(const fake_replica_t *replica,
				 medlar_buf_t *out);
uint32_t fake_service_find_shard(const fake_service_t *service, uint64_t key);
bool fake_service_shard_holds(const fake_service_t *service, uint32_t shard,
			      medlar_range_t range);

#endif
