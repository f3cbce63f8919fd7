#include "hibiscuspick/settings/envelope.h"

#include <utility>

namespace hibiscuspick::settings {
namespace {

constexpr char kDeletedKey[] = "deleted";
constexpr char kWritesKey[] = "write_ids";
constexpr char kPreviousKey[] = "previous";
constexpr char kValueKey[] = "value";
constexpr char kIdKey[] = "id";
constexpr char kVersionKey[] = "version";
constexpr char kIndexVersionKey[] = "index_version";

Revision ReadVersion(const Json& entry) {
  const auto it = entry.find(kVersionKey);
  const bool valid = it != entry.end() && it->is_number_unsigned();
  return Revision(valid ? it->get<uint64_t>() : 0);
}

const Json& ListOf(const Json& stored, const char* key) {
  static const Json empty = Json::array();
  const auto it = stored.find(key);
  return it != stored.end() && it->is_array() ? *it : empty;
}

Json IndexVersionOf(const Json& value) {
  return value.is_object() ? value.value(kIndexVersionKey, Json()) : Json();
}

// The replaced value followed by the previous ones. Queries pin manifests by
// index version, so only one manifest of an index version is kept.
std::vector<PreviousValue> NextPrevious(const Envelope& current,
                                        Revision version, const Json& value) {
  auto previous = current.previous;
  if (!current.deleted) {
    previous.insert(previous.begin(), {version, current.value});
  }
  const Json index_version = IndexVersionOf(value);
  std::erase_if(previous, [&](const PreviousValue& it) {
    return IndexVersionOf(it.value) == index_version;
  });
  if (previous.size() > kKeptManifests) previous.resize(kKeptManifests);
  return previous;
}

}  // namespace

Result<Envelope> ReadEnvelope(const Json& stored) {
  if (!stored.is_object() || !stored.contains(kValueKey)) {
    return Error{Code::kInvalidValue, "$", "not a stored configuration object"};
  }
  Envelope envelope;
  const auto deleted = stored.find(kDeletedKey);
  envelope.deleted = deleted != stored.end() && *deleted == true;
  for (const auto& it : ListOf(stored, kWritesKey)) {
    if (!it.is_object()) continue;
    const Json id = it.value(kIdKey, Json());
    if (!id.is_string()) continue;
    envelope.writes.push_back({id.get<std::string>(), ReadVersion(it)});
  }
  for (const auto& it : ListOf(stored, kPreviousKey)) {
    if (!it.is_object()) continue;
    envelope.previous.push_back({ReadVersion(it), it.value(kValueKey, Json())});
  }
  if (!envelope.deleted) envelope.value = stored[kValueKey];
  return envelope;
}

Result<Envelope> ReadEnvelopeText(const std::string& text) {
  const auto parsed = ParseJson(text);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  return ReadEnvelope(ValueOf(parsed));
}

Json ToJson(const Envelope& envelope) {
  Json writes = Json::array();
  for (const auto& it : envelope.writes) {
    writes.push_back({{kIdKey, it.id}, {kVersionKey, it.version.value}});
  }
  Json stored = {{kDeletedKey, envelope.deleted},
                 {kWritesKey, std::move(writes)},
                 {kValueKey, envelope.value}};
  if (envelope.previous.empty()) return stored;
  Json previous = Json::array();
  for (const auto& it : envelope.previous) {
    previous.push_back(
        {{kVersionKey, it.version.value}, {kValueKey, it.value}});
  }
  stored[kPreviousKey] = std::move(previous);
  return stored;
}

Envelope NextEnvelope(const std::optional<Envelope>& current, Revision version,
                      Json value, const std::string& write_id,
                      bool keep_manifests) {
  Envelope next;
  if (current) {
    next.writes = current->writes;
    if (!next.writes.empty()) next.writes.back().version = version;
    if (keep_manifests) next.previous = NextPrevious(*current, version, value);
  }
  next.writes.push_back({write_id, Revision()});
  if (next.writes.size() > kKeptWriteIds) {
    next.writes.erase(next.writes.begin());
  }
  next.deleted = value.is_null();
  next.value = std::move(value);
  return next;
}

}  // namespace hibiscuspick::settings
