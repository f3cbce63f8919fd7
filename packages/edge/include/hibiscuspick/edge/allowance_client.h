// Takes tokens for requests of client accounts: from this instance's leases or
// from the counting instances. Used by the traffic thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/edge/allowance_server.h"
#include "hibiscuspick/edge/loop.h"
#include "hibiscuspick/edge/peer_messages.h"
#include "hibiscuspick/engine/allowance_lease.h"
#include "hibiscuspick/engine/client_accounts.h"
#include "hibiscuspick/engine/remote_refusals.h"

namespace hibiscuspick::edge {

class AllowanceClient {
 public:
  using OnToken = std::function<void(const engine::TokenOutcome&)>;

  // `messages` and `own_server`, which answers messages to this instance
  // itself, must outlive this object.
  AllowanceClient(Loop* loop, PeerMessages* messages,
                  AllowanceServer* own_server)
      : loop_(loop), messages_(messages), own_server_(own_server) {}

  void SetContext(const engine::LeaseContext& context,
                  const engine::EntryInstances& instances);

  // Calls `done` once the loans follow the context.
  void WhenSettled(std::function<void()> done);

  // Takes a token for a request of the account. `on_token` is called once, with
  // any outcome but kWaiting; the returned function cancels that if the caller
  // disconnects first, and is empty if it was called at once.
  std::function<void()> Take(const engine::ClientAccount& account,
                             bool is_retry, OnToken on_token);
  // Gives back the token of a request that was refused or has not run.
  void Return(const ClientAccountId& account);

  // The refusal of a new request, if this instance remembers that the account
  // has no tokens.
  std::optional<engine::EarlyRefusal> RefuseEarly(
      const engine::ClientAccount& account);
  // What an instance tells another whose forwarded query it refused for the
  // account's allowance; to be passed to RecordRefusal there.
  engine::TokenGrant RefusalOf(const ClientAccountId& account) const;
  void RecordRefusal(const engine::TokenGrant& refusal);

  // Tokens in the account's leases.
  double TokensHeld(const ClientAccountId& account) const;

 private:
  struct Waiting {
    ClientAccountId account;
    OnToken on_token;
  };
  // Sends the messages and reports the outcomes that are due.
  void Advance();
  bool AdvanceOnce();
  bool CountsAlone() const;
  void Send(const engine::AllowanceMessage& message);
  void OnReply(const engine::AllowanceMessage& sent,
               const std::optional<engine::AllowanceReply>& reply);

  Loop* const loop_;
  PeerMessages* const messages_;
  AllowanceServer* const own_server_;
  engine::AllowanceLeases leases_;
  engine::RemoteRefusals remote_refusals_;
  engine::EntryInstances entry_instances_;
  std::unordered_map<uint64_t, Waiting> waiting_;
  std::vector<std::function<void()>> on_settled_;
  Loop::TimerId timer_ = 0;
  bool advancing_ = false;
  // Set by a call during Advance.
  bool advance_again_ = false;
};

}  // namespace hibiscuspick::edge
