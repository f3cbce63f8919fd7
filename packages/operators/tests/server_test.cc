#include "hibiscuspick/operators/server.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "api_fixture.h"
#include "hibiscuspick/http/connection.h"
#include "hibiscuspick/operators/bearer_token.h"

namespace data = boost::unit_test::data;
namespace hp = hibiscuspick;
using hp::http::MakeRequest;
using hp::operators::Instance;

namespace {

const hp::Millis kLong(60000);
std::string GoodToken() {
  return std::string("Bearer ") + hp::operators::kToken;
}

// The operators' port of an instance.
struct Port {
  hp::platform::FakePlatform platform;
  Instance instance{&platform};
  hp::http::Server server{{}};

  Port() {
    AddRoutes(&server,
              std::make_shared<hp::operators::Ports>(instance.ports()));
    BOOST_REQUIRE(IsOk(server.Start("127.0.0.1", 0)));
  }
  // Returns the status, or 0 if the connection was closed instead.
  int Send(httplib::Request request, std::string* body = nullptr) const {
    hp::http::Connection connection({"127.0.0.1", server.port()}, {});
    const auto result = connection.Send(std::move(request), kLong);
    if (!IsOk(result)) return 0;
    if (body) *body = ValueOf(result).body;
    return ValueOf(result).status;
  }
};

httplib::Request With(httplib::Request request, const std::string& name,
                      const std::string& value) {
  request.set_header(name, value);
  return request;
}

httplib::Request Get(const std::string& path) {
  return With(MakeRequest("GET", path), "Authorization", GoodToken());
}

struct TokenCase {
  std::string authorization;
  bool good;
};
std::ostream& operator<<(std::ostream& out, const TokenCase& it) {
  return out << it.authorization;
}

const TokenCase kTokens[] = {
    {"Bearer secret", true},
    {"Bearer secre", false},
    {"Bearer secrets", false},
    {"Bearer ", false},
    {"Bearer", false},
    {"", false},
    {"Basic secret", false},
    {"bearer secret", false},
    {"Bearer secretsecret", false},
    {"Bearer Secret", false},
};

}  // namespace

BOOST_DATA_TEST_CASE(only_the_exact_token_is_accepted, data::make(kTokens),
                     it) {
  BOOST_TEST(hp::operators::IsAuthorized(it.authorization, "secret") ==
             it.good);
  BOOST_TEST(!hp::operators::IsAuthorized(it.authorization, ""));
}

BOOST_AUTO_TEST_CASE(without_the_token_nothing_is_revealed) {
  const Port port;
  for (const std::string path : {"/v1/status", "/metrics", "/v1/services/s"}) {
    std::string body;
    BOOST_TEST(port.Send(MakeRequest("GET", path), &body) == 401);
    BOOST_TEST(body.find("members") == std::string::npos);
    BOOST_TEST(port.Send(With(MakeRequest("GET", path), "Authorization",
                              "Bearer wrong")) == 401);
  }
  BOOST_TEST(port.Send(Get("/v1/status")) == 200);
  std::string metrics;
  BOOST_TEST(port.Send(Get("/metrics"), &metrics) == 200);
  BOOST_TEST(metrics == "hp_up 1\n");
}

BOOST_AUTO_TEST_CASE(a_write_goes_through_http) {
  const Port port;
  auto request = With(
      MakeRequest("PUT", "/v1/settings/customer/c", R"({"deadline_ms": 100})"),
      "Authorization", GoodToken());
  request.set_header("If-None-Match", "*");
  std::string body;
  BOOST_TEST(port.Send(request, &body) == 200);
  BOOST_TEST(hp::Json::parse(body)["version"] == 1);
  BOOST_TEST(port.Send(Get("/v1/settings/customer/c?effective=true"), &body) ==
             200);
  BOOST_TEST(hp::Json::parse(body)["effective"]["deadline_ms"]["level"] ==
             "customer");
}

// A client sends invalid requests. The port must reject them with a status or
// by closing the connection, and keep serving.
BOOST_AUTO_TEST_CASE(oversized_and_malformed_requests_are_rejected) {
  const Port port;
  const auto put = [&](std::string body) {
    auto request = With(MakeRequest("PUT", "/v1/routes/r", std::move(body)),
                        "Authorization", GoodToken());
    request.set_header("If-None-Match", "*");
    return port.Send(request);
  };
  BOOST_TEST(put("{") == 400);
  BOOST_TEST(put("") == 400);
  BOOST_TEST(put("\xff\xfe") == 400);
  BOOST_TEST(put("{\"snapshot\": 1e999}") == 400);
  BOOST_TEST(put(std::string(100000, '[')) == 400);
  BOOST_TEST(put(std::string(2 << 20, ' ')) == 413);
  BOOST_TEST(put(R"({"snapshot": ")" + std::string(5000, 'n') + "\"}") == 422);
  const int status =
      port.Send(With(Get("/v1/status"), "X-Long", std::string(100000, 'x')));
  BOOST_TEST((status == 0 || status >= 400));
  BOOST_TEST(port.Send(Get("/v1/services/%2e%2e")) == 404);
  BOOST_TEST(port.Send(Get("/v1/services/" + std::string(5000, 'a'))) == 404);
  BOOST_TEST(port.Send(Get("/v1/status")) == 200);
}
