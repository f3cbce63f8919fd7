#include "hibiscuspick/engine/traffic_config.h"

#include <algorithm>
#include <string>

namespace hibiscuspick::engine {
namespace {

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return name;
}

}  // namespace

void IndexRoutes(TrafficConfig* config) {
  config->by_host.clear();
  for (size_t i = 0; i < config->routes.size(); ++i) {
    config->routes[i].host = NormalizeHost(config->routes[i].host);
    config->by_host[config->routes[i].host].push_back(i);
  }
  for (auto& [host, indices] : config->by_host) {
    std::stable_sort(indices.begin(), indices.end(), [&](size_t a, size_t b) {
      return config->routes[a].prefix.size() > config->routes[b].prefix.size();
    });
  }
}

const Route* FindRoute(const TrafficConfig& config, std::string_view host,
                       std::string_view target) {
  const auto indices = config.by_host.find(NormalizeHost(host));
  if (indices == config.by_host.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const size_t i : indices->second) {
    if (path.starts_with(config.routes[i].prefix)) return &config.routes[i];
  }
  return nullptr;
}

const ServiceId& NextService(const Route& route, SplitState* state) {
  const size_t n = route.split.size();
  state->credit.resize(n, 0);
  double sum = 0;
  size_t best = 0;
  for (size_t i = 0; i < n; ++i) {
    sum += route.split[i].weight;
    state->credit[i] += route.split[i].weight;
    if (state->credit[i] > state->credit[best]) best = i;
  }
  state->credit[best] -= sum;
  return route.split[best].service;
}

}  // namespace hibiscuspick::engine
