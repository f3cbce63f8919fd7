#include "hibiscuspick/operators/api.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "api_fixture.h"
#include "hibiscuspick/settings/envelope.h"

namespace data = boost::unit_test::data;
namespace hp = hibiscuspick;
using hp::Json;
using hp::operators::Instance;
using hp::platform::FakePlatform;
using hp::platform::PutFault;

namespace {

constexpr char kSystem[] = "/v1/settings/system";

Json Deadline(int ms) { return {{"deadline_ms", ms}}; }

Json Service(const std::string& server) {
  return {{"backend_servers",
           {{{"id", server},
             {"address", "127.0.0.1:9101"},
             {"data_centre", "osl-1"}}}}};
}

Json Manifest(int index_version) {
  return {{"id", "m"},
          {"index_version", index_version},
          {"shards", {{{"shard", "p"}, {"service", "s"}, {"documents", 1}}}}};
}

std::string VersionOf(const hp::operators::Reply& reply) {
  return std::to_string(reply.body.at("version").get<uint64_t>());
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_object_is_created_read_changed_and_deleted) {
  FakePlatform platform;
  Instance instance(&platform);
  const auto made = instance.Send("PUT", kSystem, Deadline(100), "*");
  BOOST_REQUIRE(made.status == 200);
  BOOST_TEST(made.body["version"] == 1);
  const auto read = instance.Send("GET", kSystem);
  BOOST_TEST(read.body["value"] == Deadline(100));
  BOOST_TEST(instance.Send("PUT", kSystem, Deadline(90), "\"1\"").status ==
             200);
  BOOST_TEST(platform.gets == 0);
  BOOST_TEST(instance.Send("DELETE", kSystem, nullptr, "2").status == 200);
  BOOST_TEST(instance.Send("GET", kSystem).status == 404);
  BOOST_TEST(instance.Send("DELETE", kSystem, nullptr, "3").status == 409);
  const auto again = instance.Send("PUT", kSystem, Deadline(80), "*");
  BOOST_TEST(again.status == 200);
  BOOST_TEST(again.body["version"] == 4);
  const auto list = instance.Send("GET", "/v1/settings");
  BOOST_TEST(list.body["objects"] ==
             Json::array({{{"name", "system"}, {"version", 4}}}));
}

struct StatusCase {
  std::string name;
  std::string method;
  std::string path;
  Json body;
  std::string if_match;
  int status;
};
std::ostream& operator<<(std::ostream& out, const StatusCase& it) {
  return out << it.name;
}

const StatusCase kStatuses[] = {
    {"unknown object", "GET", "/v1/routes/none", nullptr, "", 404},
    {"unknown kind", "GET", "/v1/machines/a", nullptr, "", 404},
    {"a path outside the API", "GET", "/etc/passwd", nullptr, "", 404},
    {"an unknown level", "PUT", "/v1/settings/world", {}, "*", 404},
    {"a name with a slash", "PUT", "/v1/services/a/b", {}, "*", 404},
    {"no precondition", "PUT", kSystem, Deadline(1), "", 428},
    {"an invalid version", "PUT", kSystem, Deadline(1), "new", 400},
    {"version 0", "PUT", kSystem, Deadline(1), "0", 400},
    {"a value that is a list", "PUT", kSystem, Json::array(), "*", 422},
    {"an invalid value", "PUT", kSystem, {{"deadline_ms", "x"}}, "*", 422},
    {"a version of a missing object", "PUT", kSystem, Deadline(1), "7", 409},
    {"deleting a missing object", "DELETE", "/v1/routes/r", nullptr, "7", 409},
    {"an unknown method", "POST", kSystem, Deadline(1), "*", 405},
    {"status", "GET", "/v1/status", nullptr, "", 200},
    {"effective values of a level without values", "GET",
     "/v1/settings/route/r?effective=true", nullptr, "", 200},
    {"write status without a write id", "GET", "/v1/writes/settings/system",
     nullptr, "", 400},
};

BOOST_DATA_TEST_CASE(requests_get_their_status, data::make(kStatuses), it) {
  FakePlatform platform;
  Instance instance(&platform);
  const auto reply = instance.Send(it.method, it.path, it.body, it.if_match);
  BOOST_TEST(reply.status == it.status);
  BOOST_TEST(reply.body.contains("error") == (it.status != 200));
  BOOST_TEST(platform.puts == 0);
}

BOOST_AUTO_TEST_CASE(every_fault_of_a_value_is_listed) {
  FakePlatform platform;
  Instance instance(&platform);
  const auto reply =
      instance.Send("PUT", kSystem, {{"deadline_ms", -1}, {"colour", 1}}, "*");
  BOOST_REQUIRE(reply.status == 422);
  BOOST_REQUIRE(reply.body["faults"].size() == 2);
  BOOST_TEST(reply.body["faults"][0]["path"] == "$.deadline_ms");
  BOOST_TEST(reply.body["faults"][1]["path"] == "$.colour");
}

// Many operators change one value through several instances concurrently. Each
// acceptance must stand for exactly one version, and the last one must be the
// value in force; otherwise an accepted change was lost.
BOOST_AUTO_TEST_CASE(
    concurrent_operators_never_overwrite_each_other_unknowingly) {
  constexpr int kOperators = 8;
  constexpr int kChanges = 20;
  FakePlatform platform;
  Instance first(&platform);
  Instance second(&platform);
  first.Send("PUT", kSystem, Deadline(1), "*");
  std::atomic<int> accepted{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < kOperators; ++i) {
    threads.emplace_back([&, i] {
      const Instance& instance = i % 2 == 0 ? first : second;
      std::string version = "1";
      Json value = Deadline(1);
      for (int n = 0; n < kChanges;) {
        // Each increments the last value that it saw.
        const int next = value["deadline_ms"].get<int>() + 1;
        const auto reply =
            instance.Send("PUT", kSystem, Deadline(next), version);
        if (reply.status == 200) {
          ++n;
          ++accepted;
          value = Deadline(next);
        } else if (reply.status == 409) {
          value = reply.body.at("value");
        } else {
          return;
        }
        version = VersionOf(reply);
      }
    });
  }
  for (auto& it : threads) it.join();
  BOOST_TEST(accepted == kOperators * kChanges);
  first.SyncFromPlatform();
  BOOST_TEST(first.Send("GET", kSystem).body["value"] ==
             Deadline(1 + kOperators * kChanges));
}

BOOST_AUTO_TEST_CASE(a_conflict_returns_the_current_object) {
  FakePlatform platform;
  Instance ours(&platform);
  ours.Send("PUT", kSystem, Deadline(1), "*");
  Instance theirs(&platform);
  theirs.Send("PUT", kSystem, Deadline(2), "1");
  const auto reply = ours.Send("PUT", kSystem, Deadline(3), "1");
  BOOST_REQUIRE(reply.status == 409);
  BOOST_TEST(reply.body["version"] == 2);
  BOOST_TEST(reply.body["value"] == Deadline(2));
  BOOST_TEST(ours.Send("PUT", kSystem, Deadline(3), "2").status == 200);
  BOOST_TEST(ours.Send("PUT", kSystem, Deadline(3), "*").status == 409);
}

// The platform is down. The operator must be told that the write was not
// accepted; reads of the configuration in force still work.
BOOST_AUTO_TEST_CASE(with_the_platform_down_nothing_is_accepted) {
  FakePlatform platform;
  Instance instance(&platform);
  instance.Send("PUT", kSystem, Deadline(1), "*");
  platform.failing_reads = -1;
  platform.put_faults = {PutFault::kDown};
  const auto reply = instance.Send("PUT", kSystem, Deadline(2), "1");
  BOOST_TEST(reply.status == 503);
  BOOST_TEST(instance.Send("GET", kSystem).body["value"] == Deadline(1));
  BOOST_TEST(instance.Send("PUT", kSystem, Deadline(2), "9").status == 503);
}

// The reply to a write is lost and the platform stops responding. The operator
// gets a write id and looks up the outcome when the platform is back.
BOOST_AUTO_TEST_CASE(the_outcome_of_an_unknown_write_can_be_looked_up) {
  FakePlatform platform;
  Instance instance(&platform);
  instance.Send("PUT", kSystem, Deadline(1), "*");
  platform.put_faults = {PutFault::kReplyLost};
  platform.failing_reads = -1;
  const auto reply = instance.Send("PUT", kSystem, Deadline(2), "1");
  BOOST_REQUIRE(reply.status == 504);
  const auto ask = reply.body.at("ask").get<std::string>();
  BOOST_TEST(instance.Send("GET", ask).status == 503);
  platform.failing_reads = 0;
  const auto answer = instance.Send("GET", ask);
  BOOST_TEST(answer.body["outcome"] == "accepted");
  BOOST_TEST(answer.body["version"] == 2);
}

// As above, but the write never arrived. While the object is unchanged it may
// still arrive; after another write it can't, and the lookup must say so.
BOOST_AUTO_TEST_CASE(a_write_that_never_arrived_is_distinguished) {
  FakePlatform platform;
  Instance instance(&platform);
  instance.Send("PUT", kSystem, Deadline(1), "*");
  platform.put_faults = {PutFault::kRequestLost};
  platform.failing_reads = -1;
  const auto reply = instance.Send("PUT", kSystem, Deadline(2), "1");
  BOOST_REQUIRE(reply.status == 504);
  platform.failing_reads = 0;
  const auto ask = reply.body.at("ask").get<std::string>();
  BOOST_TEST(instance.Send("GET", ask).body["outcome"] == "open");
  instance.Send("PUT", kSystem, Deadline(3), "1");
  BOOST_TEST(instance.Send("GET", ask).body["outcome"] == "not_accepted");
  for (int i = 2; i < 10; ++i) {
    instance.Send("PUT", kSystem, Deadline(i), std::to_string(i));
  }
  BOOST_TEST(instance.Send("GET", ask).status == 504);
}

// An operator's connection breaks before the reply, and the operator repeats
// the change under the same write id. It must not be rejected as a conflict
// with itself, nor match another value or precondition.
BOOST_AUTO_TEST_CASE(a_write_repeated_under_its_id_is_accepted_once) {
  FakePlatform platform;
  Instance instance(&platform);
  instance.Send("PUT", kSystem, Deadline(1), "*");
  const auto first = instance.Send("PUT", kSystem, Deadline(2), "1", "mine");
  BOOST_TEST(first.status == 200);
  Instance other(&platform);
  for (const Instance* it : {&instance, &other}) {
    const auto again = it->Send("PUT", kSystem, Deadline(2), "1", "mine");
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body["version"] == 2);
    BOOST_TEST(it->Send("PUT", kSystem, Deadline(9), "1", "mine").status ==
               409);
  }
  BOOST_TEST(platform.puts == 2);
}

