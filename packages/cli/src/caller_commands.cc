#include "caller_commands.h"

#include <algorithm>
#include <utility>

#include "arguments.h"

namespace hibiscuspick::cli {
namespace {

// What a query's body may hold besides the query. Left out where not given, so
// that the route's own settings apply.
struct QueryArgs {
  explicit QueryArgs(TCLAP::CmdLine& line)
      : limit("", "limit", "Hits wanted.", false, 0, "number", line),
        deadline_ms("", "deadline-ms", "Time for the answer.", false, 0, "ms",
                    line),
        min_coverage("", "min-coverage", "The least coverage wanted, 0 to 1.",
                     false, 0, "share", line),
        customer("", "customer", "The customer asked for.", false, "", "name",
                 line) {}

  Result<Json> Options() const {
    Json options = Json::object();
    if (limit.isSet()) options["limit"] = limit.getValue();
    if (deadline_ms.isSet()) options["deadline_ms"] = deadline_ms.getValue();
    if (!min_coverage.isSet()) return options;
    if (min_coverage.getValue() < 0 || min_coverage.getValue() > 1) {
      return BadArguments("--min-coverage is a share from 0 to 1");
    }
    options["min_coverage"] = min_coverage.getValue();
    return options;
  }

  NumberArg limit;
  NumberArg deadline_ms;
  AmountArg min_coverage;
  TextArg customer;
};

// Splits "a,b" into addresses.
Result<std::vector<Address>> ParseTargets(const std::string& text) {
  std::vector<Address> targets;
  for (size_t begin = 0; begin <= text.size();) {
    const size_t end = std::min(text.find(',', begin), text.size());
    const auto address = ParseAddress(text.substr(begin, end - begin));
    if (!IsOk(address)) {
      return BadArguments("--targets " + text + ": " +
                          ErrorOf(address).message);
    }
    targets.push_back(ValueOf(address));
    begin = end + 1;
  }
  return targets;
}

Millis Seconds(const AmountArg& arg) { return Millis(arg.getValue() * 1000); }

// The arguments of load, each checked as it goes into the plan.
struct LoadArgs {
  explicit LoadArgs(TCLAP::CmdLine& line)
      : query(line),
        targets("t", "targets", "The daemons, asked in turn.", false,
                kCallersTarget, "IP:port,…", line),
        mix("m", "mix", "Routes and their queries per second.", true, "",
            "route=rate,…", line),
        seconds("s", "seconds", "How long queries are sent.", false, 10,
                "seconds", line),
        warm_up("", "warm-up",
                "Leave the first so many seconds out of the "
                "report.",
                false, 0, "seconds", line),
        even("", "even",
             "Queries at even intervals; else as a Poisson process "
             "sends them.",
             line),
        seed("", "seed", "Fixes the instants of the queries.", false, 1,
             "number", line),
        workers("w", "workers", "Queries in flight at once.", false, 512,
                "number", line),
        text("q", "query", "The query; \"n\" numbers it.", false,
             R"({"text":"load"})", "JSON", line),
        timeout_ms("", "timeout-ms", "Give an answer up after so long.", false,
                   10000, "ms", line),
        verify("", "verify",
               "Check each hit's mark; only with the stand-ins' "
               "backend servers.",
               line),
        json("j", "json", "Print the report as JSON.", line),
        quiet("", "quiet", "No line of progress.", line) {}

