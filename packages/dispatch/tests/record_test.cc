#include <boost/test/unit_test.hpp>
#include <string>

#include "executor_fixture.h"
#include "fake_backend.h"
#include "hibiscuspick/dispatch/part_executor.h"

namespace hibiscuspick::dispatch {

BOOST_AUTO_TEST_CASE(a_record_is_run_once) {
  std::string key;
  std::string body;
  FakeBackend b1("b1");
  b1.on_query = [&](const auto& request, auto&) {
    key = request.get_header_value("X-Record-Key");
    body = request.body;
  };
  b1.Start();
  const auto config = MakeGroupConfig({b1.Config()});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  const auto outcome = executor.RunRecord(MakeRecord(config));
  executor.Stop();
  b1.Stop();
  BOOST_TEST((outcome.code == Code::kOk));
  BOOST_TEST(outcome.result == R"({"number": 1})");
  BOOST_TEST(key == "claim-1");
  BOOST_TEST(body == R"({"phone": "cracked"})");
  BOOST_TEST(b1.attempts().size() == 1u);
}

// The backend server reads the record and closes the connection without a
// reply. A retry at the other replica could store the record twice; the outcome
// must say that it may have run.
BOOST_AUTO_TEST_CASE(a_record_without_a_reply_is_not_retried) {
  RawBackend b1("", nullptr);
  RawBackend b2("", nullptr);
  limits::GroupPolicy policy;
  policy.connections.preconnect = 0;
  const auto config =
      MakeGroupConfig({b1.Config("b1"), b2.Config("b2")}, policy);
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  const auto outcome = executor.RunRecord(MakeRecord(config));
  executor.Stop();
  BOOST_TEST((outcome.code == Code::kReadFailed));
  BOOST_TEST((outcome.ran == Ran::kMaybe));
  // The other request is the cancel that follows.
  BOOST_TEST(b1.requests + b2.requests <= 2);
}

// Nothing listens on the server's address. A retry is safe, and the outcome
// says so.
BOOST_AUTO_TEST_CASE(a_record_that_could_not_be_sent_did_not_run) {
  FakeBackend b1("b1");
  b1.Start();
  const auto config = MakeGroupConfig({b1.Config()});
  b1.Stop();
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  const auto outcome = executor.RunRecord(MakeRecord(config));
  BOOST_TEST((outcome.code == Code::kConnectFailed));
  BOOST_TEST((outcome.ran == Ran::kNo));
}

// The backend server rejects the record for its content. The outcome carries
// the server's reason.
BOOST_AUTO_TEST_CASE(a_rejected_record_carries_the_reason) {
  FakeBackend b1("b1");
  b1.on_query = [](const auto&, auto& response) {
    response.status = 422;
    response.set_content(R"({"reason": "no such policy"})", "application/json");
  };
  b1.Start();
  const auto config = MakeGroupConfig({b1.Config()});
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  const auto outcome = executor.RunRecord(MakeRecord(config));
  BOOST_TEST((outcome.code == Code::kRecordFailed));
  BOOST_TEST(outcome.result == R"({"reason": "no such policy"})");
}

// All servers of the shard are drained. The record is refused at once, and
// `ran` is kNo.
BOOST_AUTO_TEST_CASE(a_record_for_drained_servers_did_not_run) {
  FakeBackend b1("b1");
  b1.Start();
  auto config = MakeGroupConfig({b1.Config()});
  config.drained = {BackendServerId("b1")};
  PartExecutor executor(TestOptions(), nullptr);
  executor.Apply({config});
  const auto outcome = executor.RunRecord(MakeRecord(config));
  BOOST_TEST((outcome.code == Code::kNoServer));
  BOOST_TEST((outcome.ran == Ran::kNo));
  BOOST_TEST(b1.attempts().empty());
}

}  // namespace hibiscuspick::dispatch
