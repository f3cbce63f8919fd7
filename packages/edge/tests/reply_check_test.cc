#include "hibiscuspick/edge/reply_check.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

namespace bdata = boost::unit_test::data;

namespace hibiscuspick::edge {

std::ostream& operator<<(std::ostream& out, ReplyUse use) {
  return out << (use == ReplyUse::kAnswer ? "answer"
                 : use == ReplyUse::kSkip ? "skip"
                                          : "reject");
}

std::ostream& operator<<(std::ostream& out, ReplyDefect defect) {
  return out << DefectName(defect);
}

namespace {

const Header kId{"Id", "one"};
const Header kOther{"Id", "two"};
const Header kStamp{"Stamp", "s"};
const Header kNotRun{"Not-Run", "1"};

struct VerdictRow {
  const char* what;
  int status;
  std::vector<Header> headers;
  // On a connection's first request, and on a later one.
  ReplyVerdict first;
  ReplyVerdict later;
};

std::ostream& operator<<(std::ostream& out, const VerdictRow& row) {
  return out << row.what;
}

constexpr ReplyVerdict kAnswer{};
constexpr ReplyVerdict kAnswerUnnamed{ReplyUse::kAnswer,
                                      ReplyDefect::kNoRequestId};
constexpr ReplyVerdict kSkipUnnamed{ReplyUse::kSkip, ReplyDefect::kNoRequestId};
constexpr ReplyVerdict kSkipOther{ReplyUse::kSkip,
                                  ReplyDefect::kOtherRequestId};

constexpr ReplyVerdict Reject(ReplyDefect defect) {
  return {ReplyUse::kReject, defect};
}

VerdictRow Always(const char* what, int status, std::vector<Header> headers,
                  const ReplyVerdict& verdict) {
  return {what, status, std::move(headers), verdict, verdict};
}

VerdictRow Unnamed(const char* what, int status, std::vector<Header> headers,
                   const ReplyVerdict& first) {
  return {what, status, std::move(headers), first, kSkipUnnamed};
}

const VerdictRow kRows[] = {
    Always("success", 200, {kId, kStamp}, kAnswer),
    Always("failure", 500, {kId, kStamp}, kAnswer),
    Always("failure without a stamp", 404, {kId}, kAnswer),
    Always("refusal", 503, {kId, kNotRun}, kAnswer),
    Always("misdirected", 421, {kId}, kAnswer),
    Always("another's success", 200, {kOther, kStamp}, kSkipOther),
    Always("another's refusal", 503, {kOther, kNotRun}, kSkipOther),
    Always("two ids", 200, {kId, kOther, kStamp},
           Reject(ReplyDefect::kRepeatedField)),
    Always("two ids of a refusal", 503, {kOther, kId, kNotRun},
           Reject(ReplyDefect::kRepeatedField)),
    Always("an empty id and one", 500, {{"Id", ""}, kId},
           Reject(ReplyDefect::kRepeatedField)),
    Always("two stamps", 500, {kId, kStamp, kStamp},
           Reject(ReplyDefect::kRepeatedField)),
    Always("two marks of a refusal", 503, {kId, kNotRun, kNotRun},
           Reject(ReplyDefect::kRepeatedField)),
    Always("no stamp", 200, {kId}, Reject(ReplyDefect::kNoStamp)),
    Always("empty stamp", 204, {kId, {"Stamp", ""}},
           Reject(ReplyDefect::kNoStamp)),
    Always("success that has not run", 200, {kId, kStamp, kNotRun},
           Reject(ReplyDefect::kNotRunSuccess)),
    Always("another's reply with an invalid status", 700, {kOther}, kSkipOther),
    Always("an invalid status", 0, {kId, kStamp},
           Reject(ReplyDefect::kInvalidStatus)),
    Always("an invalid status that has not run", 600, {kId, kNotRun},
           Reject(ReplyDefect::kInvalidStatus)),
    Unnamed("an invalid status without an id", 99, {},
            Reject(ReplyDefect::kInvalidStatus)),
    Unnamed("success without an id", 200, {kStamp},
            Reject(ReplyDefect::kNoRequestId)),
    Unnamed("failure without an id", 500, {kStamp},
            Reject(ReplyDefect::kNoRequestId)),
    Unnamed("failure with an empty id", 404, {{"Id", ""}},
            Reject(ReplyDefect::kNoRequestId)),
    Unnamed("refusal without an id", 400, {kNotRun}, kAnswerUnnamed),
    Unnamed("misdirected without an id", 421, {}, kAnswerUnnamed),
    Unnamed("success without an id that has not run", 200, {kStamp, kNotRun},
            Reject(ReplyDefect::kNoRequestId)),
};

// Failure: an invalid status of a peer or the store is taken as an answer.
BOOST_DATA_TEST_CASE(InvalidStatusesAreRejectedWithoutNames,
                     bdata::make({0, 1, 99, 101, 600, 999}), status) {
  HttpReply reply;
  reply.status = status;
  BOOST_TEST(JudgeReply(reply, {}, true).use == ReplyUse::kReject);
}

class Judge {
 public:
  Judge() {
    names_.request_id = "id";
    names_.stamp = "stamp";
    names_.not_run = "not-run";
  }
  ReplyVerdict operator()(const VerdictRow& row, const std::string& id,
                          bool is_first) const {
    HttpReply reply;
    reply.status = row.status;
    reply.headers = row.headers;
    return JudgeReply(reply, {&names_, id}, is_first);
  }

 private:
  WireNames names_;
};

// Failure: the status, or the first of several fields, decides whose it is.
BOOST_DATA_TEST_CASE(RepliesAreJudgedByIdentity, bdata::make(kRows), row) {
  const Judge judge;
  for (const bool is_first : {true, false}) {
    const auto verdict = judge(row, "one", is_first);
    const auto& expected = is_first ? row.first : row.later;
    BOOST_TEST(verdict.use == expected.use);
    BOOST_TEST(verdict.defect == expected.defect);
  }
}

// Failure: the reply to a request without an id is taken as another's.
BOOST_AUTO_TEST_CASE(RequestsWithoutIdAreAnsweredOnNewConnections) {
  const Judge judge;
  const auto row = Always("", 200, {kStamp}, kAnswer);
  BOOST_TEST(judge(row, "", true).use == ReplyUse::kAnswer);
  BOOST_TEST(judge(row, "", true).defect == ReplyDefect::kNoRequestId);
  BOOST_TEST(judge(row, "", false).use == ReplyUse::kSkip);
}

}  // namespace
}  // namespace hibiscuspick::edge
