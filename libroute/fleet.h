/**
 * DOC: services, their replicas, and the choice among them
 *
 * The directory says which replicas exist. What requests saw of a replica
 * says how good it is: its latency, its failures, what is under way there.
 */
#ifndef LIBROUTE_FLEET_H
#define LIBROUTE_FLEET_H

#include <sys/queue.h>

#include "libmedlar/medlar.h"
#include "libroute/crash.h"
#include "libroute/pause.h"
#include "libroute/spend.h"

#define FLEET_NAME_MAX 127

typedef struct replica replica_t;
typedef struct fleet_service fleet_service_t;

/**
 * struct replica_info - what the directory says of a replica
 * @id: its name, new at most starts
 * @service: service it belongs to
 * @zone: its availability zone
 * @ip: IPv4 address in network order
 * @port: port in host order
 * @started: Unix ms of its start; 0 if not told
 * @draining: it leaves and takes no new requests
 * @warmup_left: how much longer it is slow after its start, ms
 * @slots: requests it runs at a time
 */
typedef struct replica_info {
	medlar_str_t id;
	medlar_str_t service;
	medlar_str_t zone;
	uint32_t ip;
	uint16_t port;
	int64_t started;
	bool draining;
	medlar_time_t warmup_left;
	unsigned slots;
} replica_info_t;

/**
 * struct flight - a request that a replica has not yet answered
 * @link: in the list of the replica, in order of sending
 * @replica: where it was sent; NULL when not under way
 * @sent: when, ms
 */
typedef struct flight {
	TAILQ_ENTRY(flight) link;
	replica_t *replica;
	medlar_time_t sent;
} flight_t;

TAILQ_HEAD(flight_list, flight);

/**
 * enum flight_end - how a request to a replica ended
 * @FLIGHT_OK: it was answered well
 * @FLIGHT_REFUSED: the replica did not run it
 * @FLIGHT_FAILED: the replica answered with a failure, or broke off
 * @FLIGHT_SILENT: given up without an answer
 * @FLIGHT_UNREACHABLE: no connection could be made
 * @FLIGHT_FORGOTTEN: ended for a reason that tells nothing of the replica
 */
typedef enum flight_end {
	FLIGHT_OK,
	FLIGHT_REFUSED,
	FLIGHT_FAILED,
	FLIGHT_SILENT,
	FLIGHT_UNREACHABLE,
	FLIGHT_FORGOTTEN,
} flight_end_t;

/**
 * struct replica - a replica and what was seen of it
 * @link: in the list of its service
 * @by_id: in the list of all
 * @service: service it belongs to
 * @id: its name
 * @hash: of @id and @started
 * @info: other particulars; its strings are not set
 * @near: in the availability zone of this instance
 * @warm_until: slow until then
 * @lapsed_until: taken out of the directory; removed then unless it is back
 * @removed: not in the directory any more
 * @flights: requests under way, oldest first
 * @flights_len: how many
 * @estimate: smoothed latency, ms
 * @estimated: when it was last brought up to date
 * @failures: smoothed share of failed requests, 0 to 1
 * @pause: when it stops for a moment
 * @crash: signs that a request made it crash
 * @strikes: failures in a row that suggest it is down
 * @avoid_until: not used before, unless there is no other
 * @load: running and waiting requests, as it last reported
 * @load_at: when
 * @conns: open connections, of which @conns_idle carry no request
 * @refs: holders outside the fleet
 * @pool: of the owner of connections
 */
struct replica {
	TAILQ_ENTRY(replica) link;
	TAILQ_ENTRY(replica) by_id;
	fleet_service_t *service;
	char id[FLEET_NAME_MAX + 1];
	uint64_t hash;
	replica_info_t info;
	bool near;
	medlar_time_t warm_until;
	medlar_time_t lapsed_until;
	bool removed;
	struct flight_list flights;
	unsigned flights_len;
	double estimate;
	medlar_time_t estimated;
	double failures;
	pause_t pause;
	crash_t crash;
	unsigned strikes;
	medlar_time_t avoid_until;
	unsigned load;
	medlar_time_t load_at;
	unsigned conns;
	unsigned conns_idle;
	unsigned refs;
	void *pool;
};

TAILQ_HEAD(replica_list, replica);

/**
 * struct fleet_service - a service
 * @link: in the fleet
 * @name: its name
 * @replicas: in the directory
 * @replicas_len: how many
 * @connections_max: connections a replica accepts of all callers
 * @estimate: smoothed latency of all replicas, ms
 * @spend: extra sends
 * @pauses: of the fleet
 */
struct fleet_service {
	TAILQ_ENTRY(fleet_service) link;
	char name[FLEET_NAME_MAX + 1];
	struct replica_list replicas;
	size_t replicas_len;
	unsigned connections_max;
	double estimate;
	spend_t spend;
	pause_period_t *pauses;
};

TAILQ_HEAD(service_list, fleet_service);

/**
 * struct fleet - all services and replicas that an instance knows
 * @zone: availability zone of this instance
 * @services: by order of appearance
 * @replicas: all in the directory
 * @replicas_len: how many
 * @instances: instances that share the replicas
 * @spend_limits: budget of extra sends
 * @pauses: period at which replicas pause
 * @on_remove: told before a replica is freed or when it leaves
 * @data: passed to @on_remove
 */
typedef struct fleet {
	char zone[FLEET_NAME_MAX + 1];
	struct service_list services;
	struct replica_list replicas;
	size_t replicas_len;
	unsigned instances;
	spend_limits_t spend_limits;
	pause_period_t pauses;
	void (*on_remove)(replica_t *replica, void *data);
	void *data;
} fleet_t;

void fleet_init(fleet_t *fleet, medlar_str_t zone,
		const spend_limits_t *spend_limits,
		void (*on_remove)(replica_t *, void *), void *data);
void fleet_finish(fleet_t *fleet);
fleet_service_t *fleet_service(fleet_t *fleet, medlar_str_t name,
			       medlar_time_t now);
int fleet_update(fleet_t *fleet, const replica_info_t *info, medlar_time_t now);
replica_t *fleet_find(fleet_t *fleet, medlar_str_t id);
void fleet_lapse(replica_t *replica, medlar_time_t until);
void fleet_remove(fleet_t *fleet, replica_t *replica);
void fleet_sweep(fleet_t *fleet, medlar_time_t now);
double fleet_expected(const fleet_service_t *service, medlar_time_t now);
replica_t *fleet_pick(fleet_t *fleet, fleet_service_t *service,
		      replica_t *const *except, size_t except_len,
		      medlar_time_t now);
unsigned fleet_conns_max(const fleet_t *fleet, const fleet_service_t *service);
unsigned fleet_near(const fleet_t *fleet);
double fleet_share(const fleet_t *fleet);
void replica_hold(replica_t *replica);
void replica_release(replica_t *replica);
void replica_drain(replica_t *replica);
void replica_report_load(replica_t *replica, unsigned load, medlar_time_t now);
void flight_begin(flight_t *flight, replica_t *replica, medlar_time_t now);
void flight_end(flight_t *flight, flight_end_t how, medlar_time_t now);

#endif /* LIBROUTE_FLEET_H */
