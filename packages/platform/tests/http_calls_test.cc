#include "hibiscuspick/platform/http_calls.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "hibiscuspick/http/server.h"

namespace data = boost::unit_test::data;
namespace hp = hibiscuspick;
namespace hpp = hibiscuspick::platform;
using hp::Code;
using hp::Json;
using hp::Revision;

namespace {

// Answers every request with one status and body, and records the last request.
struct FixedReplyServer {
  int status = 200;
  std::string body;
  std::atomic<int> requests{0};
  std::string path;
  std::string if_match;
  std::string if_none_match;
  hp::http::Server server{{}};

  FixedReplyServer(int answer_status, std::string answer_body)
      : status(answer_status), body(std::move(answer_body)) {
    const auto handler = [this](const httplib::Request& request,
                                httplib::Response& response) {
      ++requests;
      path = request.target;
      if_match = request.get_header_value("If-Match");
      if_none_match = request.get_header_value("If-None-Match");
      response.status = status;
      response.set_content(body, "application/json");
    };
    server.Get(".*", handler);
    server.Put(".*", handler);
    BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  }
  hpp::Calls MakeCalls() const {
    return hpp::MakeHttpCalls({"127.0.0.1", server.port()});
  }
};

struct PutCase {
  std::string name;
  int status;
  std::string body;
  Code code;
};
std::ostream& operator<<(std::ostream& out, const PutCase& it) {
  return out << it.name;
}

const PutCase kPuts[] = {
    {"applied", 200, R"({"version": 7})", Code::kOk},
    {"created", 201, R"({"version": 7})", Code::kOk},
    {"conflict", 412, R"({"version": 9, "value": 1})", Code::kPlatformConflict},
    {"down", 503, "", Code::kPlatformUnavailable},
    {"too large", 413, "", Code::kPlatformUnavailable},
    {"server error", 500, "", Code::kPlatformReplyLost},
    {"gateway timeout", 504, "", Code::kPlatformReplyLost},
    {"no version", 200, "{}", Code::kPlatformReplyLost},
    {"not JSON", 200, "<html>", Code::kPlatformReplyLost},
    {"a negative version", 200, R"({"version": -1})", Code::kPlatformReplyLost},
};

struct ReadCase {
  std::string name;
  int status;
  std::string body;
  Code code;
};
std::ostream& operator<<(std::ostream& out, const ReadCase& it) {
  return out << it.name;
}

const ReadCase kLists[] = {
    {"empty", 200, R"({"complete_to": 4, "objects": []})", Code::kOk},
    {"down", 503, "", Code::kPlatformUnavailable},
    {"truncated", 200, R"({"complete_to": 4, "obj)",
     Code::kPlatformUnavailable},
    {"one malformed object", 200,
     R"({"complete_to": 4, "objects": [{"name": "a"}]})",
     Code::kPlatformUnavailable},
    {"no revision", 200, R"({"objects": []})", Code::kPlatformUnavailable},
    {"an array", 200, "[]", Code::kPlatformUnavailable},
};

template <class T>
Code CodeOf(const hp::Result<T>& result) {
  return IsOk(result) ? Code::kOk : ErrorOf(result).code;
}

}  // namespace

// Only an unambiguous reply may be interpreted as applied or not applied; all
// others must be resolved by reading the object back.
BOOST_DATA_TEST_CASE(ambiguous_put_replies_count_as_lost, data::make(kPuts),
                     it) {
  FixedReplyServer platform(it.status, it.body);
  const auto result = platform.MakeCalls().put("config", "services/x",
                                               Json::object(), Revision(3));
  BOOST_TEST((CodeOf(result) == it.code));
  if (IsOk(result)) BOOST_TEST(ValueOf(result).value == 7);
  BOOST_TEST(platform.requests == 1);
  BOOST_TEST(platform.if_match == "3");
}

