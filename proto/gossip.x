/*
 * Messages between routers. The calls have no reply and are sent in datagrams; a
 * gossip_message may be followed by a gossip_watchers, a gossip_live_peers, a
 * gossip_crashes, a gossip_limits, a gossip_answered and a gossip_epoch. A
 * gossip_changes, followed by a gossip_epoch, is the body of the answer to
 * GET /changes?after=REVISION&epoch=EPOCH on the same port over TCP.
 */

const GOSSIP_NAME_MAX = 127;
const GOSSIP_ADDRESS_MAX = 63;
const GOSSIP_CONVICTED_MAX = 16;
const GOSSIP_KEY_MAX = 255;
const GOSSIP_VALUE_MAX = 4194304;
const GOSSIP_ENTRIES_MAX = 100000;
const GOSSIP_OBSERVATIONS_MAX = 32;
const GOSSIP_WATCHERS_MAX = 4;
const GOSSIP_LIVE_PEERS_MAX = 12;
const GOSSIP_CRASHES_MAX = 16;
const GOSSIP_LIMITS_MAX = 16;

/*
 * Status of the sender. @answered_age: time in ms since the store has answered all its
 * watches, 0 if it does not watch or got no answer to the last one.
 */
struct gossip_message {
	string name<GOSSIP_NAME_MAX>;
	string zone<GOSSIP_NAME_MAX>;
	string callers<GOSSIP_ADDRESS_MAX>;
	string peers<GOSSIP_ADDRESS_MAX>;
	unsigned hyper start;
	unsigned int seq;
	bool ready;
	bool leaving;
	unsigned int near;
	bool watching;
	unsigned int store_age;
	unsigned int answered_age;
	unsigned hyper revision;
	unsigned hyper convicted<GOSSIP_CONVICTED_MAX>;
};

/*
 * Instance that watches the store: hash of its name, time since its last answer
 * of the store in ms, and the revision up to which its copy was complete then.
 */
struct gossip_watcher {
	unsigned hyper name_hash;
	unsigned int store_age;
	unsigned hyper revision;
};

struct gossip_watchers {
	gossip_watcher list<GOSSIP_WATCHERS_MAX>;
};

/* The time since the store has answered each instance of a gossip_watchers, in ms. */
struct gossip_answered {
	unsigned int ages<GOSSIP_WATCHERS_MAX>;
};

/*
 * Epoch of the store to which the revisions of a message belong, and a digest of the
 * entries that the sender knows newer than the store lists them; 0 if there are none.
 */
struct gossip_epoch {
	unsigned hyper epoch;
	unsigned hyper beyond_store;
};

/* Instances that the sender knows to be live, and the time since then in ms. */
struct gossip_live_peer {
	unsigned hyper name_hash;
	unsigned int age;
};

struct gossip_live_peers {
	gossip_live_peer list<GOSSIP_LIVE_PEERS_MAX>;
};

/* A replica that crashed while it ran a request, and the time since then in ms. */
struct gossip_crash {
	unsigned hyper request;
	unsigned hyper replica;
	unsigned int age;
};

struct gossip_crashes {
	gossip_crash list<GOSSIP_CRASHES_MAX>;
};

/*
 * Thousandths of requests a second that a replica takes from all instances, 0 if it
 * names no limit any more, and the time since it said so in ms. Millionths of requests
 * a second that an instance sends under its part of the limit, and those for which it
 * finds no room, as the average of all instances.
 */
struct gossip_limit {
	unsigned hyper replica;
	unsigned int limit;
	unsigned int age;
	unsigned int sent;
	unsigned int wanted;
};

struct gossip_limits {
	gossip_limit list<GOSSIP_LIMITS_MAX>;
};

/*
 * @gone: the entry was deleted. If it has a value all the same, the store lists it as it
 * was before, and the value is the last one.
 */
struct gossip_entry {
	opaque key<GOSSIP_KEY_MAX>;
	opaque value<GOSSIP_VALUE_MAX>;
	unsigned hyper revision;
	bool gone;
};

/* Entries that changed after @after; all entries if that is 0. */
struct gossip_changes {
	unsigned hyper after;
	unsigned hyper revision;
	gossip_entry entries<GOSSIP_ENTRIES_MAX>;
};

/*
 * Latency of a replica beyond the usual one, and its age. If @period is not 0, the
 * replica pauses for @delay once in that time, and a pause ended @age ago. All
 * times in ms.
 */
struct gossip_observation {
	unsigned hyper replica;
	unsigned int delay;
	unsigned int age;
	unsigned int period;
};

struct gossip_observations {
	gossip_observation list<GOSSIP_OBSERVATIONS_MAX>;
};

enum gossip_trial_kind {
	GOSSIP_TRIAL_ASK = 0,
	GOSSIP_TRIAL_GRANT = 1,
	GOSSIP_TRIAL_DENY = 2,
	GOSSIP_TRIAL_ANSWERED = 3
};

/*
 * Between an instance and the one that decides when a request that crashed replicas is
 * sent to one again. @sender: hash of the name of the sender.
 */
struct gossip_trial {
	unsigned hyper request;
	unsigned hyper sender;
	gossip_trial_kind kind;
};

program GOSSIP_PROGRAM {
	version GOSSIP_VERSION {
		void GOSSIP_TELL(gossip_message) = 1;
		void GOSSIP_REPORT(gossip_observation) = 2;
		void GOSSIP_ANNOUNCE(gossip_observations) = 3;
		void GOSSIP_TRIAL(gossip_trial) = 4;
	} = 1;
} = 0x20006d66;
