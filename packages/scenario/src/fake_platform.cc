#include "hibiscuspick/scenario/fake_platform.h"

#include <string>
#include <utility>
#include <variant>

namespace hibiscuspick::scenario {
namespace {

Error Unavailable() {
  return {Code::kPlatformUnavailable, "", "the platform is down"};
}

platform::StoredObject ToStored(const std::string& name,
                                const standins::Object& object) {
  return {name, Revision(object.version), Json::parse(object.value)};
}

platform::Changes ListOf(const FakePlatform& it, const std::string& kind,
                         Revision after) {
  const auto list = standins::ChangesAfter(it.store, kind, after.value);
  platform::Changes changes;
  changes.complete_to = Revision(list.complete_to);
  for (const auto& change : list.changes) {
    changes.objects.push_back(ToStored(change.name, change.object));
  }
  return changes;
}

Result<Revision> PutOn(FakePlatform* it, const std::string& kind,
                       const std::string& name, const Json& value,
                       std::optional<Revision> expected) {
  const uint64_t version = expected ? expected->value : 0;
  const auto result =
      standins::Put(it->store, kind, name, DumpJson(value), version);
  if (it->lose_replies > 0) {
    --it->lose_replies;
    return Error{Code::kPlatformReplyLost, name, "the reply was lost"};
  }
  if (const auto* given = std::get_if<uint64_t>(&result)) {
    return Revision(*given);
  }
  return Error{Code::kPlatformConflict, name, "another version is stored"};
}

}  // namespace

platform::Calls CallsOf(FakePlatform* it, std::function<bool()> reachable) {
  const auto enter = [it, reachable = std::move(reachable)] {
    if (it->down || !reachable()) return false;
    ++it->calls;
    return true;
  };
  platform::Calls calls;
  calls.get = [it, enter](const auto& kind,
                          const auto& name) -> Result<platform::StoredObject> {
    if (!enter()) return Unavailable();
    const auto object = standins::Get(it->store, kind, name);
    if (!object) return Error{Code::kNotFound, name, "not stored"};
    return ToStored(name, *object);
  };
  calls.list = [it, enter](const auto& kind,
                           Revision after) -> Result<platform::Changes> {
    if (!enter()) return Unavailable();
    return ListOf(*it, kind, after);
  };
  // Time does not pass inside a call; the world asks again instead.
  calls.watch = [list = calls.list](const auto& kind, Revision after, Millis) {
    return list(kind, after);
  };
  calls.put = [it, enter](const auto& kind, const auto& name, const auto& value,
                          auto expected) -> Result<Revision> {
    if (!enter()) return Unavailable();
    return PutOn(it, kind, name, value, expected);
  };
  calls.instances = [enter]() -> Result<std::vector<platform::ListedInstance>> {
    if (!enter()) return Unavailable();
    return std::vector<platform::ListedInstance>();
  };
  return calls;
}

}  // namespace hibiscuspick::scenario
