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

void LogStart(const ServiceId& service, const Decision& it,
              const BackendServerId& server) {
  Log(Part::kLimit)
      .info(
          "started {} {} of task {} of {} at {}, lane {}, waited {:.1f} ms, "
          "{} waiting",
          KindName(it.attempt_kind), it.attempt.value, it.task.value,
          service.text, server.text, LaneName(it.lane), it.waited.count,
          it.waiting);
}

void LogTask(std::string_view what, const ServiceId& service,
             const Decision& it) {
  Log(Part::kLimit)
      .info("{} task {} of {}, lane {}, {}, waited {:.1f} ms, {} waiting", what,
            it.task.value, service.text, LaneName(it.lane), CodeName(it.code),
            it.waited.count, it.waiting);
}

void LogServer(std::string_view what, const ServiceId& service,
               const Decision& it, const BackendServerId& server) {
  Log(Part::kBackend)
      .warn("{} {} of {}, {}", what, server.text, service.text,
            CodeName(it.code));
}

}  // namespace

void LogDecision(const ServiceId& service, const Decision& decision,
                 const BackendServerId& server) {
  switch (decision.kind) {
    case DecisionKind::kStart:
      return LogStart(service, decision, server);
    case DecisionKind::kRefuse:
      return LogTask("refused", service, decision);
    case DecisionKind::kDrop:
      return LogTask("dropped", service, decision);
    case DecisionKind::kHedgeDenied:
      return LogTask("no budget to hedge", service, decision);
    case DecisionKind::kRetryDenied:
      return LogTask("no budget to retry", service, decision);
    case DecisionKind::kEject:
      return LogServer("ejected", service, decision, server);
    case DecisionKind::kRestore:
      return LogServer("took back", service, decision, server);
    case DecisionKind::kDrain:
      return LogServer("sends nothing new to", service, decision, server);
  }
}

}  // namespace hibiscuspick::dispatch