// The platform is restored from a backup. A write over its content would get a
// version that other instances reject, so it must not be reported as accepted.
// Nor may an operator who saw only the old value overwrite the one in force.
BOOST_AUTO_TEST_CASE(a_restored_platform_gives_no_false_acceptance) {
  FakePlatform platform;
  Instance instance(&platform);
  instance.Send("PUT", kSystem, Deadline(1), "*");
  for (int i = 2; i <= 6; ++i) {
    instance.Send("PUT", kSystem, Deadline(i), std::to_string(i - 1));
  }
  instance.SyncFromPlatform();
  const auto backup = ToJson(hp::settings::NextEnvelope(
      std::nullopt, hp::Revision(), Deadline(2), "old", false));
  platform.counter = 2;
  platform.objects["settings/system"] = {"settings/system", hp::Revision(2),
                                         backup};
  const auto stale = instance.Send("PUT", kSystem, Deadline(50), "2");
  BOOST_TEST(stale.status == 409);
  BOOST_TEST(stale.body["version"] == 6);
  const auto early = instance.Send("PUT", kSystem, Deadline(50), "6");
  BOOST_TEST(early.status == 503);
  BOOST_TEST(early.body["error"]["name"] == "platform_went_back");
  BOOST_TEST(instance.Send("GET", kSystem).body["value"] == Deadline(6));
  // The platform's counter is raised past its old value, as docs/OPERATORS.md
  // advises.
  platform.counter = 20;
  const auto repaired = instance.Send("PUT", kSystem, Deadline(50), "6");
  BOOST_TEST(repaired.status == 200);
  BOOST_TEST(repaired.body["version"] == 21);
}

