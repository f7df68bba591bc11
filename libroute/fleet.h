/**
 * DOC: services, their replicas, and load balancing among them
 *
 * The directory lists the replicas that exist. Requests measure how good each
 * of them is: its latency, its failures and the requests in flight there.
 */
#ifndef LIBROUTE_FLEET_H
#define LIBROUTE_FLEET_H

#include <sys/queue.h>

#include "libmedlar/medlar.h"
#include "libroute/announcements.h"
#include "libroute/availability.h"
#include "libroute/crash.h"
#include "libroute/hash_index.h"
#include "libroute/limit_use.h"
#include "libroute/pause.h"
#include "libroute/rate_limit.h"
#include "libroute/retry_budget.h"
#include "libroute/throttle.h"

/** Longest name of a service, replica or zone, in bytes without the NUL. */
#define FLEET_NAME_MAX 127

typedef struct replica replica_t;
typedef struct fleet_service fleet_service_t;

/**
 * struct replica_info - directory entry of a replica
 * @id: name of the replica, usually a new one after a restart
 * @service: service that it belongs to
 * @zone: availability zone
 * @ip: IPv4 address in network byte order
 * @port: port in host byte order
 * @started: start time in Unix ms; 0 if unknown
 * @draining: it is shutting down and takes no new requests
 * @warmup_left: remaining time that it is slow after its start, ms
 * @slots: requests that it runs concurrently
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
 * struct inflight - a request in flight at a replica
 * @link: entry in the list of the replica, in sending order
 * @replica: replica that it was sent to; NULL if not in flight
 * @sent: when it was sent, ms
 * @queue_factor: ratio of its expected latency to that at an idle replica
 */
typedef struct inflight {
	TAILQ_ENTRY(inflight) link;
	replica_t *replica;
	medlar_time_t sent;
	double queue_factor;
} inflight_t;

TAILQ_HEAD(inflight_list, inflight);

/**
 * enum inflight_end - result of a request to a replica, for load balancing
 * @INFLIGHT_OK: the replica replied with a success
 * @INFLIGHT_REFUSED: the replica did not run it
 * @INFLIGHT_FAILED: the replica replied with a failure, or the connection broke
 * @INFLIGHT_SILENT: it timed out without a reply
 * @INFLIGHT_UNREACHABLE: no connection could be made
 * @INFLIGHT_IGNORED: it ended for a reason unrelated to the replica
 */
typedef enum inflight_end {
	INFLIGHT_OK,
	INFLIGHT_REFUSED,
	INFLIGHT_FAILED,
	INFLIGHT_SILENT,
	INFLIGHT_UNREACHABLE,
	INFLIGHT_IGNORED,
} inflight_end_t;

/**
 * struct replica - a replica and its measured quality
 * @link: entry in the list of its service
 * @fleet_link: entry in the list of the fleet
 * @limited_link: entry in &struct fleet.limited, if &struct
 *	availability.limit_said_at is set
 * @service: service that it belongs to
 * @id: name of the replica
 * @hash: hash of @id and the start time
 * @position: number of replicas of the service that come before it in the order of
 *	their hashes
 * @info: directory entry; its strings are not set
 * @availability: what it has said in its replies
 * @limit_bucket: requests that this instance may send under the limit that it names
 * @limit_use: use of that limit by all instances
 * @is_local: it is in the availability zone of this instance
 * @warmup_until: end of its slow phase after the start, ms
 * @expires_at: when to remove it unless it is listed again, ms; 0 while listed
 * @removed: it is no longer in the fleet
 * @inflight: requests in flight, oldest first
 * @inflight_len: number of requests in flight
 * @latency_estimate: smoothed latency, ms
 * @estimated_at: when the estimates were last updated, ms
 * @failure_rate: smoothed share of failed requests, 0 to 1
 * @announced_delay: latency beyond the usual one that other instances measured,
 *	ms
 * @announced_at: when they did, ms; 0 if they never have
 * @announced_pause_end: end of a pause that other instances found, ms
 * @reported_at: when this instance last reported a reply of it, ms
 * @pause: periodic pauses
 * @crash: evidence that a request made it crash
 * @consecutive_failures: timeouts and failed connects since the last success
 * @avoid_until: avoided until this time if there is another replica, ms
 * @load: running and waiting requests, as it last reported
 * @load_at: when @load was reported, ms
 * @conns: open connections
 * @conns_idle: connections among @conns without a request
 * @conns_limit: connections that it accepted when it last reset a new one; 0
 *	if it never has
 * @conns_limited_at: when it did, ms
 * @refs: reference count
 * @pool: private data of the owner of the connections
 */
