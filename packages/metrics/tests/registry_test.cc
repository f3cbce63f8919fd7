#include "hibiscuspick/metrics/registry.h"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace hibiscuspick::metrics {

BOOST_AUTO_TEST_CASE(text_has_one_head_for_a_name_and_escapes_labels) {
  Registry registry;
  registry.GetCounter("hp_x_total", "Things.", {{"route", "a\"b"}}).Add(2);
  registry.GetCounter("hp_x_total", "Things.", {{"route", "c"}}).Add();
  registry.AddGauge("hp_g", "Level.", {}, [] { return 1.5; });
  BOOST_TEST(registry.PrometheusText() ==
             "# HELP hp_g Level.\n# TYPE hp_g gauge\nhp_g 1.5\n"
             "# HELP hp_x_total Things.\n# TYPE hp_x_total counter\n"
             "hp_x_total{route=\"a\\\"b\"} 2\nhp_x_total{route=\"c\"} 1\n");
}

BOOST_AUTO_TEST_CASE(buckets_are_cumulative_and_end_at_the_count) {
  Registry registry;
  Latency& latency = registry.GetLatency("hp_l", "Time.", {{"lane", "bulk"}});
  for (const double it : {0.01, 5.0, 5.0, 1e9, -1.0}) {
    latency.Observe(Millis(it));
  }
  const Latency::Snapshot read = latency.Read();
  BOOST_TEST(read.count == 5U);
  BOOST_TEST(read.buckets.front().second == 2U);
  BOOST_TEST(read.buckets.back().second == 4U);
  uint64_t last = 0;
  for (const auto& [bound, count] : read.buckets) {
    BOOST_TEST(count >= last);
    if (bound > 0.0063 && bound < 60) BOOST_TEST(count == 4U);
    last = count;
  }
  const std::string text = registry.PrometheusText();
  BOOST_TEST(text.find("hp_l_bucket{lane=\"bulk\",le=\"+Inf\"} 5\n") !=
             std::string::npos);
  BOOST_TEST(text.find("hp_l_count{lane=\"bulk\"} 5\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(threads_lose_no_observation) {
  Registry registry;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 1000; ++n) {
        registry.GetLatency("hp_l", "Time.").Observe(Millis(n));
        registry.GetCounter("hp_c", "Count.").Add();
      }
    });
  }
  registry.PrometheusText();
  for (auto& it : threads) it.join();
  BOOST_TEST(registry.GetLatency("hp_l", "Time.").Read().count == 4000U);
  BOOST_TEST(registry.GetCounter("hp_c", "Count.").value() == 4000U);
}

}  // namespace hibiscuspick::metrics