// A snapshot grows until it and the two manifests before it exceed the
// platform's size limit for one value. The older ones are dropped; only a
// manifest that is too large by itself is rejected.
BOOST_AUTO_TEST_CASE(previous_manifests_are_dropped_to_fit_the_size_limit) {
  FakePlatform platform;
  Instance instance(&platform);
  BOOST_TEST(
      instance.Send("PUT", "/v1/services/s", Service("b1"), "*").status == 200);
  const auto big = [](int version, int shards) {
    Json value = Manifest(version);
    for (int i = 0; i < shards; ++i) {
      value["shards"].push_back(
          {{"shard", std::string(90, 'x') + std::to_string(i)},
           {"service", "s"},
           {"documents", 1}});
    }
    return value;
  };
  std::string version = "*";
  for (int i = 1; i <= 3; ++i) {
    const auto reply =
        instance.Send("PUT", "/v1/snapshots/n", big(i, 3000), version);
    BOOST_REQUIRE(reply.status == 200);
    version = VersionOf(reply);
  }
  const auto& manifests =
      instance.configuration()->snapshots.at(hp::SnapshotName("n"));
  BOOST_TEST(manifests.size() == 2);
  BOOST_TEST(
      instance.Send("PUT", "/v1/snapshots/n", big(4, 9000), version).status ==
      413);
}

