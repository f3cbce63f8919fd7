#include "hibiscuspick/settings/edge_settings.h"

#include <utility>
#include <vector>

#include "file_fields.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/settings/json_reader.h"

namespace hibiscuspick::settings {
namespace {

// A number from 0 to `max`, which may have a fraction.
double ReadFraction(JsonReader* reader, const std::string& key, double max,
                    double fallback) {
  const Json* field = reader->Find(key);
  if (field == nullptr) return fallback;
  if (!field->is_number()) {
    reader->AddFault(key, "must be a number");
    return fallback;
  }
  const double value = field->get<double>();
  if (value >= 0 && value <= max) return value;
  reader->AddFault(key, "must be from 0 to " + std::to_string(max));
  return fallback;
}

void ReadExtra(JsonReader* edge, EdgeSettings* out,
               std::vector<Fault>* faults) {
  JsonReader reader(Section(edge, "extra_attempts"), "$.edge.extra_attempts",
                    faults);
  constexpr double kMaxRatio = 10;
  constexpr double kMaxSlack = 1e6;
  out->extra_ratio =
      ReadFraction(&reader, "ratio", kMaxRatio, out->extra_ratio);
  out->extra_window =
      ReadMillis(&reader, "window_ms", {100, kHour}, out->extra_window);
  out->extra_slack =
      ReadFraction(&reader, "slack", kMaxSlack, out->extra_slack);
  reader.RejectUnknownKeys();
}

void ReadLimits(JsonReader* edge, EdgeSettings* out,
                std::vector<Fault>* faults) {
  JsonReader reader(Section(edge, "limits"), "$.edge.limits", faults);
  constexpr double kMaxMemoryMb = 1e6;
  constexpr double kMaxDescriptors = 1e7;
  out->memory_mb =
      ReadFraction(&reader, "memory_mb", kMaxMemoryMb, out->memory_mb);
  out->descriptors =
      ReadFraction(&reader, "descriptors", kMaxDescriptors, out->descriptors);
  reader.RejectUnknownKeys();
}

void ReadCold(JsonReader* edge, EdgeSettings* out, std::vector<Fault>* faults) {
  JsonReader reader(Section(edge, "cold_servers"), "$.edge.cold_servers",
                    faults);
  constexpr double kMaxOverage = 100;
  constexpr double kMaxSlack = 1e6;
  out->cold_overage =
      ReadFraction(&reader, "overage", kMaxOverage, out->cold_overage);
  out->cold_slack = ReadFraction(&reader, "slack", kMaxSlack, out->cold_slack);
  reader.RejectUnknownKeys();
}

void ReadAllowances(JsonReader* edge, EdgeSettings* out,
                    std::vector<Fault>* faults) {
  JsonReader reader(Section(edge, "allowances"), "$.edge.allowances", faults);
  constexpr double kMaxWindow = kHour;
  constexpr double kMaxOverage = 100;
  constexpr double kMaxSlack = 1e6;
  out->allowance_window = Millis(ReadFraction(&reader, "window_ms", kMaxWindow,
                                              out->allowance_window.count));
  out->allowance_overage =
      ReadFraction(&reader, "overage", kMaxOverage, out->allowance_overage);
  out->allowance_slack =
      ReadFraction(&reader, "slack", kMaxSlack, out->allowance_slack);
  reader.RejectUnknownKeys();
}

void ReadClientKeys(JsonReader* edge, EdgeSettings* out,
                    std::vector<Fault>* faults) {
  JsonReader reader(Section(edge, "client_keys"), "$.edge.client_keys", faults);
  out->strict_revocation =
      reader.Flag("strict_revocation", out->strict_revocation);
  out->max_key_age =
      ReadMillis(&reader, "max_age_ms", {100, kHour}, out->max_key_age);
  reader.RejectUnknownKeys();
}

void ReadRegions(JsonReader* edge, EdgeSettings* out) {
  const Json* field = edge->Find("regions");
  if (field == nullptr) return;
  if (!field->is_object()) {
    edge->AddFault("regions", "must be an object");
    return;
  }
  for (const auto& [data_centre, region] : field->items()) {
    if (!region.is_string()) {
      edge->AddFault("regions." + data_centre, "must be the name of a region");
      continue;
    }
    out->regions[DataCentreId(data_centre)] = region.get<std::string>();
  }
}

void ReadPolicy(JsonReader* edge, EdgeSettings* out,
                std::vector<Fault>* faults) {
  JsonReader reader(Section(edge, "policy"), "$.edge.policy", faults);
  for (const auto& it : kMechanismNames) {
    bool& value = out->mechanisms.*it.field;
    value = reader.Flag(std::string(it.name), value);
  }
  reader.RejectUnknownKeys();
}

void ReadEdge(JsonReader* root, EdgeSettings* out, std::vector<Fault>* faults) {
  JsonReader reader(Section(root, "edge"), "$.edge", faults);
  out->callers = reader.IpAddress("callers");
  out->readiness = reader.IpAddress("readiness");
  out->store = reader.IpAddress("store");
  out->updates = reader.IpAddress("news");
  out->peer_queries = reader.IpAddress("queries");
  constexpr double kMaxCores = 1024;
  out->cpu_cores =
      ReadFraction(&reader, "processor", kMaxCores, out->cpu_cores);
  ReadLimits(&reader, out, faults);
  ReadExtra(&reader, out, faults);
  ReadCold(&reader, out, faults);
  ReadAllowances(&reader, out, faults);
  ReadClientKeys(&reader, out, faults);
  ReadRegions(&reader, out);
  ReadPolicy(&reader, out, faults);
  out->instances =
      static_cast<int>(reader.Integer("instances", {1, 10000}, out->instances));
  out->shutdown_grace =
      ReadMillis(&reader, "grace_ms", {1000, kHour}, out->shutdown_grace);
  ReadLog(&reader, "$.edge", &out->log_level, &out->log_format, faults);
  reader.RejectUnknownKeys();
}

}  // namespace

bool IsEdgeSettings(std::string_view text) {
  const auto parsed = ParseJson(text, JsonComments::kAllowed);
  return IsOk(parsed) && ValueOf(parsed).is_object() &&
         ValueOf(parsed).contains("edge");
}

Checked<EdgeSettings> ReadEdgeSettings(std::string_view text) {
  const auto parsed = ParseJson(text, JsonComments::kAllowed);
  if (!IsOk(parsed)) return std::vector<Fault>{ErrorOf(parsed)};
  std::vector<Fault> faults;
  EdgeSettings out;
  JsonReader reader(ValueOf(parsed), "$", &faults);
  out.instance = InstanceId(reader.NameText("instance"));
  out.data_centre = DataCentreId(reader.NameText("data_centre"));
  ReadEdge(&reader, &out, &faults);
  reader.RejectUnknownKeys();
  if (!faults.empty()) return faults;
  return out;
}

}  // namespace hibiscuspick::settings
