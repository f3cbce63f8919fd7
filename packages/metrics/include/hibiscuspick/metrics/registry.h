// Counters, gauges and latency histograms of a process, and their Prometheus
// text.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <utility>
#include <vector>

#include "hibiscuspick/base/millis.h"

namespace hibiscuspick::metrics {

// Label names and values, in the order they are to be written. Values must come
// from configuration or code, never from callers: each set of values is a
// series that is kept for the life of the process.
using Labels = std::vector<std::pair<std::string, std::string>>;

class Counter {
 public:
  void Add(uint64_t n = 1) { count_.fetch_add(n, std::memory_order_relaxed); }
  uint64_t value() const { return count_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> count_{0};
};

// Latencies in buckets that grow by a fixed factor from a tenth of a
// millisecond to a minute; Boost.Histogram with atomic counts, so that any
// thread may observe and no lock is taken.
class Latency {
 public:
  Latency();
  ~Latency();
  void Observe(Millis it);

  struct Snapshot {
    // Upper bounds in seconds and the count at or below each.
    std::vector<std::pair<double, uint64_t>> buckets;
    uint64_t count = 0;
    double sum_seconds = 0;
  };
  Snapshot Read() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Series are made at first use and live as long as the registry. Lookups take
// a shared lock; a hot path keeps the reference.
class Registry {
 public:
  Counter& GetCounter(const std::string& name, const std::string& help,
                      const Labels& labels = {});
  Latency& GetLatency(const std::string& name, const std::string& help,
                      const Labels& labels = {});
  // `read` is called for each text, from the thread that asks for it.
  void AddGauge(const std::string& name, const std::string& help,
                const Labels& labels, std::function<double()> read);

  // The exposition format 0.0.4: HELP and TYPE once a name, buckets
  // cumulative.
  std::string PrometheusText() const;

 private:
  struct Family {
    std::string help;
    std::string type;
    std::map<std::string, std::unique_ptr<Counter>> counters;
    std::map<std::string, std::unique_ptr<Latency>> latencies;
    std::map<std::string, std::function<double()>> gauges;
  };
  Family& FamilyOf(const std::string& name, const std::string& help,
                   const std::string& type);

  mutable std::shared_mutex mutex_;
  std::map<std::string, Family> families_;
};

}  // namespace hibiscuspick::metrics
