// The calls under /control/ by which a test drives the platform stand-in.
#include <string>

#include "hibiscuspick/standins/platform_standin.h"
#include "http_json.h"

namespace hibiscuspick::standins {
namespace {

constexpr std::array<std::string_view, 3> kOutageNames = {"none", "refused",
                                                          "silent"};

bool ReadOutage(const Json& value, Outage* out) {
  for (size_t i = 0; i < kOutageNames.size(); ++i) {
    if (value == kOutageNames[i]) {
      *out = static_cast<Outage>(i);
      return true;
    }
  }
  return false;
}

// Changes the faults by the keys that are there; gives the first fault found
// in the request, empty if it is sound.
std::string ReadFaults(const Json& body, PlatformFaults* faults) {
  if (!body.is_object()) return "an object is wanted";
  for (const auto& [key, value] : body.items()) {
    if (key == "outage") {
      if (!ReadOutage(value, &faults->outage)) {
        return "outage is none, refused or silent";
      }
      continue;
    }
    if (!value.is_number_unsigned()) return key + " is not a whole number";
    const auto n = value.get<uint64_t>();
    if (key == "delay_ms") {
      faults->delay = Millis(static_cast<double>(n));
    } else if (key == "lose_put_replies") {
      faults->lose_put_replies = n;
    } else if (key == "max_reads_per_second") {
      faults->max_reads_per_second = n;
    } else if (key == "max_writes_per_second") {
      faults->max_writes_per_second = n;
    } else {
      return "unknown key " + key;
    }
  }
  return "";
}

}  // namespace

void PlatformStandin::AddControlCalls() {
  server_.Get("/control/state",
              [this](const auto&, auto& out) { HandleState(out); });
  server_.Put("/control/faults", [this](const auto& in, auto& out) {
    const auto body = ParseJson(in.body);
    if (!IsOk(body)) return AnswerError(out, 400, ErrorOf(body).message);
    PlatformFaults wanted = faults();
    const std::string wrong = ReadFaults(ValueOf(body), &wanted);
    if (!wrong.empty()) return AnswerError(out, 400, wrong);
    SetFaults(wanted);
    HandleState(out);
  });
  server_.Put("/control/instances", [this](const auto& in, auto& out) {
    const auto lag = NumberParam(in, "lag_ms", 0);
    const auto body = ParseJson(in.body);
    if (!IsOk(body) || !ValueOf(body).is_array() || !lag) {
      return AnswerError(out, 400, "a JSON list and a whole lag_ms are wanted");
    }
    if (in.has_param("lag_ms")) {
      SetInstanceLag(Millis(static_cast<double>(*lag)));
    }
    SetInstanceList(ValueOf(body));
    Answer(out, 200, Json{{"set", ValueOf(body).size()}});
  });
  server_.Post("/control/backup", [this](const auto&, auto& out) {
    Answer(out, 200, Json{{"revision", Backup()}});
  });
  server_.Post("/control/restore", [this](const auto& in, auto& out) {
    const auto revision = NumberParam(in, "revision", 0);
    if (!revision || !RestoreTo(*revision)) {
      return AnswerError(out, 404, "no backup of this revision");
    }
    Answer(out, 200, Json{{"revision", *revision}});
  });
}

void PlatformStandin::HandleState(httplib::Response& response) {
  const std::lock_guard lock(mutex_);
  Json calls;
  for (size_t i = 0; i < kCallKinds; ++i) {
    calls[std::string(kCallNames[i])] = counts_.by_kind[i];
  }
  Json backups = Json::array();
  for (const auto& [revision, state] : store_.backups) {
    backups.push_back(revision);
  }
  const auto outage = static_cast<size_t>(faults_.outage);
  Answer(response, 200,
         Json{{"revision", store_.state.revision},
              {"calls", calls},
              {"conflicts", counts_.conflicts},
              {"refused", counts_.refused},
              {"lost_replies", counts_.lost_replies},
              {"outage", kOutageNames[outage]},
              {"delay_ms", faults_.delay.count},
              {"lose_put_replies", faults_.lose_put_replies},
              {"max_reads_per_second", faults_.max_reads_per_second},
              {"max_writes_per_second", faults_.max_writes_per_second},
              {"instance_lag_ms", instances_.lag.count},
              {"backups", backups}});
}

}  // namespace hibiscuspick::standins