BOOST_DATA_TEST_CASE(malformed_lists_are_rejected, data::make(kLists), it) {
  FixedReplyServer platform(it.status, it.body);
  const auto calls = platform.MakeCalls();
  BOOST_TEST((CodeOf(calls.list("config", Revision(3))) == it.code));
  BOOST_TEST(platform.path == "/objects/config?after=3");
  BOOST_TEST(
      (CodeOf(calls.watch("config", Revision(3), hp::Millis(50))) == it.code));
  BOOST_TEST(platform.path == "/watch/config?after=3&wait_ms=50");
}

BOOST_AUTO_TEST_CASE(object_names_keep_their_slashes) {
  FixedReplyServer platform(200, R"({"version": 2, "value": {"a": 1}})");
  const auto calls = platform.MakeCalls();
  const auto result = calls.get("config", "settings/customer/c");
  BOOST_REQUIRE(IsOk(result));
  BOOST_TEST(ValueOf(result).value == Json({{"a", 1}}));
  BOOST_TEST(platform.path == "/objects/config/settings/customer/c");
  calls.put("config", "settings/customer/c", 1, std::nullopt);
  BOOST_TEST(platform.if_none_match == "*");
}

BOOST_AUTO_TEST_CASE(malformed_listed_instances_are_skipped) {
  FixedReplyServer platform(200, R"([
      {"id": "a", "address": "127.0.0.1", "inner_port": 8201,
       "data_centre": "osl-1", "state": "leaving"},
      {"id": "b", "address": "somewhere", "inner_port": 8201,
       "data_centre": "osl-1", "state": "live"},
      7])");
  const auto result = platform.MakeCalls().instances();
  BOOST_REQUIRE(IsOk(result));
  BOOST_REQUIRE(ValueOf(result).size() == 1);
  BOOST_TEST(ValueOf(result)[0].id.text == "a");
  BOOST_TEST(ValueOf(result)[0].inner.port == 8201);
  BOOST_TEST(ValueOf(result)[0].leaving);
}

// Nothing listens at the platform's address. Nothing was sent, so the write was
// certainly not applied.
BOOST_AUTO_TEST_CASE(failed_connect_is_not_applied) {
  uint16_t port = 0;
  {
    FixedReplyServer gone(200, "{}");
    port = gone.server.port();
  }
  const auto calls = hpp::MakeHttpCalls({"127.0.0.1", port});
  BOOST_TEST((CodeOf(calls.put("config", "x", 1, std::nullopt)) ==
              Code::kPlatformUnavailable));
}

// The platform applies a write and closes the connection before it replies. If
// the client sent the request again by itself, it could be applied twice.
BOOST_AUTO_TEST_CASE(put_is_never_sent_twice) {
  hp::http::Server server({});
  std::atomic<int> requests{0};
  server.Put(".*", [&](const auto&, auto& response) {
    ++requests;
    response.set_content_provider(
        100, "application/json",
        [](size_t, size_t, httplib::DataSink&) { return false; });
  });
  BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  const auto calls = hpp::MakeHttpCalls({"127.0.0.1", server.port()});
  BOOST_TEST((CodeOf(calls.put("config", "x", 1, std::nullopt)) ==
              Code::kPlatformReplyLost));
  BOOST_TEST(requests == 1);
}

// An instance shuts down during a watch and must not wait for the end of the
// watch.
BOOST_AUTO_TEST_CASE(close_aborts_a_running_watch) {
  hp::http::Server server({});
  std::atomic<bool> entered{false};
  server.Get(".*", [&](const auto&, auto&) {
    entered = true;
    while (!hp::http::CallerGone()) std::this_thread::yield();
  });
  BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  const auto calls = hpp::MakeHttpCalls({"127.0.0.1", server.port()});
  Code code = Code::kOk;
  std::thread watcher([&] {
    code = CodeOf(calls.watch("config", Revision(), hp::Millis(600000)));
  });
  while (!entered) std::this_thread::yield();
  calls.close();
  watcher.join();
  BOOST_TEST((code == Code::kPlatformUnavailable));
  BOOST_TEST((CodeOf(calls.get("config", "x")) == Code::kPlatformUnavailable));
}
