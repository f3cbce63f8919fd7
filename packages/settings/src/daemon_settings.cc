#include "hibiscuspick/settings/daemon_settings.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "file_fields.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/settings/json_reader.h"

namespace hibiscuspick::settings {
namespace {

std::string ReadSecret(JsonReader* reader, const std::string& key,
                       const EnvironmentLookup& environment) {
  const std::string env_key = key + "_env";
  const bool from_environment = reader->Has(env_key);
  std::string secret = reader->Text(key, "");
  const std::string variable = reader->Text(env_key, "");
  if (reader->Has(key) && from_environment) {
    reader->AddFault(
        env_key, "is set together with " + key + "; set only one of the two");
    return secret;
  }
  if (from_environment) secret = environment(variable).value_or("");
  if (secret.empty()) {
    reader->AddFault(from_environment ? env_key : key,
                     from_environment ? "the environment variable " + variable +
                                            " is not set or empty"
                                      : "is missing or empty");
  }
  return secret;
}

int ReadInt(JsonReader* reader, const std::string& key, IntegerRange range,
            int fallback) {
  return static_cast<int>(reader->Integer(key, range, fallback));
}

void ReadListen(JsonReader* root, DaemonSettings* out,
                std::vector<Fault>* faults) {
  JsonReader reader(Section(root, "listen"), "$.listen", faults);
  out->callers = reader.IpAddress("callers");
  out->operators = reader.IpAddress("operators");
  out->inner = reader.IpAddress("inner");
  reader.RejectUnknownKeys();
  if (out->callers.port == 0) return;
  if (out->callers == out->operators || out->callers == out->inner ||
      out->operators == out->inner) {
    faults->push_back(
        {Code::kInvalidValue, "$.listen", "the three addresses must differ"});
  }
}

void ReadTraffic(JsonReader* root, DaemonSettings* out,
                 std::vector<Fault>* faults) {
  JsonReader reader(Section(root, "traffic"), "$.traffic", faults);
  out->max_attempts =
      ReadInt(&reader, "max_attempts", {1, 4096}, out->max_attempts);
  out->max_caller_connections =
      ReadInt(&reader, "max_caller_connections", {1, 65536},
              out->max_caller_connections);
  out->max_operator_connections =
      ReadInt(&reader, "max_operator_connections", {1, 1024},
              out->max_operator_connections);
  reader.RejectUnknownKeys();
}

void ReadPeers(JsonReader* root, DaemonSettings* out,
               std::vector<Fault>* faults) {
  if (!root->Has("peers")) return;
  const Json& peers = root->Array("peers");
  for (size_t i = 0; i < peers.size(); ++i) {
    const std::string path = "$.peers[" + std::to_string(i) + "]";
    const Json& item = peers[i];
    const auto address = ParseAddress(
        item.is_string() ? item.get_ref<const std::string&>() : "");
    if (IsOk(address)) {
      out->peers.push_back(ValueOf(address));
    } else {
      faults->push_back({Code::kInvalidValue, path, ErrorOf(address).message});
    }
  }
}

void ReadPlatformCalls(JsonReader* root, DaemonSettings* out,
                       std::vector<Fault>* faults) {
  JsonReader reader(Section(root, "platform_calls"), "$.platform_calls",
                    faults);
  out->platform_calls_per_second = ReadInt(&reader, "per_second", {1, 10000},
                                           out->platform_calls_per_second);
  out->platform_call_burst =
      ReadInt(&reader, "burst", {1, 10000}, out->platform_call_burst);
  out->platform_timeout =
      ReadMillis(&reader, "timeout_ms", {50, 60000}, out->platform_timeout);
  out->platform_watch_timeout = ReadMillis(&reader, "watch_ms", {100, 60000},
                                           out->platform_watch_timeout);
  reader.RejectUnknownKeys();
}

}  // namespace

Checked<DaemonSettings> ReadDaemonSettings(
    std::string_view text, const EnvironmentLookup& environment) {
  const auto parsed = ParseJson(text, JsonComments::kAllowed);
  if (!IsOk(parsed)) return std::vector<Fault>{ErrorOf(parsed)};
  std::vector<Fault> faults;
  DaemonSettings out;
  JsonReader reader(ValueOf(parsed), "$", &faults);
  out.instance = InstanceId(reader.NameText("instance"));
  out.data_centre = DataCentreId(reader.NameText("data_centre"));
  out.region = reader.NameText("region", "");
  ReadListen(&reader, &out, &faults);
  out.platform = reader.IpAddress("platform");
  ReadPeers(&reader, &out, &faults);
  out.operator_token = ReadSecret(&reader, "operator_token", environment);
  out.inner_key = ReadSecret(&reader, "inner_key", environment);
  ReadLog(&reader, "$", &out.log_level, &out.log_format, &faults);
  out.balancer_lag =
      ReadMillis(&reader, "balancer_lag_ms", {0, kHour}, out.balancer_lag);
  out.stop_timeout =
      ReadMillis(&reader, "stop_timeout_ms", {0, kHour}, out.stop_timeout);
  ReadTraffic(&reader, &out, &faults);
  ReadPlatformCalls(&reader, &out, &faults);
  reader.RejectUnknownKeys();
  if (!faults.empty()) return faults;
  return out;
}

}  // namespace hibiscuspick::settings
