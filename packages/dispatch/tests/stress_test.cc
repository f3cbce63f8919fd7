#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "executor_fixture.h"
#include "fake_backend.h"
#include "hibiscuspick/base/random.h"
#include "hibiscuspick/dispatch/part_executor.h"

namespace hibiscuspick::dispatch {
namespace {

constexpr int kCallers = 4;
constexpr int kPartsEach = 20;
constexpr int kShards = 8;

// Replies normally, slowly, with an error or with a shed, chosen by a hash of
// the attempt id.
void ReplyRandomly(const httplib::Request& request,
                   httplib::Response& response) {
  const size_t hash =
      std::hash<std::string>()(request.get_header_value("X-Attempt-Id"));
  Random random(hash);
  switch (random.Below(8)) {
    case 0:
      response.status = 500;
      break;
    case 1:
      response.status = 503;
      response.set_header("X-Not-Run", "true");
      break;
    case 2:
      std::this_thread::sleep_for(Millis(5).ToMicros());
      break;
    default:
      break;
  }
}

// Runs parts one after another and cancels every third.
void RunParts(PartExecutor* executor, const GroupConfig& config, int caller,
              std::vector<std::unique_ptr<Outcomes>>* all) {
  for (int i = 0; i < kPartsEach; ++i) {
    all->push_back(std::make_unique<Outcomes>());
    auto part = MakePart(config, kShards);
    part.origin.part = PartId(static_cast<uint64_t>(caller * 1000 + i));
    part.lane = kAllLanes[static_cast<size_t>(i) % kLaneCount];
    executor->Run(part, all->back()->Sink());
    if (i % 3 == 0) {
      executor->Cancel(part.origin);
    } else if (!all->back()->WaitFor(kShards)) {
      return;
    }
  }
}

}  // namespace

// Many callers run concurrently, some cancel, and backend servers fail at
// random. Each caller gets every outcome of its own part, and none twice.
BOOST_AUTO_TEST_CASE(many_callers_and_failing_servers) {
  FakeBackend b1("b1");
  FakeBackend b2("b2");
  b1.on_query = ReplyRandomly;
  b2.on_query = ReplyRandomly;
  b1.Start();
  b2.Start();
  const auto config = MakeGroupConfig({b1.Config(), b2.Config()});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  std::vector<std::vector<std::unique_ptr<Outcomes>>> outcomes(kCallers);
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      RunParts(&executor, config, i, &outcomes[static_cast<size_t>(i)]);
    });
  }
  for (auto& it : callers) it.join();
  executor.Stop();
  // Checked after Stop, since a part counts until its last callback has
  // returned.
  BOOST_TEST(executor.InFlight() == 0u);
  for (const auto& parts : outcomes) {
    BOOST_REQUIRE(parts.size() == static_cast<size_t>(kPartsEach));
    for (size_t i = 0; i < parts.size(); ++i) {
      const size_t given = parts[i]->Count();
      BOOST_TEST((given == kShards || i % 3 == 0));
      BOOST_TEST(parts[i]->MaxDeliveries() <= 1);
    }
  }
  BOOST_TEST(!b1.SawAttemptTwice());
  BOOST_TEST(!b2.SawAttemptTwice());
}

}  // namespace hibiscuspick::dispatch