struct replica {
	TAILQ_ENTRY(replica) link;
	TAILQ_ENTRY(replica) fleet_link;
	TAILQ_ENTRY(replica) limited_link;
	fleet_service_t *service;
	char id[FLEET_NAME_MAX + 1];
	uint64_t hash;
	unsigned position;
	replica_info_t info;
	availability_t availability;
	rate_bucket_t limit_bucket;
	limit_use_t limit_use;
	bool is_local;
	medlar_time_t warmup_until;
	medlar_time_t expires_at;
	bool removed;
	struct inflight_list inflight;
	unsigned inflight_len;
	double latency_estimate;
	medlar_time_t estimated_at;
	double failure_rate;
	medlar_time_t announced_delay;
	medlar_time_t announced_at;
	medlar_time_t announced_pause_end;
	medlar_time_t reported_at;
	pause_t pause;
	crash_detector_t crash;
	unsigned consecutive_failures;
	medlar_time_t avoid_until;
	unsigned load;
	medlar_time_t load_at;
	unsigned conns;
	unsigned conns_idle;
	unsigned conns_limit;
	medlar_time_t conns_limited_at;
	unsigned refs;
	void *pool;
};

TAILQ_HEAD(replica_list, replica);

/**
 * struct limit_news - what a replica has said of its limit, as instances tell it
 * @replica: &struct replica.hash
 * @limit: requests a second that it takes from all instances; 0 if it names no
 *	limit any more
 * @said_at: when it said so, ms
 * @use: average use of the limit by an instance
 */
typedef struct limit_news {
	uint64_t replica;
	double limit;
	medlar_time_t said_at;
	limit_rates_t use;
} limit_news_t;

/**
 * enum limit_event - news of the limit that a replica names
 * @LIMIT_FROM_REPLY: a reply names another limit than before, or none any more
 * @LIMIT_FROM_PEER: another instance has had such a reply
 * @LIMIT_MALFORMED: a reply names a limit that is no number, and is ignored
 * @LIMIT_FORGOTTEN: nobody has heard of the limit for long
 */
typedef enum limit_event {
	LIMIT_FROM_REPLY,
	LIMIT_FROM_PEER,
	LIMIT_MALFORMED,
	LIMIT_FORGOTTEN,
} limit_event_t;

/**
 * struct fleet_service - a service and its replicas
 * @link: entry in the list of the fleet
 * @fleet: fleet that it belongs to
 * @name: name of the service
 * @replicas: replicas in the directory
 * @replicas_len: number of @replicas
 * @connections_max: connections that a replica accepts from all instances
 * @latency_estimate: smoothed latency of all replicas, ms
 * @retry_budget: budget for retries and hedges
 * @throttle: recent requests, and how many of them replicas accepted
 */
struct fleet_service {
	TAILQ_ENTRY(fleet_service) link;
	struct fleet *fleet;
	char name[FLEET_NAME_MAX + 1];
	struct replica_list replicas;
	size_t replicas_len;
	unsigned connections_max;
	double latency_estimate;
	retry_budget_t retry_budget;
	throttle_t throttle;
};

TAILQ_HEAD(service_list, fleet_service);

/**
 * struct fleet - all services and replicas known to an instance
 * @zone: availability zone of this instance
 * @services: services, in order of first use
 * @replicas: all replicas in the directory
 * @replicas_len: number of @replicas
 * @services_by_name: @services by the hash of their name
 * @replicas_by_id: @replicas by the hash of their name
 * @replicas_by_hash: @replicas by &struct replica.hash
 * @limited: replicas that name a limit, or did until recently, of which other
 *	instances are told in this order
 * @instances: number of instances that share the replicas
 * @position: number of them that come before this one in the order of their hashes
 * @moved_by_limit: requests that were sent to another replica because the limit of
 *	the best one left no room
 * @retry_limits: limits of the retry budgets
 * @pauses: period at which replicas pause
 * @on_remove: called when a replica is removed, before it may be freed
 * @data: passed to @on_remove
 * @on_report: called with a measurement that other instances should know of; may
 *	be NULL
 * @report_data: passed to @on_report
 * @availability: what replicas have said in their replies
 * @on_unavailable: called when a replica says that it wants no requests until a
 *	time in ms, %MEDLAR_TIME_NEVER if it is leaving; may be NULL
 * @unavailable_data: passed to @on_unavailable
 * @on_limit: called with news of the limit of a replica, and the limit before or 0;
 *	may be NULL
 * @limit_data: passed to @on_limit
 */
