// The callers' API over HTTP: queries, records and the two probes.
#pragma once

#include <functional>
#include <mutex>
#include <string>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/result.h"
#include "hibiscuspick/http/server.h"
#include "hibiscuspick/metrics/registry.h"
#include "hibiscuspick/records/record_runner.h"
#include "hibiscuspick/routing/customer_limits.h"
#include "hibiscuspick/routing/query.h"

namespace hibiscuspick::front {

// A route as configured at one moment.
struct RouteView {
  routing::RouteValues values;
  // Newest first, never empty.
  routing::Plans plans;
};

// How fresh the configuration in use is.
struct ConfigurationAge {
  Millis age;
  bool platform_reachable = false;
};

struct RecordValues {
  Millis deadline{1000};
  Millis max_deadline{30000};
};

// How the API reaches the rest of the process; called from many threads.
struct CallersPorts {
  // Errors: kNotReady, kUnknownRoute, kNoSnapshot.
  std::function<Result<RouteView>(const RouteId&, const CustomerId&)>
      find_route;
  // routing::QueryRunner::Run.
  std::function<routing::Answer(routing::QueryRequest, Millis arrived,
                                const std::function<routing::Plans()>& plans,
                                const std::function<bool()>& stop)>
      run_query;
  // Errors: kNotReady, kUnknownService, and kMalformedRequest for a shard that
  // the service does not have.
  std::function<Result<RecordValues>(const ServiceId&, const ShardId&,
                                     const CustomerId&)>
      find_service;
  // records::RecordRunner::Run.
  std::function<records::RecordAnswer(const records::RecordRequest&,
                                      Millis arrived)>
      run_record;
  std::function<routing::CustomerRules(const CustomerId&)> customer_rules;
  std::function<ConfigurationAge()> configuration_age;
  // kOk, kNotReady or kLeaving. Only /readyz looks at it; requests are still
  // served while leaving.
  std::function<Code()> readiness;
};

class CallersApi {
 public:
  CallersApi(CallersPorts ports, metrics::Registry* registry);

  // Adds the API's paths; before the server's Start. This object must outlive
  // the server.
  void AddTo(http::Server* server);

 private:
  class Admitted;
  // How a query ended; the lane is set if the route is known.
  struct Outcome {
    Code code = Code::kOk;
    bool is_known = false;
    Lane lane = Lane::kOrdinary;
  };
  void Query(const httplib::Request& request, httplib::Response* response);
  Outcome RunQuery(const httplib::Request& request,
                   const std::string& request_id, const RouteId& route,
                   Millis arrived, httplib::Response* response);
  void Record(const httplib::Request& request, httplib::Response* response);
  Code RunRecord(const httplib::Request& request, const std::string& request_id,
                 Millis arrived, httplib::Response* response);
  void Count(const std::string& kind, Code code);

  const CallersPorts ports_;
  metrics::Registry* const registry_;
  std::mutex limits_mutex_;
  routing::CustomerLimits limits_;
};

}  // namespace hibiscuspick::front
