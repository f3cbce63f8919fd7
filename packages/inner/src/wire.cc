#include "hibiscuspick/inner/wire.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "hibiscuspick/base/lane.h"
#include "inner_types.h"

namespace hibiscuspick::inner {
namespace {

// Thrift has only signed integers; the bits are preserved.
int64_t Signed(uint64_t n) { return static_cast<int64_t>(n); }
uint64_t Unsigned(int64_t n) { return static_cast<uint64_t>(n); }
int32_t Signed32(uint32_t n) { return static_cast<int32_t>(n); }
uint32_t Unsigned32(int32_t n) { return static_cast<uint32_t>(n); }

wire::ShardWork Encode(const limits::ShardWork& work) {
  wire::ShardWork result;
  result.shard = work.shard.text;
  result.service_name = work.service.text;
  for (const auto& it : work.servers) result.servers.push_back(it.text);
  return result;
}

limits::ShardWork Decode(const wire::ShardWork& work) {
  limits::ShardWork result;
  result.shard = ShardId(work.shard);
  result.service = ServiceId(work.service_name);
  for (const auto& it : work.servers) result.servers.emplace_back(it);
  return result;
}

wire::ShardOutcome Encode(const limits::ShardOutcome& outcome) {
  wire::ShardOutcome result;
  result.shard = outcome.shard.text;
  result.code = static_cast<int32_t>(outcome.code);
  result.may_have_run = outcome.ran == Ran::kMaybe;
  result.__isset.may_have_run = true;
  result.attempts = Signed32(outcome.attempts);
  result.hits.reserve(outcome.hits.size());
  for (const auto& it : outcome.hits) {
    wire::Hit hit;
    hit.id = it.id;
    hit.score = it.score;
    hit.fields = it.fields;
    result.hits.push_back(std::move(hit));
  }
  for (const auto& it : outcome.held) {
    result.held.push_back(Signed(it.value));
  }
  return result;
}

limits::ShardOutcome Decode(const wire::ShardOutcome& outcome) {
  limits::ShardOutcome result;
  result.shard = ShardId(outcome.shard);
  result.code = static_cast<Code>(outcome.code);
  // Anything but an explicit "no" means "maybe", since "no" is a guarantee.
  const bool said_no = outcome.__isset.may_have_run && !outcome.may_have_run;
  result.ran = said_no ? Ran::kNo : Ran::kMaybe;
  result.attempts = Unsigned32(outcome.attempts);
  result.hits.reserve(outcome.hits.size());
  for (const auto& it : outcome.hits) {
    result.hits.push_back({it.id, it.score, it.fields});
  }
  for (const auto it : outcome.held) result.held.emplace_back(Unsigned(it));
  return result;
}

wire::PartRequest Encode(const limits::PartRequest& part, Millis waited) {
  wire::PartRequest result;
  result.instance = part.origin.instance.text;
  result.incarnation = Signed(part.origin.incarnation.value);
  result.part = Signed(part.origin.part.value);
  result.customer = part.customer.text;
  result.route = part.route.text;
  result.lane = static_cast<int32_t>(part.lane);
  result.version = Signed(part.version.value);
  result.time_left_ms = Max(part.time_left - waited, Millis(0)).count;
  result.limit = Signed32(part.limit);
  result.query = part.query;
  result.shards.reserve(part.shards.size());
  for (const auto& it : part.shards) {
    result.shards.push_back(Encode(it));
  }
  return result;
}

limits::PartRequest Decode(const wire::PartRequest& part) {
  limits::PartRequest result;
  result.origin.instance = InstanceId(part.instance);
  result.origin.incarnation = Incarnation(Unsigned(part.incarnation));
  result.origin.part = PartId(Unsigned(part.part));
  result.customer = CustomerId(part.customer);
  result.route = RouteId(part.route);
  // An unknown lane of a newer version is treated as the least urgent one.
  const bool known =
      part.lane >= 0 && static_cast<size_t>(part.lane) < kLaneCount;
  result.lane = known ? static_cast<Lane>(part.lane) : Lane::kBulk;
  result.version = IndexVersion(Unsigned(part.version));
  result.time_left = Millis(part.time_left_ms);
  result.limit = Unsigned32(part.limit);
  result.query = part.query;
  result.shards.reserve(part.shards.size());
  for (const auto& it : part.shards) {
    result.shards.push_back(Decode(it));
  }
  return result;
}

wire::PartOutcomes Encode(const PartOutcomes& outcomes) {
  wire::PartOutcomes result;
  result.incarnation = Signed(outcomes.incarnation.value);
  result.part = Signed(outcomes.part.value);
  result.outcomes.reserve(outcomes.outcomes.size());
  for (const auto& it : outcomes.outcomes) {
    result.outcomes.push_back(Encode(it));
  }
  return result;
}

PartOutcomes Decode(const wire::PartOutcomes& outcomes) {
  PartOutcomes result;
  result.incarnation = Incarnation(Unsigned(outcomes.incarnation));
  result.part = PartId(Unsigned(outcomes.part));
  result.outcomes.reserve(outcomes.outcomes.size());
  for (const auto& it : outcomes.outcomes) {
    result.outcomes.push_back(Decode(it));
  }
  return result;
}

wire::PartCancel Encode(const PartCancel& cancel) {
  wire::PartCancel result;
  result.instance = cancel.origin.instance.text;
  result.incarnation = Signed(cancel.origin.incarnation.value);
  result.part = Signed(cancel.origin.part.value);
  return result;
}

PartCancel Decode(const wire::PartCancel& cancel) {
  PartCancel result;
  result.origin.instance = InstanceId(cancel.instance);
  result.origin.incarnation = Incarnation(Unsigned(cancel.incarnation));
  result.origin.part = PartId(Unsigned(cancel.part));
  return result;
}

wire::MemberState Encode(const membership::MemberState& state) {
  wire::MemberState result;
  result.instance = state.id.text;
  result.data_centre = state.data_centre.text;
  result.inner_address = ToText(state.inner);
  result.incarnation = Signed(state.incarnation.value);
  result.heartbeat = Signed(state.heartbeat);
  result.phase = static_cast<int32_t>(state.phase);
  result.refutations = Signed32(state.refutations);
  return result;
}

std::optional<membership::MemberState> Decode(const wire::MemberState& state) {
  using membership::Phase;
  const auto address = ParseAddress(state.inner_address);
  const bool known = state.phase >= static_cast<int32_t>(Phase::kStarting) &&
                     state.phase <= static_cast<int32_t>(Phase::kGone);
  if (!IsOk(address) || !known || state.instance.empty()) return std::nullopt;
  membership::MemberState result;
  result.id = InstanceId(state.instance);
  result.data_centre = DataCentreId(state.data_centre);
  result.inner = ValueOf(address);
  result.incarnation = Incarnation(Unsigned(state.incarnation));
  result.heartbeat = Unsigned(state.heartbeat);
  result.phase = static_cast<Phase>(state.phase);
  result.refutations = Unsigned32(state.refutations);
  return result;
}

wire::ServerNews Encode(const membership::DrainReport& report) {
  wire::ServerNews result;
  result.server = report.server.text;
  result.incarnation = Signed(report.incarnation.value);
  result.draining = report.draining;
  result.round = Signed(report.round);
  return result;
}

membership::DrainReport Decode(const wire::ServerNews& report) {
  membership::DrainReport result;
  result.server = BackendServerId(report.server);
  result.incarnation = Incarnation(Unsigned(report.incarnation));
  result.draining = report.draining;
  result.round = Unsigned(report.round);
  return result;
}

wire::Digest Encode(const membership::Digest& digest) {
  wire::Digest result;
  result.sender = Encode(digest.sender);
  result.reply_wanted = digest.reply_wanted;
  result.config_complete_to = Signed(digest.config_complete_to.value);
  result.config_newest = Signed(digest.config_newest.value);
  result.config_hash = Signed(digest.config_hash);
  for (const auto it : digest.member_buckets) {
    result.member_buckets.push_back(Signed32(it));
  }
  for (const auto it : digest.server_buckets) {
    result.server_buckets.push_back(Signed32(it));
  }
  for (const auto it : digest.heartbeat_keys) {
    result.heartbeat_keys.push_back(Signed(it));
  }
  for (const auto it : digest.heartbeats) {
    result.heartbeats.push_back(Signed32(it));
  }
  for (const auto& it : digest.data_centres) {
    wire::DataCentreAge age;
    age.data_centre = it.id.text;
    age.age_ms = it.age.count;
    result.data_centres.push_back(std::move(age));
  }
  if (digest.config_age) result.__set_config_age_ms(digest.config_age->count);
  return result;
}

std::optional<Message> Decode(const wire::Digest& digest) {
  auto sender = Decode(digest.sender);
  if (!sender) return std::nullopt;
  membership::Digest result;
  result.sender = std::move(*sender);
  result.reply_wanted = digest.reply_wanted;
  result.config_complete_to = Revision(Unsigned(digest.config_complete_to));
  result.config_newest = Revision(Unsigned(digest.config_newest));
  result.config_hash = Unsigned(digest.config_hash);
  for (const auto it : digest.member_buckets) {
    result.member_buckets.push_back(Unsigned32(it));
  }
  for (const auto it : digest.server_buckets) {
    result.server_buckets.push_back(Unsigned32(it));
  }
  for (const auto it : digest.heartbeat_keys) {
    result.heartbeat_keys.push_back(Unsigned(it));
  }
  for (const auto it : digest.heartbeats) {
    result.heartbeats.push_back(Unsigned32(it));
  }
  for (const auto& it : digest.data_centres) {
    result.data_centres.push_back(
        {DataCentreId(it.data_centre), Millis(it.age_ms)});
  }
  if (digest.__isset.config_age_ms) {
    result.config_age = Millis(digest.config_age_ms);
  }
  return result;
}

wire::News Encode(const membership::MembershipDelta& delta) {
  wire::News result;
  for (const auto& it : delta.members) {
    result.members.push_back(Encode(it));
  }
  for (const auto& it : delta.servers) {
    result.servers.push_back(Encode(it));
  }
  result.pass_on = delta.pass_on;
  return result;
}

membership::MembershipDelta Decode(const wire::News& delta) {
  membership::MembershipDelta result;
  // An invalid entry doesn't affect the others.
  for (const auto& it : delta.members) {
    auto state = Decode(it);
    if (state) result.members.push_back(std::move(*state));
  }
  for (const auto& it : delta.servers) {
    result.servers.push_back(Decode(it));
  }
  result.pass_on = delta.pass_on;
  return result;
}

wire::ConfigDelta Encode(const settings::ConfigDelta& delta) {
  wire::ConfigDelta result;
  result.after = Signed(delta.after.value);
  result.complete_to = Signed(delta.complete_to.value);
  result.objects.reserve(delta.objects.size());
  for (const auto& it : delta.objects) {
    wire::ConfigObject object;
    object.name = it.name;
    object.version = Signed(it.version.value);
    object.value = it.text;
    result.objects.push_back(std::move(object));
  }
  return result;
}

settings::ConfigDelta Decode(const wire::ConfigDelta& delta) {
  settings::ConfigDelta result;
  result.after = Revision(Unsigned(delta.after));
  result.complete_to = Revision(Unsigned(delta.complete_to));
  result.objects.reserve(delta.objects.size());
  for (const auto& it : delta.objects) {
    result.objects.push_back(
        {it.name, Revision(Unsigned(it.version)), it.value});
  }
  return result;
}

// Sets the union field for the kind of the message.
struct Setter {
  wire::Message* message;
  Millis waited;

