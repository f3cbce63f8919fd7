// The protocol between instances. Fields are only ever added, with new numbers
// and as optional; a change that older instances can't live with raises
// kProtocolVersion. Generated code is in gen/ (see scripts/generate).

namespace cpp hibiscuspick.inner.wire

// First call on every connection.
struct Hello {
  1: i32 protocol_version
  2: string key
  3: string instance
  4: i64 incarnation
  5: string data_centre
  // Where the caller listens itself, so that it can be answered before the
  // membership has spread.
  6: optional string inner_address
}

struct HelloReply {
  1: bool accepted
  2: i32 protocol_version
  3: string instance
  4: i64 incarnation
  // A numbered result code when not accepted.
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

// Some of a part's outcomes; each shard's comes once.
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

// What one instance knows of one other. Of two states of an instance the one
// with the higher (incarnation, refutations, phase) wins.
struct MemberState {
  1: string instance
  2: string data_centre
  3: string inner_address
  4: i64 incarnation
  // Rises each second; carried inside a data centre only, 0 elsewhere.
  5: i64 heartbeat
  // 0 starting, 1 serving, 2 leaving, 3 gone.
  6: i32 phase
  // How often this life has contradicted a report that it was gone.
  7: i32 refutations
}

// What is known of a backend server's willingness to take work. The higher
// (round, incarnation, draining) wins; a drain without incarnation is above all.
struct ServerNews {
  1: string server
  2: i64 incarnation
  3: bool draining
  // Raised by an operator's word that the server takes work again although its
  // incarnation has not risen.
  4: i64 round
}

struct ConfigObject {
  1: string name
  2: i64 version
  // JSON text as stored at the platform.
  3: string value
}

// All objects whose last change is after `after` and not after `complete_to`.
struct ConfigDelta {
  1: i64 after
  2: i64 complete_to
  3: list<ConfigObject> objects
}

// How long ago anything was heard from a data centre; ages, since clocks of two
// machines are never compared.
struct DataCentreAge {
  1: string data_centre
  2: double age_ms
}

// Hashes of what the sender knows, sent each second to a few peers. The
// receiver sends what is newer with it and, if a reply is wanted, its own
// digest of what differs.
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
  // Heartbeats of the sender's data centre: hashes of the member's name and
  // life, and the beat of each.
  8: list<i64> heartbeat_keys
  9: list<i32> heartbeats
  10: list<DataCentreAge> data_centres
  // How long ago the platform confirmed that config_complete_to is the newest,
  // to the sender or to whoever told it. Absent if nobody has.
  11: optional double config_age_ms
}

// Entries themselves: a change on its way, or the answer to a digest.
struct News {
  1: list<MemberState> members
  2: list<ServerNews> servers
  // A change: whoever hears it first passes it on. Not so for a repair.
  3: bool pass_on
}

// Exactly one field is set; a message with none that is known is passed over.
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

  // Messages in order. Nothing comes back on this connection: replies are
  // messages on the connection of the other direction.
  oneway void deliver(1: list<Message> messages)
}
