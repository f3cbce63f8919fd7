// The operators' API of instances that share one fake platform.
#pragma once

#include <algorithm>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "fake_platform.h"
#include "hibiscuspick/operators/api.h"
#include "hibiscuspick/settings/configuration.h"

namespace hibiscuspick::operators {

inline constexpr char kToken[] = "the operators' token";

// Does the work of an instance's control thread for the API, synchronously.
class Instance {
 public:
  explicit Instance(platform::FakePlatform* platform) : platform_(platform) {
    ports_.token = kToken;
    ports_.data_centre = DataCentreId("osl-1");
    ports_.calls = platform->MakeCalls();
    ports_.configuration = [this] { return configuration(); };
    ports_.on_accepted = [this](const settings::ConfigObject& object) {
      Apply({{}, {}, {object}});
    };
    ports_.announce_drain = [this](const BackendServerId& server, bool on) {
      announced.push_back((on ? "+" : "-") + server.text);
    };
    ports_.status = [] { return Json{{"members", Json::array()}}; };
    ports_.metrics = [] { return std::string("hp_up 1\n"); };
    ports_.make_write_id = [] { return MakeWriteId(); };
    ports_.sleep_between_attempts = [] {};
    SyncFromPlatform();
  }

  // Loads the platform's content, as a watch would.
  void SyncFromPlatform() {
    settings::ConfigDelta delta{{}, Revision(platform_->counter), {}};
    for (const auto& [name, it] : platform_->objects) {
      delta.objects.push_back({name, it.version, DumpJson(it.value)});
    }
    const std::lock_guard lock(mutex_);
    ApplyFromPlatform(&store_, delta, store_.complete_to);
    configuration_ = BuildConfiguration(store_, configuration_.get());
  }

  Reply Send(const std::string& method, const std::string& path,
             const Json& body = nullptr, const std::string& if_match = "",
             const std::string& write_id = "") const {
    Request request;
    request.method = method;
    const size_t mark = path.find('?');
    request.path = path.substr(0, mark);
    if (mark != std::string::npos) ParseQuery(path.substr(mark + 1), &request);
    request.authorization = std::string("Bearer ") + kToken;
    (if_match == "*" ? request.if_none_match : request.if_match) = if_match;
    request.write_id = write_id;
    if (!body.is_null()) request.body = body.dump();
    return Handle(ports_, request);
  }

  std::shared_ptr<const settings::Configuration> configuration() const {
    const std::lock_guard lock(mutex_);
    return configuration_;
  }

  const Ports& ports() const { return ports_; }

  std::vector<std::string> announced;

 private:
  void Apply(const settings::ConfigDelta& delta) {
    const std::lock_guard lock(mutex_);
    ApplyDelta(&store_, delta);
    configuration_ = BuildConfiguration(store_, configuration_.get());
  }

  static void ParseQuery(const std::string& text, Request* request) {
    size_t begin = 0;
    while (begin < text.size()) {
      const size_t end = std::min(text.find('&', begin), text.size());
      const size_t equals = text.find('=', begin);
      request->parameters[text.substr(begin, equals - begin)] =
          text.substr(equals + 1, end - equals - 1);
      begin = end + 1;
    }
  }

  platform::FakePlatform* const platform_;
  Ports ports_;
  mutable std::mutex mutex_;
  settings::ConfigStore store_;
  std::shared_ptr<const settings::Configuration> configuration_;
};

}  // namespace hibiscuspick::operators
