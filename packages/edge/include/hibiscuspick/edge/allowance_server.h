// The counting side of allowances on the traffic thread: answers instances that
// ask for tokens, and exchanges tokens with counting instances of other data
// centres.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/peer_messages.h"
#include "hibiscuspick/engine/allowance_messages.h"
#include "hibiscuspick/engine/allowance_pool.h"

namespace hibiscuspick::edge {

class AllowanceServer {
 public:
  // `messages` must outlive this object.
  AllowanceServer(Loop* loop, PeerMessages* messages);

  // Sets the configuration, bounds and instances; without a value nothing is
  // counted and no message is sent. `process` is set here.
  void SetContext(std::optional<engine::AllowancePoolContext> context);

  // Answers a message of another instance or of this one.
  engine::AllowanceReply Handle(const engine::AllowanceRequest& request);
  // The same for an encoded message: the HTTP status and the reply's body.
  struct Answer {
    int status = 0;
    std::string body;
  };
  Answer HandleEncoded(std::string_view text);

  // Whether any other instance has lent its share to this one.
  bool IsLentByOthers() const;
  // Calls `done` once no other instance lends to this one.
  void WhenNotLent(std::function<void()> done);
  // Tells this run of the process from earlier ones.
  uint64_t process() const { return process_; }
  // See engine::EndEarlierLoans.
  void EndEarlierLoans(const InstanceId& lender, uint64_t process) {
    engine::EndEarlierLoans(&pools_, lender, process, SteadyNow());
    CheckLoans();
  }

 private:
  // Renews the pools' context, which ends expired loans.
  void Refresh();
  void CheckLoans();
  void SendExchanges();
  void OnExchangeReply(const engine::AllowanceMessage& sent,
                       const std::optional<std::string>& body);

  Loop* const loop_;
  PeerMessages* const messages_;
  // Random for each run of the process.
  const uint64_t process_;
  std::optional<engine::AllowancePoolContext> context_;
  engine::AllowancePools pools_;
  std::vector<std::function<void()>> on_not_lent_;
  Loop::TimerId refresh_timer_ = 0;
  Loop::TimerId exchange_timer_ = 0;
};

}  // namespace hibiscuspick::edge
