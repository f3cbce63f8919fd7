// The protocol between instances. Fields are only added, as optional fields
// with new numbers; a change that is incompatible with older instances raises
// kProtocolVersion. Generated code is in gen/ (see scripts/generate).

namespace cpp hibiscuspick.inner.wire

// The first call on every connection.
struct Hello {
  1: i32 protocol_version
  2: string key
  3: string instance
  4: i64 incarnation
  5: string data_centre
  // The caller's own listening address, so that it can be reached before
  // membership has propagated.
  6: optional string inner_address
}

struct HelloReply {
  1: bool accepted
  2: i32 protocol_version
  3: string instance
  4: i64 incarnation
  // The numbered result code if not accepted.
  5: i32 code
}

struct ShardWork {
  1: string shard
  2: string service_name
  3: list<string> servers
}

struct PartRequest {
  1: string instance
  2: i64 incarnation
  3: i64 part
  4: string customer
  5: string route
  6: i32 lane
  7: i64 version
  8: double time_left_ms
  9: i32 limit
  10: string query
  11: list<ShardWork> shards
}

struct Hit {
  1: string id
  2: double score
  3: string fields
}

struct ShardOutcome {
  1: string shard
  2: i32 code
  3: bool may_have_run
  4: i32 attempts
  5: list<Hit> hits
  6: list<i64> held
}

// Outcomes of some of a part's shards; each shard's outcome is sent once.
struct PartOutcomes {
  1: i64 incarnation
  2: i64 part
  3: list<ShardOutcome> outcomes
}

struct PartCancel {
  1: string instance
  2: i64 incarnation
  3: i64 part
}

// What one instance knows about another. Of two states of an instance the one
// with the higher (incarnation, refutations, phase) wins.
struct MemberState {
  1: string instance
  2: string data_centre
  3: string inner_address
  4: i64 incarnation
  // Incremented each second; sent only within a data centre, 0 elsewhere.
  5: i64 heartbeat
  // 0 starting, 1 serving, 2 leaving, 3 gone.
  6: i32 phase
  // How often this incarnation has refuted a report that it was gone.
  7: i32 refutations
}

// Whether a backend server is draining. The higher (round, incarnation,
// draining) wins; a drain without an incarnation takes precedence over all.
struct ServerNews {
  1: string server
  2: i64 incarnation
  3: bool draining
  // Incremented by an operator's statement that the server accepts work again
  // although its incarnation has not changed.
  4: i64 round
}

struct ConfigObject {
  1: string name
  2: i64 version
  // JSON text as stored on the platform.
  3: string value
}

// All objects whose last change is after `after` and not after `complete_to`.
struct ConfigDelta {
  1: i64 after
  2: i64 complete_to
  3: list<ConfigObject> objects
}

// Time since the last contact with a data centre. Sent as an age, since clocks
// of different machines are not comparable.
struct DataCentreAge {
  1: string data_centre
  2: double age_ms
}

// Hashes of the sender's state, sent each second to a few peers. The receiver
// answers with its newer entries and, if a reply is wanted, with its own digest
// of the differences.
struct Digest {
  1: i64 config_complete_to
  2: i64 config_hash
  3: MemberState sender
  4: bool reply_wanted
  // The highest version of any object; may be above config_complete_to.
  5: i64 config_newest
  // Empty, or one hash for each bucket of instances and of backend servers.
  6: list<i32> member_buckets
  7: list<i32> server_buckets
  // Heartbeats of the sender's data centre: hashes of each member's name and
  // incarnation, and its heartbeat.
  8: list<i64> heartbeat_keys
  9: list<i32> heartbeats
  10: list<DataCentreAge> data_centres
  // Time since the platform confirmed that config_complete_to is the newest
  // revision, to the sender or to its source. Absent if it never did.
  11: optional double config_age_ms
}

// The entries themselves: a new change, or the answer to a digest.
struct News {
  1: list<MemberState> members
  2: list<ServerNews> servers
  // For a new change: the receiver forwards it if it didn't know it. False for
  // the answer to a digest.
  3: bool pass_on
}

// Exactly one field is set; a message without a known field is ignored.
union Message {
  1: PartRequest part
  2: PartOutcomes outcomes
  3: PartCancel cancel
  4: Digest digest
  5: ConfigDelta config
  6: News news
}

service Inner {
  HelloReply hello(1: Hello hello)

  // Messages in order. Nothing is returned on this connection: replies are
  // messages on the connection in the other direction.
  oneway void deliver(1: list<Message> messages)
}