  void operator()(const limits::PartRequest& it) const {
    message->__set_part(Encode(it, waited));
  }
  void operator()(const PartOutcomes& it) const {
    message->__set_outcomes(Encode(it));
  }
  void operator()(const PartCancel& it) const {
    message->__set_cancel(Encode(it));
  }
  void operator()(const membership::Digest& it) const {
    message->__set_digest(Encode(it));
  }
  void operator()(const membership::MembershipDelta& it) const {
    message->__set_news(Encode(it));
  }
  void operator()(const settings::ConfigDelta& it) const {
    message->__set_config(Encode(it));
  }
};

}  // namespace

wire::Message ToWire(const Message& message, Millis waited) {
  wire::Message result;
  std::visit(Setter{&result, waited}, message);
  return result;
}

std::optional<Message> FromWire(const wire::Message& message) {
  const auto& set = message.__isset;
  if (set.part) return Decode(message.part);
  if (set.outcomes) return Decode(message.outcomes);
  if (set.cancel) return Decode(message.cancel);
  if (set.digest) return Decode(message.digest);
  if (set.news) return Decode(message.news);
  if (set.config) return Decode(message.config);
  return std::nullopt;
}

size_t WireSize(const Message& message) {
  const auto buffer =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TBinaryProtocol protocol(buffer);
  return ToWire(message).write(&protocol);
}

}  // namespace hibiscuspick::inner
