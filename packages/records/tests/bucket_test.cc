#include "hibiscuspick/records/bucket.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

namespace hibiscuspick::records {

namespace data = boost::unit_test::data;

constexpr Millis kNow{1764700000000};

struct KeyCase {
  std::string name;
  std::string key;
  // kOk for a key that has a location.
  Code code;
  bool dated;
};
std::ostream& operator<<(std::ostream& out, const KeyCase& it) {
  return out << it.name;
}
const KeyCase kKeys[] = {
    {"undated", "claim-17", Code::kOk, false},
    {"dated", "1764699999000-claim", Code::kOk, true},
    {"slightly ahead", "1764700030000-x", Code::kOk, true},
    {"far ahead", "1764700090000-x", Code::kMalformedRequest, true},
    {"too old", "1764600000000-x", Code::kKeyTooOld, true},
    {"digits alone", "1764699999000", Code::kOk, false},
    {"empty", "", Code::kMalformedRequest, false},
    {"too long", std::string(129, 'k'), Code::kMalformedRequest, false},
    {"control character", "a\nb", Code::kMalformedRequest, false},
};

BOOST_DATA_TEST_CASE(keys_have_one_location, data::make(kKeys), it) {
  const auto location = LocateKey(Rules{}, "claims", it.key, kNow);
  BOOST_TEST_REQUIRE(IsOk(location) == (it.code == Code::kOk));
  if (IsOk(location)) {
    BOOST_TEST((ValueOf(location).epoch > 0) == it.dated);
    const auto later =
        LocateKey(Rules{}, "claims", it.key, kNow + Millis(9000));
    BOOST_TEST(ValueOf(later).bucket == ValueOf(location).bucket);
  } else {
    BOOST_TEST((ErrorOf(location).code == it.code));
  }
}

// An operator sets a window longer than the ring. If it applied, a key would be
// accepted although its claim has been removed.
BOOST_AUTO_TEST_CASE(a_window_never_exceeds_the_ring) {
  Rules rules;
  rules.window = Millis(30.0 * 24 * 3600 * 1000);
  BOOST_TEST(MaxWindow(rules.layout).count == 24.0 * 3600 * 1000);
  BOOST_TEST(!IsOk(LocateKey(rules, "claims", "1764600000000-x", kNow)));
}

BOOST_AUTO_TEST_CASE(a_bucket_survives_a_round_trip) {
  BucketValue value;
  value.epoch = 9;
  value.entries["s/a"] = {"t1", 0xffffffffffffffffULL, EntryState::kClaimed,
                          ""};
  value.entries["s/b"] = {"t2", 1, EntryState::kDone, "{\"n\":1}"};
  value.entries["s/c"] = {"t3", 2, EntryState::kFailed, "no"};
  const auto read = BucketFromJson(*std::get_if<Json>(
      std::make_unique<Result<Json>>(ParseJson(DumpJson(ToJson(value))))
          .get()));
  BOOST_TEST_REQUIRE(IsOk(read));
  BOOST_TEST(ValueOf(read).epoch == 9U);
  BOOST_TEST(ToJson(ValueOf(read)) == ToJson(value));
}

const char* const kBadBuckets[] = {
    "[]",
    "{}",
    R"({"epoch":-1,"entries":{}})",
    R"({"epoch":1,"entries":[]})",
    R"({"epoch":1,"entries":{"k":["t",1,"z",""]}})",
    R"({"epoch":1,"entries":{"k":["t",1,"c"]}})"};

// The object was overwritten with something else. If it counted as empty, every
// key in it would run again.
BOOST_DATA_TEST_CASE(an_unparsable_bucket_is_an_error, data::make(kBadBuckets),
                     text) {
  auto json = ParseJson(text);
  BOOST_TEST(!IsOk(BucketFromJson(ValueOf(json))));
}

BOOST_AUTO_TEST_CASE(a_full_bucket_accepts_outcomes_but_no_claims) {
  Rules rules;
  rules.max_bucket_bytes = 100;
  BucketValue value;
  BOOST_TEST(
      (Apply(rules, &value, Claim{"s/a", 0, std::string(50, 't'), 1}).kind ==
       VerdictKind::kApplied));
  BOOST_TEST((Apply(rules, &value, Claim{"s/b", 0, "t2", 1}).kind ==
              VerdictKind::kFull));
  const StoreOutcome outcome{"s/a", 0, std::string(50, 't'), EntryState::kDone,
                             "1"};
  BOOST_TEST((Apply(rules, &value, outcome).kind == VerdictKind::kApplied));
}

}  // namespace hibiscuspick::records
