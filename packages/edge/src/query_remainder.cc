// Requests for the parts that a peer had not received when its answer was due.
//
// A peer answers by the owner's target with the parts it has received. Parts
// that were only late, at slow or pausing servers, kept running there, yet the
// owner could only query other servers on its budget, or fail. With slow
// servers, queries failed with nine of ten parts received and most of the
// caller's time left; the caller retried and all parts were queried again.
#include <algorithm>
#include <utility>

#include "hibiscuspick/edge/peer_sender.h"
#include "hibiscuspick/edge/query_run.h"

namespace hibiscuspick::edge {

std::vector<size_t> QueryRun::OpenShards() const {
  std::vector<size_t> open_shards;
  for (size_t i = 0; i < parts_.size(); ++i) {
    const auto& it = parts_[i];
    if (it.IsOver() || it.deferred) continue;
    open_shards.push_back(shard_indices_[i]);
  }
  return open_shards;
}

void QueryRun::Resume(const ForwardedDeadlines& deadlines,
                      const std::vector<size_t>& shard_indices, size_t needed,
                      OnDone on_done) {
  on_done_ = std::move(on_done);
  awaiting_resume_ = false;
  needed_by_peer_ = std::max<size_t>(needed, 1);
  started_at_ = context_->loop->now();
  deadlines_ = {started_at_, started_at_ + deadlines.deadline_in};
  for (size_t i = 0; i < parts_.size(); ++i) {
    const bool is_needed = std::find(shard_indices.begin(), shard_indices.end(),
                                     shard_indices_[i]) != shard_indices.end();
    parts_[i].excluded = parts_[i].excluded || !is_needed;
  }
  Advance();
}

void QueryRun::DropRemainder() {
  if (awaiting_resume_ && !done_) StopParts(false);
}

// These parts count as open until the owner's own answer is due, since others
// may suffice.
void QueryRun::AddRemainder(const std::vector<size_t>& shards,
                            const engine::Peer& peer,
                            const PeerAnswer& answer) {
  PeerRemainder remainder{peer, answer.remainder_token, {}};
  for (const size_t i : answer.open_shards) {
    const bool is_requested =
        std::find(shards.begin(), shards.end(), i) != shards.end();
    if (!is_requested || parts_[i].received) continue;
    remainder.shards.push_back(i);
    parts_[i].relayed = true;
  }
  if (!remainder.shards.empty()) remainders_.push_back(std::move(remainder));
}

void QueryRun::RequestRemainders() {
  if (remainders_.empty() || context_->loop->now() < deadlines_.answer_at) {
    return;
  }
  const auto progress = Progress();
  if (progress.received >= progress.needed) return;
  for (const auto& it : std::exchange(remainders_, {})) {
    RequestRemainder(it, progress.needed - progress.received);
  }
}

void QueryRun::RequestRemainder(const PeerRemainder& remainder, size_t needed) {
  const Millis left = deadlines_.deadline - context_->loop->now();
  ForwardedQuery query;
  query.deadlines.answer_in = Millis(0);
  query.deadlines.deadline_in = left - context_->relay_lag.typical();
  query.shard_indices = remainder.shards;
  query.remainder = {remainder.token, needed};
  SendToPeer(remainder.peer, std::move(query), left,
             [self = shared_from_this(), remainder](ForwardResult result,
                                                    const PeerAnswer& answer) {
               if (self->done_) return;
               self->HandlePeerAnswer(remainder.shards, remainder.peer, result,
                                      answer, true);
             });
}

}  // namespace hibiscuspick::edge
