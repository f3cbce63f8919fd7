#include "hibiscuspick/daemon/status.h"

#include <spdlog/fmt/fmt.h>

#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace hibiscuspick::daemon {
namespace {

std::string_view PhaseName(membership::Phase phase) {
  switch (phase) {
    case membership::Phase::kStarting:
      return "starting";
    case membership::Phase::kServing:
      return "serving";
    case membership::Phase::kLeaving:
      return "leaving";
    case membership::Phase::kGone:
      break;
  }
  return "gone";
}

Json MembersJson(const membership::MembershipView& view) {
  Json members = Json::array();
  for (const auto& [id, member] : view.members) {
    members.push_back({{"instance", id.text},
                       {"data_centre", member.data_centre.text},
                       {"inner", ToText(member.inner)},
                       {"incarnation", member.incarnation.value},
                       {"state", PhaseName(member.phase)},
                       {"suspect", member.suspect}});
  }
  return members;
}

std::string OwnerOf(const TrafficView& view, const ServiceId& service) {
  const auto it = view.placement.find(service);
  if (it == view.placement.end() || it->second.empty()) return "";
  return it->second.front().text;
}

Json ServersJson(const TrafficView& view) {
  Json servers = Json::array();
  for (const auto& [id, service] : view.configuration->services) {
    for (const auto& it : service.backend_servers) {
      const bool is_drained_by_operator =
          view.configuration->drains.contains(it.id);
      const bool is_draining = membership::IsDraining(*view.members, it.id);
      servers.push_back({{"backend_server", it.id.text},
                         {"service", id.text},
                         {"address", ToText(it.address)},
                         {"data_centre", it.data_centre.text},
                         {"drained_by_operator", is_drained_by_operator},
                         {"draining", is_draining || is_drained_by_operator},
                         {"owner", OwnerOf(view, id)}});
    }
  }
  return servers;
}

Json VersionsJson(const settings::Configuration& configuration) {
  Json versions = Json::object();
  for (const auto& [name, object] : configuration.objects) {
    versions[name] = object.version.value;
  }
  return versions;
}

Json WarningsJson(const settings::Configuration& configuration) {
  Json warnings = Json::array();
  for (const auto& it : configuration.warnings) {
    warnings.push_back({{"code", static_cast<int>(it.code)},
                        {"place", it.place},
                        {"message", it.message}});
  }
  return warnings;
}

// A counter of a group and the function that reads it.
struct GroupSeries {
  const char* name;
  const char* help;
  const char* type;
  std::function<double(const dispatch::GroupMetrics&)> read;
};

const std::vector<GroupSeries>& AllSeries() {
  using Metrics = dispatch::GroupMetrics;
  static const auto* series = new std::vector<GroupSeries>{
      {"hibiscuspick_tasks_total", "Shard tasks taken in.", "counter",
       [](const Metrics& it) { return it.counters.tasks; }},
      {"hibiscuspick_first_attempts_total", "First attempts.", "counter",
       [](const Metrics& it) { return it.counters.first_attempts; }},
      {"hibiscuspick_hedges_total", "Hedged attempts.", "counter",
       [](const Metrics& it) { return it.counters.hedges; }},
      {"hibiscuspick_hedges_won_total", "Hedges whose reply came first.",
       "counter", [](const Metrics& it) { return it.counters.hedges_won; }},
      {"hibiscuspick_hedges_denied_total", "Hedges the budget did not allow.",
       "counter", [](const Metrics& it) { return it.counters.hedges_denied; }},
      {"hibiscuspick_retries_total", "Retried attempts.", "counter",
       [](const Metrics& it) { return it.counters.retries; }},
      {"hibiscuspick_retries_denied_total", "Retries the budget did not allow.",
       "counter", [](const Metrics& it) { return it.counters.retries_denied; }},
      {"hibiscuspick_sheds_total", "Attempts that a backend server shed.",
       "counter", [](const Metrics& it) { return it.counters.sheds; }},
      {"hibiscuspick_refused_queue_full_total",
       "Tasks refused because their lane was full.", "counter",
       [](const Metrics& it) { return it.counters.refused_queue_full; }},
      {"hibiscuspick_refused_deadline_total",
       "Tasks refused because their deadline could not be met.", "counter",
       [](const Metrics& it) { return it.counters.refused_deadline; }},
      {"hibiscuspick_refused_no_server_total",
       "Tasks refused because no backend server may take them.", "counter",
       [](const Metrics& it) { return it.counters.refused_no_server; }},
      {"hibiscuspick_dropped_waiting_total",
       "Tasks whose deadline passed while they waited.", "counter",
       [](const Metrics& it) { return it.counters.dropped_waiting; }},
      {"hibiscuspick_ejections_total", "Ejections of backend servers.",
       "counter", [](const Metrics& it) { return it.counters.ejections; }},
      {"hibiscuspick_slots_in_use", "Slots now taken.", "gauge",
       [](const Metrics& it) { return it.slots_in_use; }},
      {"hibiscuspick_tasks_waiting", "Tasks now waiting.", "gauge",
       [](const Metrics& it) { return it.waiting; }},
      {"hibiscuspick_servers_ejected", "Backend servers now ejected.", "gauge",
       [](const Metrics& it) { return it.ejected; }},
      {"hibiscuspick_servers_draining", "Backend servers that drain.", "gauge",
       [](const Metrics& it) { return it.draining; }},
  };
  return *series;
}

void AppendHeader(const char* name, const char* help, const char* type,
                  std::string* text) {
  *text += std::string("# HELP ") + name + " " + help + "\n";
  *text += std::string("# TYPE ") + name + " " + type + "\n";
}

void AppendSeries(const GroupSeries& series,
                  const dispatch::ExecutorMetrics& metrics, std::string* text) {
  AppendHeader(series.name, series.help, series.type, text);
  for (const auto& group : metrics.groups) {
    *text += fmt::format("{}{{service=\"{}\"}} {}\n", series.name,
                         group.service.text, series.read(group));
  }
}

void AppendCodes(const dispatch::ExecutorMetrics& metrics, std::string* text) {
  constexpr char kName[] = "hibiscuspick_attempts_total";
  AppendHeader(kName, "Attempts by how they ended.", "counter", text);
  for (const auto& group : metrics.groups) {
    for (const auto& [code, n] : group.attempts_by_code) {
      *text += fmt::format("{}{{service=\"{}\",code=\"{}\"}} {}\n", kName,
                           group.service.text, CodeName(code), n);
    }
  }
}

void AppendUnlabelled(const char* name, const char* help, const char* type,
                      uint64_t value, std::string* text) {
  AppendHeader(name, help, type, text);
  *text += fmt::format("{} {}\n", name, value);
}

}  // namespace

