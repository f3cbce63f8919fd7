#include "hibiscuspick/front/callers_api.h"

#include <algorithm>
#include <string>
#include <utility>

#include "answer_body.h"
#include "hibiscuspick/base/log.h"
#include "http_text.h"
#include "request_body.h"

namespace hibiscuspick::front {
namespace {

constexpr char kTakenHelp[] = "Time from a request's arrival to its answer.";
constexpr char kAnsweredHelp[] = "Requests answered, by kind and result code.";

// What the library itself answers, before any handler of ours.
Code CodeOfStatus(int status) {
  switch (status) {
    case 404:
      return Code::kNotFound;
    case 413:
    case 414:
      return Code::kRequestTooLarge;
    default:
      return Code::kMalformedRequest;
  }
}

Refusal RefusalOf(const Error& error) {
  Refusal refusal{error.code, Ran::kNo, error.message, Millis(0)};
  if (!error.place.empty()) {
    refusal.message = error.place + ": " + error.message;
  }
  if (error.code == Code::kNotReady) refusal.retry_after = Millis(1000);
  return refusal;
}

// The last part of a path, which the server matched with a pattern.
std::string NameIn(const httplib::Request& request) {
  return request.matches.size() > 1 ? request.matches[1].str() : "";
}

}  // namespace

// A request within its customer's limits; gives its place back at the end.
class CallersApi::Admitted {
 public:
  Admitted(CallersApi* api, const CustomerId& customer) : api_(api) {
    const routing::CustomerRules rules = api->ports_.customer_rules(customer);
    const std::lock_guard lock(api->limits_mutex_);
    admission_ = routing::Admit(&api->limits_, customer, rules, SteadyNow());
  }
  ~Admitted() {
    if (!admission_.admitted) return;
    const std::lock_guard lock(api_->limits_mutex_);
    routing::Release(&api_->limits_, admission_.entry);
  }
  Admitted(const Admitted&) = delete;
  Admitted& operator=(const Admitted&) = delete;

  bool ok() const { return admission_.admitted; }
  Refusal refusal() const {
    return {Code::kCustomerLimit, Ran::kNo, "",
            Max(Millis(1), admission_.retry_after)};
  }

