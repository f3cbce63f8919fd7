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

std::vector<size_t> QueryRun::OpenPlaces() const {
  std::vector<size_t> open;
  for (size_t i = 0; i < parts_.size(); ++i) {
    const auto& it = parts_[i];
    if (it.IsOver() || it.deferred) continue;
    open.push_back(places_[i]);
  }
  return open;
}

void QueryRun::Resume(const HandedClocks& clocks,
                      const std::vector<size_t>& places, size_t wanted,
                      OnDone on_done) {
  on_done_ = std::move(on_done);
  resting_ = false;
  wanted_ = std::max<size_t>(wanted, 1);
  began_ = context_->loop->now();
  clocks_ = {began_, began_ + clocks.end_in};
  for (size_t i = 0; i < parts_.size(); ++i) {
    const bool asked =
        std::find(places.begin(), places.end(), places_[i]) != places.end();
    parts_[i].settled = parts_[i].settled || !asked;
  }
  Check();
}

void QueryRun::DropRest() {
  if (resting_ && !done_) StopParts(false);
}

// These parts count as open until the owner's own answer is due, since others
// may suffice.
void QueryRun::KeepRest(const std::vector<size_t>& shards,
                        const engine::Peer& peer, const HttpReply& reply) {
  const auto open = SplitPlaces(FindHeader(reply.headers, kShardsOpenHeader));
  if (!open || open->empty()) return;
  Rest rest{peer, std::string(FindHeader(reply.headers, kRestHeader)), {}};
  for (const size_t i : *open) {
    const bool ours =
        std::find(shards.begin(), shards.end(), i) != shards.end();
    if (!ours || parts_[i].in) continue;
    rest.shards.push_back(i);
    parts_[i].relayed = true;
  }
  if (!rest.shards.empty()) rests_.push_back(std::move(rest));
}

void QueryRun::AskForRests() {
  if (rests_.empty() || context_->loop->now() < clocks_.answer_at) return;
  const auto progress = Progress();
  if (progress.received >= progress.needed) return;
  for (const auto& it : std::exchange(rests_, {})) {
    AskForRest(it, progress.needed - progress.received);
  }
}

void QueryRun::AskForRest(const Rest& rest, size_t wanted) {
  const Millis left = clocks_.deadline - context_->loop->now();
  HandedQuery query;
  query.clocks.answer_in = Millis(0);
  query.clocks.end_in = left - context_->relay_lag.typical();
  query.shards = rest.shards;
  query.rest = {rest.token, wanted};
  AskPeer(
      rest.peer, std::move(query), left,
      [self = shared_from_this(), rest](HandedEnd end, const HttpReply& reply) {
        if (self->done_) return;
        self->TakeFromPeer(rest.shards, rest.peer, end, reply, true);
      });
}

}  // namespace hibiscuspick::edge
