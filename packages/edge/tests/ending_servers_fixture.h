// Instances over servers that end when a marked request reaches them.
#pragma once

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "traffic_fixture.h"

namespace hibiscuspick::edge {

// Servers end at requests whose target contains this.
inline constexpr const char* kFatal = "fatal";

struct EndingServersOptions {
  size_t shards = 20;
  size_t copies = 3;
  size_t plain_servers = 12;
  size_t instances = 1;
  int attempts = 4;
  // Time that a server works on any request.
  int work_ms = 5;
  // Added for each shard before.
  int stagger_ms = 0;
  // Shards with odd indices, and instances, are in "dc-1" instead of "dc-0".
  bool two_data_centres = false;
};

// Routes /g/ (fan-out) and /p/ (one of the plain servers).
class EndingServers {
 public:
  explicit EndingServers(const EndingServersOptions& options)
      : options_(options) {
    for (size_t i = 0; i < options.instances; ++i) {
      const size_t place = options.two_data_centres ? i % 2 : 0;
      instances_.push_back(std::make_unique<TrafficFixture>(
          "dc-" + std::to_string(place), std::nullopt,
          "instance-" + std::to_string(i)));
    }
    engine::GatherRule rule;
    rule.top = 3;
    rule.min_coverage = 0.9;
    for (size_t i = 0; i < options.shards; ++i) {
      const std::string service = "shard-" + std::to_string(i);
      rule.shards.emplace_back(service);
      for (size_t k = 0; k < options.copies; ++k) AddServer(service, i);
    }
    for (size_t k = 0; k < options.plain_servers; ++k) {
      AddServer("plain", options.shards);
    }
    auto& plain = first().AddRoute("/p/");
    plain.idempotency = engine::Idempotency::kIdempotent;
    plain.attempts = options.attempts;
    plain.split = {{ServiceId("plain"), 1}};
    auto& fan_out = first().AddRoute("/g/");
    fan_out.idempotency = engine::Idempotency::kIdempotent;
    fan_out.attempts = options.attempts;
    fan_out.gather = rule;
    first().Publish();
    for (size_t i = 1; i < instances_.size(); ++i) {
      first().CopyConfigTo(instances_[i].get());
    }
  }

  TrafficFixture& first() { return *instances_[0]; }
  TrafficFixture& instance(size_t i) { return *instances_[i]; }
  std::vector<std::unique_ptr<RawServer>>& servers() {
    return first().servers();
  }

  // Makes the instances peers of each other.
  void JoinInstances(const std::vector<engine::Peer>& senders = {},
                     const std::vector<engine::Peer>& relays = {}) {
    for (auto& it : instances_) {
      std::vector<engine::Peer> others;
      for (auto& other : instances_) {
        if (other != it) others.push_back(other->peer());
      }
      it->OnLoop([&] {
        it->server().SetPeers(it->peer(), senders, relays,
                              {instances_.size(), 0});
        it->server().SetInstances(others);
      });
    }
  }

  // The servers of a shard are consecutive.
  RawServer& server(size_t shard, size_t copy) {
    return *servers()[shard * options_.copies + copy];
  }
  // Starts a server anew, with another id, in place of each that has ended.
  void RestartEnded() {
    const auto before = first().entries();
    for (size_t i = 0; i < before.size(); ++i) {
      if (!servers()[i]->has_ended()) continue;
      const size_t shard = std::min(i / options_.copies, options_.shards);
      AddServer(before[i].service.text, shard);
    }
    first().OnLoop([&] { first().server().SetServers(first().entries()); });
  }

  // Sends a request with an id of its own to an instance; returns the answer.
  std::string Send(size_t instance, const std::string& line) {
    RawClient client(instances_[instance]->port());
    client.Send(line + " HTTP/1.1\r\nHost: h\r\nQ-Id: id-" +
                std::to_string(++last_id_) +
                "\r\nQ-Deadline: 2000\r\nConnection: close\r\n\r\n");
    return client.Receive();
  }

  size_t EndedCount() {
    size_t n = 0;
    for (auto& it : servers()) n += it->has_ended() ? 1 : 0;
    return n;
  }
  // The number of attempts at servers whose target contains the text.
  size_t AttemptCount(const std::string& text) {
    size_t n = 0;
    for (auto& it : servers()) {
      for (const auto& request : it->requests()) {
        n += request.find(text) != std::string::npos ? 1 : 0;
      }
    }
    return n;
  }

 private:
  void AddServer(const std::string& service, size_t shard) {
    first().AddServer(service, [this, shard](const std::string& request) {
      const auto line = request.substr(0, request.find("\r\n"));
      ScriptedReply reply;
      reply.wait_ms =
          options_.work_ms + options_.stagger_ms * static_cast<int>(shard);
      reply.ends = line.find(kFatal) != std::string::npos;
      if (reply.ends) return reply;
      const char it = static_cast<char>('a' + shard);
      reply.text = ValidReply(request, std::string("stamp-") + it,
                              std::string(engine::kRecordBytes, it));
      return reply;
    });
    const size_t place = options_.two_data_centres ? shard % 2 : 0;
    first().entries().back().data_centre =
        DataCentreId("dc-" + std::to_string(place));
  }

  const EndingServersOptions options_;
  std::atomic<int> last_id_{0};
  std::vector<std::unique_ptr<TrafficFixture>> instances_;
};

}  // namespace hibiscuspick::edge
