#include "hibiscuspick/edge/instance_notices.h"

#include <algorithm>
#include <utility>

#include "hibiscuspick/base/json.h"

namespace hibiscuspick::edge {
namespace {

constexpr Millis kTimeout{500};
constexpr const char* kJoined = "joined";
constexpr const char* kLeft = "left";

}  // namespace

std::string EncodeNotice(const engine::InstanceNotice& notice) {
  const auto& it = notice.instance;
  return DumpJson(
      {{"kind", notice.kind == engine::NoticeKind::kJoined ? kJoined : kLeft},
       {"instance", it.id.text},
       {"process", notice.process},
       {"data_centre", it.data_centre.text},
       {"updates", ToText(it.update_address)},
       {"queries", ToText(it.query_address)},
       {"cpu_cores", it.cpu_cores}});
}

std::optional<engine::InstanceNotice> DecodeNotice(std::string_view text) {
  const auto parsed = ParseJson(text);
  if (!IsOk(parsed) || !ValueOf(parsed).is_object()) return std::nullopt;
  const Json& message = ValueOf(parsed);
  const auto text_of = [&](const char* key) {
    const auto it = message.find(key);
    return it != message.end() && it->is_string() ? it->get<std::string>()
                                                  : std::string();
  };
  const auto kind = text_of("kind");
  engine::InstanceNotice notice;
  notice.kind =
      kind == kLeft ? engine::NoticeKind::kLeft : engine::NoticeKind::kJoined;
  auto& instance = notice.instance;
  instance.id = InstanceId(text_of("instance"));
  instance.data_centre = DataCentreId(text_of("data_centre"));
  const auto updates = ParseAddress(text_of("updates"));
  const auto queries = ParseAddress(text_of("queries"));
  const auto process = message.find("process");
  const auto cores = message.find("cpu_cores");
  if ((kind != kJoined && kind != kLeft) || instance.id.empty() ||
      instance.data_centre.empty() || !IsOk(updates) || !IsOk(queries) ||
      process == message.end() || !process->is_number_unsigned() ||
      cores == message.end() || !cores->is_number()) {
    return std::nullopt;
  }
  instance.update_address = ValueOf(updates);
  instance.query_address = ValueOf(queries);
  instance.cpu_cores = cores->get<double>();
  notice.process = process->get<uint64_t>();
  return notice;
}

void InstanceNotices::Send(const std::vector<engine::Peer>& peers,
                           const engine::InstanceNotice& notice,
                           const OnEnd& on_end) {
  for (auto it : peers) {
    it.query_address = it.update_address;
    known_[it.id] = it;
  }
  std::vector<engine::Peer> all;
  for (const auto& [id, peer] : known_) all.push_back(peer);
  messages_.SetPeers(all);
  const std::string text = EncodeNotice(notice);
  for (const auto& peer : peers) {
    if (!in_flight_.insert({peer.id, notice.kind}).second) continue;
    messages_.Send(peer.id, kNoticePath, text, kTimeout,
                   [this, id = peer.id, kind = notice.kind,
                    on_end](const std::optional<std::string>& reply) {
                     in_flight_.erase({id, kind});
                     const bool refused = messages_.WasRefused(id);
                     on_end(id, reply     ? NoticeEnd::kConfirmed
                                : refused ? NoticeEnd::kNotRunning
                                          : NoticeEnd::kSilent);
                   });
  }
}

}  // namespace hibiscuspick::edge