  QueryArgs query;
  TextArg targets;
  TextArg mix;
  AmountArg seconds;
  AmountArg warm_up;
  FlagArg even;
  NumberArg seed;
  NumberArg workers;
  TextArg text;
  NumberArg timeout_ms;
  FlagArg verify;
  FlagArg json;
  FlagArg quiet;
};

// An argument that would make the run empty or endless.
std::string FaultOf(const LoadArgs& args) {
  constexpr double kMostSeconds = 86400;
  constexpr uint64_t kMostWorkers = 10000;
  const double seconds = args.seconds.getValue();
  if (!(seconds > 0 && seconds <= kMostSeconds)) {
    return "--seconds is above 0 and at most 86400";
  }
  if (!(args.warm_up.getValue() >= 0 && args.warm_up.getValue() < seconds)) {
    return "--warm-up is less than --seconds";
  }
  const uint64_t workers = args.workers.getValue();
  if (workers == 0 || workers > kMostWorkers) {
    return "--workers is 1 to 10000";
  }
  if (args.timeout_ms.getValue() == 0) return "--timeout-ms is above 0";
  return "";
}

Result<Command> PlanOf(const LoadArgs& args) {
  const std::string fault = FaultOf(args);
  if (!fault.empty()) return BadArguments(fault);
  LoadPlan plan;
  auto mix = ParseMix(args.mix.getValue());
  if (!IsOk(mix)) {
    return BadArguments("--mix: \"" + ErrorOf(mix).place + "\" is " +
                        ErrorOf(mix).message);
  }
  auto targets = ParseTargets(args.targets.getValue());
  if (!IsOk(targets)) return ErrorOf(targets);
  auto query = ReadJsonText("--query", args.text.getValue());
  if (!IsOk(query)) return ErrorOf(query);
  auto options = args.query.Options();
  if (!IsOk(options)) return ErrorOf(options);
  plan.mix = std::move(ValueOf(mix));
  plan.targets = std::move(ValueOf(targets));
  plan.query = std::move(ValueOf(query));
  plan.options = std::move(ValueOf(options));
  plan.spacing = args.even.getValue() ? Spacing::kEven : Spacing::kPoisson;
  plan.seed = args.seed.getValue();
  plan.duration = Seconds(args.seconds);
  plan.warm_up = Seconds(args.warm_up);
  plan.max_workers = args.workers.getValue();
  plan.customer = args.query.customer.getValue();
  plan.timeout = Millis(static_cast<double>(args.timeout_ms.getValue()));
  plan.verify = args.verify.getValue();
  plan.json = args.json.getValue();
  plan.progress = !args.quiet.getValue();
  return Command(std::move(plan));
}

}  // namespace

Result<Command> ReadQuery(const std::vector<std::string>& args,
                          const Surroundings& it) {
  CallLine line("Runs a query and prints the answer.", kCallersTarget);
  QueryArgs query(line.line);
  TextArg request_id("", "request-id", "Echoed in the answer.", false, "",
                     "text", line.line);
  TextArg text("q", "query", "The query.", false, "", "JSON", line.line);
  PlainArg route("route", "the route's name", true, "", "route", line.line);
  PlainArg file("file", "the query as JSON; - reads standard input", false, "-",
                "file", line.line);
  line.Parse(args);
  auto body = query.Options();
  if (!IsOk(body)) return ErrorOf(body);
  auto value = text.isSet() ? ReadJsonText("--query", text.getValue())
                            : ReadJsonFile(it, file.getValue());
  if (!IsOk(value)) return ErrorOf(value);
  ValueOf(body)["query"] = std::move(ValueOf(value));
  auto call = line.MakeCall();
  if (!IsOk(call)) return ErrorOf(call);
  DaemonCall& out = ValueOf(call);
  out.method = "POST";
  out.path = "/v1/query/" + EncodePath(route.getValue());
  out.body = DumpJson(ValueOf(body));
  if (request_id.isSet()) {
    out.headers.emplace("X-Request-Id", request_id.getValue());
  }
  if (query.customer.isSet()) {
    out.headers.emplace("X-Customer", query.customer.getValue());
  }
  return Command(std::move(out));
}

Result<Command> ReadRecord(const std::vector<std::string>& args,
                           const Surroundings& it) {
  CallLine line(
      "Records something at most once. The same key again, at any instance, "
      "gives the stored outcome.",
      kCallersTarget);
  TextArg key("k", "key", "The record's own key.", true, "", "text", line.line);
  TextArg shard("", "shard", "Where it is recorded.", true, "", "shard",
                line.line);
  TextArg text("r", "record", "The record.", false, "", "JSON", line.line);
  TextArg customer("", "customer", "The customer it is for.", false, "", "name",
                   line.line);
  PlainArg service("service", "the service's name", true, "", "service",
                   line.line);
  PlainArg file("file", "the record as JSON; - reads standard input", false,
                "-", "file", line.line);
  line.Parse(args);
  auto value = text.isSet() ? ReadJsonText("--record", text.getValue())
                            : ReadJsonFile(it, file.getValue());
  if (!IsOk(value)) return ErrorOf(value);
  auto call = line.MakeCall();
  if (!IsOk(call)) return ErrorOf(call);
  DaemonCall& out = ValueOf(call);
  out.method = "POST";
  out.path = "/v1/record/" + EncodePath(service.getValue());
  out.body = DumpJson(Json{{"key", key.getValue()},
                           {"shard", shard.getValue()},
                           {"record", ValueOf(value)}});
  out.has_effect = true;
  if (customer.isSet()) out.headers.emplace("X-Customer", customer.getValue());
  return Command(std::move(out));
}

Result<Command> ReadLoad(const std::vector<std::string>& args,
                         const Surroundings& /*it*/) {
  TCLAP::CmdLine line(
      "Sends queries at instants fixed beforehand and reports latency from "
      "those instants, coverage and extra load.",
      ' ', kProgramVersion);
  line.setExceptionHandling(false);
  LoadArgs load(line);
  std::vector<std::string> copy = args;
  copy.front() = "hibiscuspick " + copy.front();
  line.parse(copy);
  return PlanOf(load);
}

}  // namespace hibiscuspick::cli