typedef struct fleet {
	char zone[FLEET_NAME_MAX + 1];
	struct service_list services;
	struct replica_list replicas;
	size_t replicas_len;
	hash_index_t services_by_name;
	hash_index_t replicas_by_id;
	hash_index_t replicas_by_hash;
	struct replica_list limited;
	unsigned instances;
	unsigned position;
	uint64_t moved_by_limit;
	retry_limits_t retry_limits;
	pause_period_t pauses;
	void (*on_remove)(replica_t *replica, void *data);
	void *data;
	void (*on_report)(const replica_t *replica, medlar_time_t delay,
			  void *data);
	void *report_data;
	availability_log_t availability;
	void (*on_unavailable)(const replica_t *replica, medlar_time_t until,
			       void *data);
	void *unavailable_data;
	void (*on_limit)(const replica_t *replica, limit_event_t event,
			 double before, void *data);
	void *limit_data;
} fleet_t;

void fleet_init(fleet_t *fleet, medlar_str_t zone, const retry_limits_t *limits,
		void (*on_remove)(replica_t *, void *), void *data);
void fleet_finish(fleet_t *fleet);
fleet_service_t *fleet_service(fleet_t *fleet, medlar_str_t name,
			       medlar_time_t now);
int fleet_update(fleet_t *fleet, const replica_info_t *info, medlar_time_t now);
replica_t *fleet_find(fleet_t *fleet, medlar_str_t id);
replica_t *fleet_find_by_hash(fleet_t *fleet, uint64_t hash);
void fleet_set_expiry(replica_t *replica, medlar_time_t until);
void fleet_remove(fleet_t *fleet, replica_t *replica);
void fleet_remove_expired(fleet_t *fleet, medlar_time_t now);
double fleet_overload_latency(const fleet_service_t *service,
			      medlar_time_t now);
bool fleet_has_usable(const fleet_service_t *service, medlar_time_t now);
replica_t *fleet_pick(fleet_t *fleet, fleet_service_t *service,
		      replica_t *const *except, size_t except_len, int priority,
		      medlar_time_t now);
unsigned fleet_conns_max(const fleet_t *fleet, const fleet_service_t *service);
unsigned fleet_local_percent(const fleet_t *fleet);
double fleet_share(const fleet_t *fleet);
void replica_ref(replica_t *replica);
void replica_unref(replica_t *replica);
replica_t *replica_find_listed(replica_t *replica);
void replica_drain(replica_t *replica);
void replica_name_limit(replica_t *replica, double limit, medlar_time_t sent_at,
			medlar_time_t now);
void replica_name_no_limit(replica_t *replica, medlar_time_t sent_at,
			   medlar_time_t now);
void replica_reject_limit(replica_t *replica);
bool replica_has_room(const replica_t *replica, int priority,
		      medlar_time_t now);
double replica_room_left(const replica_t *replica, medlar_time_t now);
bool replica_take_room(replica_t *replica, int priority, medlar_time_t now);
void replica_return_room(replica_t *replica);
medlar_time_t fleet_room_at(const fleet_service_t *service, int priority,
			    medlar_time_t now);
bool fleet_use_spare(fleet_service_t *service, double draw, medlar_time_t now);
size_t fleet_list_limits(fleet_t *fleet, limit_news_t *out, size_t max);
void fleet_accept_limit(fleet_t *fleet, const limit_news_t *news,
			medlar_time_t now);
void fleet_update_limits(fleet_t *fleet, medlar_time_t now);
void replica_announce_leaving(replica_t *replica, medlar_time_t now);
void replica_hold(replica_t *replica, medlar_time_t duration,
		  medlar_time_t now);
bool replica_is_leaving(const replica_t *replica);
bool replica_is_unavailable(const replica_t *replica, medlar_time_t now);
bool replica_takes_requests(const replica_t *replica, medlar_time_t now);
medlar_time_t fleet_available_at(const fleet_service_t *service,
				 medlar_time_t now);
void replica_limit_conns(replica_t *replica, medlar_time_t now);
void replica_report_load(replica_t *replica, unsigned load, medlar_time_t now);
bool replica_accept_announcement(replica_t *replica,
				 const announcement_t *announcement,
				 medlar_time_t now);
void inflight_begin(inflight_t *inflight, replica_t *replica,
		    medlar_time_t now);
void inflight_end(inflight_t *inflight, inflight_end_t how, medlar_time_t now);

#endif /* LIBROUTE_FLEET_H */