Json StatusJson(const StatusData& data) {
  const TrafficView& view = *data.view;
  const auto& members = *view.members;
  return {{"instance", members.self.text},
          {"data_centre", members.data_centre.text},
          {"incarnation", data.incarnation.value},
          {"readiness", CodeName(data.readiness)},
          {"platform",
           {{"reachable", data.age.platform_reachable},
            {"watching", data.watching},
            {"configuration_age_ms", data.age.age.count}}},
          {"configuration",
           {{"complete_to", data.complete_to.value},
            {"alarms", data.alarms},
            {"versions", VersionsJson(*view.configuration)},
            {"warnings", WarningsJson(*view.configuration)}}},
          {"members", MembersJson(members)},
          {"backend_servers", ServersJson(view)}};
}

std::string GroupMetricsText(const dispatch::ExecutorMetrics& metrics) {
  std::string text;
  for (const auto& it : AllSeries()) AppendSeries(it, metrics, &text);
  AppendCodes(metrics, &text);
  AppendUnlabelled("hibiscuspick_backend_connections_opened_total",
                   "Connections opened to backend servers.", "counter",
                   metrics.connections_opened, &text);
  AppendUnlabelled("hibiscuspick_backend_connections",
                   "Connections now open to backend servers.", "gauge",
                   metrics.connections_open, &text);
  AppendUnlabelled("hibiscuspick_cancels_sent_total", "Cancellations sent.",
                   "counter", metrics.cancels_sent, &text);
  return text;
}

}  // namespace hibiscuspick::daemon
