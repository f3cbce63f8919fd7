// What a peer hadn't got yet when its answer was due, and the owner of the
// query turns out to need.
//
// A peer answers by the owner's target with the parts that are in. Those that
// are late only, at servers that are slow or pause, went on running, and yet
// the owner could but ask other servers again, on the budget, or fail: with
// slow servers it failed with nine of ten parts in and most of its caller's
// time left, the caller came back, and all parts were asked once more.
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

// Until the owner's own answer is due these parts count as open: others may
// suffice.
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
  if (progress.in >= progress.needed) return;
  for (const auto& it : std::exchange(rests_, {})) {
    AskForRest(it, progress.needed - progress.in);
  }
}

void QueryRun::AskForRest(const Rest& rest, size_t wanted) {
  const Millis left = clocks_.end_at - context_->loop->now();
  HandedQuery query;
  query.clocks.answer_in = Millis(0);
  query.clocks.end_in = left - context_->relay_lag.usual();
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
