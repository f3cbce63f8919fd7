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

// What one instance knows of one other.
struct MemberState {
  1: string instance
  2: string data_centre
  3: string inner_address
  4: i64 incarnation
  5: i64 heartbeat
  // 0 starting, 1 serving, 2 leaving, 3 gone.
  6: i32 phase
  // The configuration revision up to which it has everything.
  7: i64 config_complete_to
}

// What is known of a backend server's willingness to take work.
struct ServerNews {
  1: string server
  2: i64 incarnation
  3: bool draining
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

// Sent each second to one or two peers. The receiver sends back what is newer
// with it, and asks for what is newer here.
struct Digest {
  1: i64 config_complete_to
  2: i64 config_hash
  3: list<MemberState> members
  4: list<ServerNews> servers
  5: bool reply_wanted
}

// Exactly one field is set; a message with none that is known is passed over.
union Message {
  1: PartRequest part
  2: PartOutcomes outcomes
  3: PartCancel cancel
  4: Digest digest
  5: ConfigDelta config
}

service Inner {
  HelloReply hello(1: Hello hello)

  // Messages in order. Nothing comes back on this connection: replies are
  // messages on the connection of the other direction.
  oneway void deliver(1: list<Message> messages)
}
