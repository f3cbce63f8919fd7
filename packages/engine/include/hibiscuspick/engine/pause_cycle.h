// Predicts the pauses of backend servers. Servers of one kind pause
// periodically, for garbage collection, compaction or checkpoints, with the
// same period but each at its own phase. Late replies show when a pause ended;
// the period is learned from the intervals between pauses of the same server,
// for all servers together.
#pragma once

#include <array>
#include <cstddef>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/limits/latency_sketch.h"

namespace hibiscuspick::engine {

// What has been learned from all servers of one kind.
struct PauseCycle {
  // The latest intervals between two pauses of the same server.
  std::array<float, 128> intervals{};
  size_t interval_count = 0;
  // 0 while no period explains the intervals.
  Millis period;
  // Predicted pauses that did not happen, minus those that did.
  int mispredictions = 0;
  // Delays of replies by pauses.
  limits::LatencySketch delays;
  // The 95th percentile of the delays: few pauses last longer.
  Millis duration;
};

// What has been observed of one server. Belongs to one incarnation: the next
// one has another phase.
struct PauseHistory {
  // When the latest pause ended; negative if none was observed.
  Millis last_end{-1};
  // The interval between the ends of the latest two pauses; 0 if unknown.
  Millis last_interval;
  // End of a pause that doesn't fit the cycle. It becomes the new phase if
  // another pause agrees with it; a single one had another cause.
  Millis candidate_end{-1};
  // The latest reply was late.
  bool last_reply_late = false;
};

// Records a reply that arrived at `now` after `latency`. `expected_latency` is
// what it would have taken without a pause.
void RecordReplyLatency(PauseHistory* server, PauseCycle* cycle, Millis latency,
                        Millis expected_latency, Millis now);

// How much longer than usual an attempt sent now is expected to take because of
// the next predicted pause; 0 if there is none within the attempt's expected
// latency.
Millis ExpectedPauseDelay(const PauseHistory& server, const PauseCycle& cycle,
                          Millis expected_latency, Millis now);

}  // namespace hibiscuspick::engine