BOOST_AUTO_TEST_CASE(removing_a_server_named_by_a_manifest_gives_a_warning) {
  FakePlatform platform;
  Instance instance(&platform);
  instance.Send("PUT", "/v1/services/s", Service("b1"), "*");
  Json manifest = Manifest(1);
  manifest["shards"][0]["backend_servers"] = {"b1"};
  BOOST_TEST(instance.Send("PUT", "/v1/snapshots/n", manifest, "*").status ==
             200);
  const auto reply = instance.Send("PUT", "/v1/services/s", Service("b2"), "1");
  BOOST_REQUIRE(reply.status == 200);
  BOOST_REQUIRE(reply.body["warnings"].size() == 1);
  const auto deleted = instance.Send("DELETE", "/v1/services/s", nullptr, "3");
  BOOST_TEST(deleted.status == 200);
  BOOST_TEST(deleted.body["warnings"].size() == 1);
}

// A script writes to an instance immediately after its start. The platform's
// first answer is still on its way; the write waits for it.
BOOST_AUTO_TEST_CASE(a_write_waits_for_an_instance_that_just_started) {
  FakePlatform platform;
  Instance instance(&platform);
  auto ports = instance.ports();
  int looks = 0;
  ports.configuration =
      [&]() -> std::shared_ptr<const hp::settings::Configuration> {
    if (++looks < 5) return nullptr;
    return instance.configuration();
  };
  hp::operators::Request request;
  request.method = "PUT";
  request.path = kSystem;
  request.authorization = std::string("Bearer ") + hp::operators::kToken;
  request.if_none_match = "*";
  request.body = "{}";
  BOOST_TEST(Handle(ports, request).status == 200);
}

// An instance without a configuration can neither validate a value nor say what
// is in force.
BOOST_AUTO_TEST_CASE(an_instance_without_configuration_is_not_ready) {
  FakePlatform platform;
  Instance instance(&platform);
  auto ports = instance.ports();
  const auto unknown = std::make_shared<const hp::settings::Configuration>();
  ports.configuration = [&] { return unknown; };
  hp::operators::Request request;
  request.path = kSystem;
  request.authorization = std::string("Bearer ") + hp::operators::kToken;
  request.if_none_match = "*";
  request.body = "{}";
  for (const std::string method : {"GET", "PUT"}) {
    request.method = method;
    BOOST_TEST(Handle(ports, request).status == 503);
  }
  BOOST_TEST(platform.puts == 0);
}
