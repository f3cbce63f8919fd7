#include "hibiscuspick/metrics/registry.h"

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <mutex>
#include <sstream>

namespace hibiscuspick::metrics {
namespace {

namespace bh = boost::histogram;

// Bucket bounds in milliseconds: each is about 1.26 times the one before, so a
// quantile read from them is wrong by at most a quarter.
constexpr unsigned kBuckets = 58;
constexpr double kLowest = 0.1;
constexpr double kHighest = 65000;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<uint64_t>>;
using Histogram = bh::histogram<std::tuple<Axis>, Storage>;

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || c == '"') out += '\\';
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    out += c;
  }
  return out;
}

// {a="1",b="2"} without the braces.
std::string LabelText(const Labels& labels) {
  std::string out;
  for (const auto& [name, value] : labels) {
    if (!out.empty()) out += ',';
    out += name + "=\"" + Escaped(value) + '"';
  }
  return out;
}

std::string Braced(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

std::string WithBound(const std::string& labels, const std::string& bound) {
  return "{" + labels + (labels.empty() ? "" : ",") + "le=\"" + bound + "\"}";
}

void WriteLatency(std::ostream* out, const std::string& name,
                  const std::string& labels, const Latency& latency) {
  const Latency::Snapshot it = latency.Read();
  for (const auto& [bound, count] : it.buckets) {
    std::ostringstream text;
    text << bound;
    *out << name << "_bucket" << WithBound(labels, text.str()) << ' ' << count
         << '\n';
  }
  *out << name << "_bucket" << WithBound(labels, "+Inf") << ' ' << it.count
       << '\n';
  *out << name << "_sum" << Braced(labels) << ' ' << it.sum_seconds << '\n';
  *out << name << "_count" << Braced(labels) << ' ' << it.count << '\n';
}

}  // namespace

struct Latency::Impl {
  Histogram histogram{std::make_tuple(Axis(kBuckets, kLowest, kHighest)),
                      Storage()};
  // In whole microseconds, since there is no atomic addition of fractions.
  std::atomic<uint64_t> sum_micros{0};
};

Latency::Latency() : impl_(std::make_unique<Impl>()) {}
Latency::~Latency() = default;

void Latency::Observe(Millis it) {
  const Millis known = Max(it, Millis(0));
  impl_->histogram(known.count);
  impl_->sum_micros.fetch_add(static_cast<uint64_t>(known.ToMicros().count()),
                              std::memory_order_relaxed);
}

Latency::Snapshot Latency::Read() const {
  Snapshot snapshot;
  const Histogram& histogram = impl_->histogram;
  const auto& axis = histogram.axis();
  // Index -1 holds what lies below the lowest bound, kBuckets what lies above
  // the highest. The total is the sum of what was read, so that the buckets of
  // one text always agree with its count while others observe.
  uint64_t below = histogram.at(-1).load();
  snapshot.buckets.emplace_back(kLowest / 1000, below);
  for (int i = 0; i < axis.size(); ++i) {
    below += histogram.at(i).load();
    snapshot.buckets.emplace_back(axis.bin(i).upper() / 1000, below);
  }
  snapshot.count = below + histogram.at(axis.size()).load();
  snapshot.sum_seconds = static_cast<double>(impl_->sum_micros.load()) / 1e6;
  return snapshot;
}

Registry::Family& Registry::FamilyOf(const std::string& name,
                                     const std::string& help,
                                     const std::string& type) {
  Family& family = families_[name];
  if (family.type.empty()) {
    family.help = help;
    family.type = type;
  }
  return family;
}

Counter& Registry::GetCounter(const std::string& name, const std::string& help,
                              const Labels& labels) {
  const std::string text = LabelText(labels);
  {
    const std::shared_lock lock(mutex_);
    const auto family = families_.find(name);
    if (family != families_.end()) {
      const auto it = family->second.counters.find(text);
      if (it != family->second.counters.end()) return *it->second;
    }
  }
  const std::unique_lock lock(mutex_);
  auto& place = FamilyOf(name, help, "counter").counters[text];
  if (!place) place = std::make_unique<Counter>();
  return *place;
}

Latency& Registry::GetLatency(const std::string& name, const std::string& help,
                              const Labels& labels) {
  const std::string text = LabelText(labels);
  {
    const std::shared_lock lock(mutex_);
    const auto family = families_.find(name);
    if (family != families_.end()) {
      const auto it = family->second.latencies.find(text);
      if (it != family->second.latencies.end()) return *it->second;
    }
  }
  const std::unique_lock lock(mutex_);
  auto& place = FamilyOf(name, help, "histogram").latencies[text];
  if (!place) place = std::make_unique<Latency>();
  return *place;
}

void Registry::AddGauge(const std::string& name, const std::string& help,
                        const Labels& labels, std::function<double()> read) {
  const std::unique_lock lock(mutex_);
  FamilyOf(name, help, "gauge").gauges[LabelText(labels)] = std::move(read);
}

std::string Registry::PrometheusText() const {
  std::ostringstream out;
  out.precision(12);
  const std::shared_lock lock(mutex_);
  for (const auto& [name, family] : families_) {
    out << "# HELP " << name << ' ' << family.help << '\n';
    out << "# TYPE " << name << ' ' << family.type << '\n';
    for (const auto& [labels, it] : family.counters) {
      out << name << Braced(labels) << ' ' << it->value() << '\n';
    }
    for (const auto& [labels, it] : family.gauges) {
      out << name << Braced(labels) << ' ' << it() << '\n';
    }
    for (const auto& [labels, it] : family.latencies) {
      WriteLatency(&out, name, labels, *it);
    }
  }
  return out.str();
}

}  // namespace hibiscuspick::metrics
