#include "decision_log.h"

#include <string_view>

#include "hibiscuspick/base/log.h"

namespace hibiscuspick::dispatch {
namespace {

using limits::AttemptKind;
using limits::Decision;
using limits::DecisionKind;

std::string_view KindName(AttemptKind kind) {
  switch (kind) {
    case AttemptKind::kFirst:
      return "first attempt";
    case AttemptKind::kHedge:
      return "hedge";
    case AttemptKind::kRetry:
      return "retry";
  }
  return "";
}

bool IsAboutServer(DecisionKind kind) {
  return kind == DecisionKind::kEject || kind == DecisionKind::kRestore ||
         kind == DecisionKind::kDrain;
}

void LogStart(const ServiceId& service, const LoggedDecision& logged) {
  const Decision& it = logged.decision;
  Log(Part::kLimit)
      .info(
          "started {} {} for shard {} of service {} at server {}: task {}, "
          "lane {}, {:.1f} ms after arrival, {} tasks queued",
          KindName(it.attempt_kind), it.attempt.value, logged.shard.text,
          service.text, logged.server.text, it.task.value, LaneName(it.lane),
          it.since_arrival.count, it.waiting);
}

void LogTask(std::string_view what, const ServiceId& service,
             const LoggedDecision& logged) {
  const Decision& it = logged.decision;
  Log(Part::kLimit)
      .info(
          "{} shard {} of service {}: task {}, lane {}, {}, {:.1f} ms after "
          "arrival, {} tasks queued",
          what, logged.shard.text, service.text, it.task.value,
          LaneName(it.lane), CodeName(it.code), it.since_arrival.count,
          it.waiting);
}

void LogServer(std::string_view what, const ServiceId& service,
               const LoggedDecision& logged) {
  Log(Part::kBackend)
      .warn("{} server {} of service {}: {}", what, logged.server.text,
            service.text, CodeName(logged.decision.code));
}

}  // namespace

bool IsLogged(const Decision& decision) {
  return IsAboutServer(decision.kind)
             ? Log(Part::kBackend).should_log(spdlog::level::warn)
             : Log(Part::kLimit).should_log(spdlog::level::info);
}

void LogDecision(const ServiceId& service, const LoggedDecision& logged) {
  switch (logged.decision.kind) {
    case DecisionKind::kStart:
      return LogStart(service, logged);
    case DecisionKind::kRefuse:
      return LogTask("refused", service, logged);
    case DecisionKind::kDrop:
      return LogTask("dropped", service, logged);
    case DecisionKind::kHedgeDenied:
      return LogTask("no budget token to hedge", service, logged);
    case DecisionKind::kRetryDenied:
      return LogTask("no budget token to retry", service, logged);
    case DecisionKind::kEject:
      return LogServer("ejected", service, logged);
    case DecisionKind::kRestore:
      return LogServer("restored", service, logged);
    case DecisionKind::kDrain:
      return LogServer("stopped sending new attempts to", service, logged);
  }
}

}  // namespace hibiscuspick::dispatch
