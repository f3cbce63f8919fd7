#include <spdlog/pattern_formatter.h>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "hibiscuspick/base/address.h"
#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/lane.h"
#include "hibiscuspick/base/log.h"

namespace data = boost::unit_test::data;
using hibiscuspick::CodeTable;
using hibiscuspick::IsOk;
using hibiscuspick::ParseAddress;
using hibiscuspick::ParseJson;

BOOST_AUTO_TEST_CASE(every_code_has_its_own_number_and_name) {
  std::set<std::string> names;
  int last = -1;
  for (const auto& row : CodeTable()) {
    BOOST_TEST(static_cast<int>(row.code) > last);
    last = static_cast<int>(row.code);
    BOOST_TEST(names.insert(std::string(row.name)).second);
    BOOST_TEST(!row.meaning.empty());
  }
}

struct AddressCase {
  std::string text;
  bool good;
};
std::ostream& operator<<(std::ostream& out, const AddressCase& it) {
  return out << it.text;
}

const AddressCase kAddresses[] = {
    {"127.0.0.1:8001", true},   {"10.1.2.3:65535", true},
    {"127.0.0.1", false},       {"127.0.0.1:0", false},
    {"127.0.0.1:65536", false}, {"localhost:80", false},
    {"127.0.0.1:80x", false},   {"", false},
    {"300.0.0.1:80", false},    {"127.0.0.1:-1", false},
};

BOOST_DATA_TEST_CASE(addresses_are_ip_numbers_with_ports,
                     data::make(kAddresses), it) {
  BOOST_TEST(IsOk(ParseAddress(it.text)) == it.good);
}

struct JsonCase {
  std::string name;
  std::string text;
  bool good;
};
std::ostream& operator<<(std::ostream& out, const JsonCase& it) {
  return out << it.name;
}

const JsonCase kDocuments[] = {
    {"object", R"({"a": [1, 2.5, "x"]})", true},
    {"cut short", R"({"a": [1)", false},
    {"not UTF-8", "{\"a\": \"\xff\xfe\"}", false},
    {"deepest allowed", std::string(64, '[') + std::string(64, ']'), true},
    {"too deep", std::string(65, '[') + std::string(65, ']'), false},
    {"a hundred thousand deep", std::string(100000, '['), false},
    {"brackets in a string", "\"" + std::string(1000, '[') + "\"", true},
    {"comment", "{} // no", false},
    {"empty", "", false},
    {"a number out of range", "1e999", false},
};

BOOST_DATA_TEST_CASE(documents_are_read_within_bounds, data::make(kDocuments),
                     it) {
  BOOST_TEST(IsOk(ParseJson(it.text)) == it.good);
}

BOOST_AUTO_TEST_CASE(comments_are_read_where_allowed) {
  const auto result =
      ParseJson("{// why\n\"a\": 1}", hibiscuspick::JsonComments::kAllowed);
  BOOST_TEST(IsOk(result));
}

// One value of a page can't be read; all others are there afterwards.
BOOST_AUTO_TEST_CASE(what_can_not_be_read_is_put_aside) {
  struct Row {
    const char* text;
    const char* mended;
  };
  const Row rows[] = {
      {"{\"a\": \"\xff\", \"b\": 1}", R"({"a":null,"b":1})"},
      {"{\"\xff\": 2, \"b\": 1}", "{\"b\":1,\"\xef\xbf\xbd\":2}"},
      {R"([NaN, -Infinity, 1e999, 0x7, 01, 2])",
       "[null,null,null,null,null,2]"},
      {R"(["\ud800", "\x", "a\"b", "{[,:"])", R"([null,null,"a\"b","{[,:"])"},
      {R"({"a" : tru, "b" : true})", R"({"a":null,"b":true})"},
  };
  for (const auto& row : rows) {
    const auto read = ParseJson(hibiscuspick::MendJson(row.text));
    BOOST_TEST_REQUIRE(IsOk(read));
    BOOST_TEST(hibiscuspick::DumpJson(hibiscuspick::ValueOf(read)) ==
               row.mended);
  }
  const std::string deep = std::string(99, '[') + std::string(99, ']');
  BOOST_TEST(IsOk(ParseJson(hibiscuspick::MendJson("[" + deep + ", 1]"))));
  for (const char* lost : {"", "{", "[1, 2", "{\"a\" 1}", "[\"a]", "]"}) {
    BOOST_TEST(!IsOk(ParseJson(hibiscuspick::MendJson(lost))));
  }
}

BOOST_AUTO_TEST_CASE(lanes_are_spelled_one_way) {
  for (const auto it : hibiscuspick::kAllLanes) {
    BOOST_TEST((hibiscuspick::ParseLane(hibiscuspick::LaneName(it)) == it));
  }
  BOOST_TEST(!hibiscuspick::ParseLane("Urgent").has_value());
}

// A message quotes what a caller sent. If it went into a JSON line as it is, a
// log collector would drop the line, or read fields the caller made up.
BOOST_AUTO_TEST_CASE(a_json_log_line_is_json_whatever_the_text) {
  const auto formatter =
      hibiscuspick::MakeLogFormatter(hibiscuspick::LogFormat::kJson, "osl-1-a");
  const std::string text = "a \"quote\", a \\ and a\nnew line \xff";
  const spdlog::details::log_msg message("route", spdlog::level::info, text);
  spdlog::memory_buf_t out;
  formatter->format(message, out);
  const auto line = ParseJson(std::string(out.data(), out.size()));
  BOOST_TEST_REQUIRE(IsOk(line));
  const auto& json = hibiscuspick::ValueOf(line);
  BOOST_TEST(json["part"] == "route");
  BOOST_TEST(json["instance"] == "osl-1-a");
  BOOST_TEST(json["text"].get<std::string>().find("\"quote\"") !=
             std::string::npos);
}