 private:
  CallersApi* const api_;
  routing::Admission admission_;
};

CallersApi::CallersApi(CallersPorts ports, metrics::Registry* registry)
    : ports_(std::move(ports)), registry_(registry) {}

void CallersApi::AddTo(http::Server* server) {
  server->Post(R"(/v1/query/([^/]+))",
               [this](const auto& request, auto& response) {
                 Query(request, &response);
               });
  server->Post(R"(/v1/record/([^/]+))",
               [this](const auto& request, auto& response) {
                 Record(request, &response);
               });
  server->Get("/healthz", [](const auto&, auto& response) {
    response.set_content("{\"alive\":true}", kJsonType);
  });
  server->Get("/readyz", [this](const auto&, auto& response) {
    const Code code = ports_.readiness();
    if (code == Code::kOk) {
      response.set_content("{\"ready\":true}", kJsonType);
    } else {
      WriteRefusal({code, Ran::kNo, "", Millis(1000)}, &response);
    }
  });
  server->set_error_handler([](const auto&, auto& response) {
    if (!response.body.empty()) return;
    const Refusal refusal{CodeOfStatus(response.status), Ran::kNo, "",
                          Millis(0)};
    response.set_content(RefusalBody(refusal), kJsonType);
  });
  // Nothing of ours throws; this is for the library and for lack of memory,
  // where it is not known how far the request came.
  server->set_exception_handler([](const auto&, auto& response, auto) {
    const Refusal refusal{Code::kDeadlineExceeded, Ran::kMaybe,
                          "the request failed inside", Millis(0)};
    response.status = 500;
    response.set_content(RefusalBody(refusal), kJsonType);
  });
}

void CallersApi::Query(const httplib::Request& request,
                       httplib::Response* response) {
  const Millis arrived = SteadyNow();
  const std::string request_id = RequestIdOf(request);
  response->set_header("X-Request-Id", request_id);
  const RouteId route(NameIn(request));
  const Outcome outcome =
      RunQuery(request, request_id, route, arrived, response);
  const Millis taken = SteadyNow() - arrived;
  // Only configured routes become labels: a caller that makes up names must
  // not make up series.
  if (outcome.is_known) {
    registry_
        ->GetLatency("hp_query_seconds", kTakenHelp,
                     {{"route", route.text},
                      {"lane", std::string(LaneName(outcome.lane))}})
        .Observe(taken);
  }
  Count("query", outcome.code);
}

CallersApi::Outcome CallersApi::RunQuery(const httplib::Request& request,
                                         const std::string& request_id,
                                         const RouteId& route, Millis arrived,
                                         httplib::Response* response) {
  const auto refuse = [&](const Refusal& refusal) {
    WriteRefusal(refusal, response);
    return refusal.code;
  };
  const auto customer = CustomerOf(request);
  if (!IsOk(customer)) return {refuse(RefusalOf(ErrorOf(customer)))};
  const auto view = ports_.find_route(route, ValueOf(customer));
  if (!IsOk(view)) return {refuse(RefusalOf(ErrorOf(view)))};
  const routing::RouteValues& values = ValueOf(view).values;
  Outcome outcome{Code::kOk, true, values.lane};
  const Admitted admitted(this, ValueOf(customer));
  if (!admitted.ok()) {
    outcome.code = refuse(admitted.refusal());
    return outcome;
  }
  auto read = ReadQuery(request.body, values);
  if (!IsOk(read)) {
    outcome.code = refuse(RefusalOf(ErrorOf(read)));
    return outcome;
  }
  routing::QueryRequest query = std::move(ValueOf(read));
  query.request_id = request_id;
  query.customer = ValueOf(customer);
  query.route = route;
  const double min_coverage = query.min_coverage;
  const auto plans = [&]() -> routing::Plans {
    const auto now = ports_.find_route(route, ValueOf(customer));
    return IsOk(now) ? ValueOf(now).plans : ValueOf(view).plans;
  };
  const routing::Answer answer =
      ports_.run_query(std::move(query), arrived, plans, http::CallerGone);
  outcome.code = answer.code;
  if (answer.code != Code::kOk) {
    refuse({answer.code, answer.ran, "", answer.retry_after});
    return outcome;
  }
  response->status = answer.coverage < min_coverage ? 206 : 200;
  response->set_content(
      AnswerBody(request_id, answer, ports_.configuration_age()), kJsonType);
  return outcome;
}

void CallersApi::Record(const httplib::Request& request,
                        httplib::Response* response) {
  const Millis arrived = SteadyNow();
  const std::string request_id = RequestIdOf(request);
  response->set_header("X-Request-Id", request_id);
  const Code code = RunRecord(request, request_id, arrived, response);
  registry_->GetLatency("hp_record_seconds", kTakenHelp)
      .Observe(SteadyNow() - arrived);
  Count("record", code);
}

Code CallersApi::RunRecord(const httplib::Request& request,
                           const std::string& request_id, Millis arrived,
                           httplib::Response* response) {
  const auto refuse = [&](const Refusal& refusal) {
    WriteRefusal(refusal, response);
    return refusal.code;
  };
  const auto customer = CustomerOf(request);
  if (!IsOk(customer)) return refuse(RefusalOf(ErrorOf(customer)));
  auto read = ReadRecord(request.body);
  if (!IsOk(read)) return refuse(RefusalOf(ErrorOf(read)));
  records::RecordRequest record = std::move(ValueOf(read));
  record.request_id = request_id;
  record.customer = ValueOf(customer);
  record.service = ServiceId(NameIn(request));
  const auto values =
      ports_.find_service(record.service, record.shard, record.customer);
  if (!IsOk(values)) return refuse(RefusalOf(ErrorOf(values)));
  const RecordValues& limits = ValueOf(values);
  if (record.deadline <= Millis(0)) record.deadline = limits.deadline;
  if (record.deadline > limits.max_deadline) {
    return refuse({Code::kMalformedRequest, Ran::kNo,
                   "$.deadline_ms: is over the service's max_deadline_ms",
                   Millis(0)});
  }
  const Admitted admitted(this, record.customer);
  if (!admitted.ok()) return refuse(admitted.refusal());
  const records::RecordAnswer answer = ports_.run_record(record, arrived);
  if (answer.code != Code::kOk) {
    return refuse(
        {answer.code, answer.ran, answer.message, answer.retry_after});
  }
  response->set_content(RecordBody(answer.result), kJsonType);
  return Code::kOk;
}

void CallersApi::Count(const std::string& kind, Code code) {
  registry_
      ->GetCounter("hp_requests_total", kAnsweredHelp,
                   {{"kind", kind}, {"code", std::string(CodeName(code))}})
      .Add();
}

}  // namespace hibiscuspick::front
