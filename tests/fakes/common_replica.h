/**
 * DOC: replicas of the upstream stand-in
 *
 * A replica belongs to one loop. Its members, and those of its service, may
 * be read with the lock of that loop and changed with the locks of all loops.
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
 * struct fake_replica_knobs - behaviour of a replica
 * @mean_ms: mean service time, milliseconds
 * @sigma: spread of its log-normal distribution; 0 for a constant time
 * @slow: factor on every service time
 * @tail_share: share of replies that are slower
 * @tail_factor: by how much
 * @slots: requests that run at once
 * @queue: requests that may wait for a slot; beyond it they are shed
 * @connections: connections accepted at once; 0 for no limit
 * @connect_ms: extra delay of the first request of a connection
 * @shed: share of requests shed at random
 * @drain: 1: announces that it leaves; 2: also refuses requests
 * @cold_ms: length of the slow phase after a start, milliseconds
 * @cold_factor: factor on service times at its beginning
 * @load: utilization to report; negative for the true one
 * @crossed: share of replies that carry another request's id and body
 * @late: share of replies held back after the work is done
 * @late_ms: for how long, milliseconds
 * @dead_ms: time until a crashed replica is back, milliseconds
 * @fence: refuse a second claim for a key that was executed
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
 * @executed: how many of them were run
 * @writes: writes run
 * @in_flight_max: most requests running or waiting at once
 * @running_max: most requests running at once
 * @cancelled: requests ended by a cancellation
 * @shed: requests refused for lack of room
 * @expired: requests whose deadline passed while they waited
 * @moved: requests for a range that is elsewhere
 * @wrong_version: requests for a version not served
 * @after_drain: requests received while draining
 * @after_drain_ms: age of the drain at the last of them, milliseconds
 * @deaths: crashes
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
 * struct fake_execution - a write that was run, or a crash
 * @ms: time of day, milliseconds since 1970
 * @key: idempotency key
 * @claim: claim token
 * @id: request id
 * @crash: the request killed the replica
 */
typedef struct fake_execution {
	medlar_time_t ms;
	char key[FAKE_KEY_MAX + 1];
	char claim[FAKE_ID_LEN + 1];
	char id[FAKE_ID_LEN + 1];
	bool crash;
} fake_execution_t;

/**
 * struct fake_service - shards that serve one catalogue
 * @name: name, terminated
 * @shards: number of shards
 * @replicas: replicas of each shard
 * @port: TCP port of the first replica
 * @epoch: epoch of @map
 * @map: ranges and the shards that hold them
 * @map_len: number of entries
 * @map_changed: @map is to be written to the platform
 * @crash: a request whose body contains it kills the replica; or empty
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
	char crash[MEDLAR_NAME_MAX + 1];
	uint32_t versions[MEDLAR_VERSIONS_MAX];
	fake_replica_knobs_t knobs;
} fake_service_t;

/**
 * struct fake_replica - one replica of one shard
 * @port: HTTP port
 * @service: service
 * @name: unique name
 * @zone: name of its availability zone
 * @shard: shard that it serves
 * @index: number of the replica in its shard
 * @incarnation: start time, milliseconds since 1970
 * @started: start time, microseconds of fake_now()
 * @drained: when the drain began likewise; 0 while live
 * @listed: its entry in the instance list is up to date
 * @versions: index versions served; unused entries are 0
 * @knobs: behaviour
 * @stats: counters
 * @calls: requests in progress
 * @waiting: first of those that wait for a slot
 * @waiting_end: last of them
 * @running: how many run
 * @queued: how many wait
 * @life: fires when the replica dies, and when it is back
 * @dead: it is down
 * @log: writes and crashes
 * @log_len: how many
 * @log_cap: room in @log
 * @last: previous reply, for crossed replies
 */
struct fake_replica {
	fake_port_t port;
	fake_service_t *service;
	char name[MEDLAR_NAME_MAX + 1];
	char zone[FAKE_ZONE_MAX + 1];
	uint32_t shard;
	uint32_t index;
	medlar_time_t incarnation;
	medlar_time_t started;
	medlar_time_t drained;
	bool listed;
	uint32_t versions[MEDLAR_VERSIONS_MAX];
	fake_replica_knobs_t knobs;
	fake_replica_stats_t stats;
	fake_call_t *calls;
	fake_call_t *waiting;
	fake_call_t *waiting_end;
	unsigned running;
	unsigned queued;
	medlar_timer_t life;
	bool dead;
	fake_execution_t *log;
	size_t log_len;
	size_t log_cap;
	struct {
		char id[FAKE_ID_LEN + 1];
		medlar_range_t range;
		uint32_t version;
		medlar_buf_t body;
	} last;
};

int fake_replica_init(fake_replica_t *replica, fake_service_t *service,
		      fake_loop_t *loop, uint32_t shard, uint32_t index);
int fake_replica_start(fake_replica_t *replica);
void fake_replica_finish(fake_replica_t *replica);
void fake_replica_die(fake_replica_t *replica, double dead_ms);
void fake_replica_publish(fake_replica_t *replica, uint32_t version);
void fake_replica_retire(fake_replica_t *replica, uint32_t version);
void fake_replica_apply(fake_replica_t *replica);
void fake_replica_versions(const fake_replica_t *replica, medlar_buf_t *out);
uint32_t fake_service_owner(const fake_service_t *service, uint64_t key);
bool fake_service_holds(const fake_service_t *service, uint32_t shard,
			medlar_range_t range);

#endif
