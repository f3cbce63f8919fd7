// One query's reply, reduced to what a load report needs.
#pragma once

#include <cstdint>
#include <string>

#include "hibiscuspick/base/code.h"
#include "hibiscuspick/base/json.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/http/connection.h"

namespace hibiscuspick::cli {

enum class AnswerKind {
  kWhole,    // 200
  kPartial,  // 206
  kRefused,  // the daemon's error, see `code`
  kFailed,   // no sound reply, see `code`
};

struct LoadAnswer {
  uint32_t route = 0;
  AnswerKind kind = AnswerKind::kFailed;
  // The daemon's code or that of the broken connection.
  Code code = Code::kOk;
  // From the instant the query was due, not from when it was sent.
  Millis latency;
  // How long after its instant it was sent.
  Millis late;
  // Covered documents as a share of all.
  double coverage = 0;
  uint64_t shards = 0;
  uint64_t attempts = 0;
  // With --verify: a hit of another query, of another version, or a count that
  // contradicts itself.
  bool wrong = false;
};

// Reads kind, code and figures of a reply. `mark` is the query's, to check
// hits against; empty checks nothing.
LoadAnswer ReadAnswer(const Result<http::Reply>& reply,
                      const std::string& mark);

// The mark by which the stand-ins' hits tell their query.
std::string QueryMark(const Json& query);

}  // namespace hibiscuspick::cli
