// Text form of the reports about servers that senders exchange. Bytes between
// data centres are expensive: a report takes some 25 bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/server_evidence.h"

namespace hibiscuspick::edge {

struct EvidenceMessage {
  // The sender asks for everything that the receiver knows: it has just
  // started.
  bool wants_all = false;
  std::vector<engine::EvidenceReport> reports;
};

// Reports that follow each other and have the same origin share a line with its
// name and its clock. `now` is the clock of `own`; other origins' clocks follow
// from the ages.
std::string FormatEvidence(const EvidenceMessage& message,
                           const engine::EvidenceOrigin& own, Millis now);

// Nullopt if the text is malformed. Ages are those at the time of writing.
std::optional<EvidenceMessage> ParseEvidence(std::string_view text);

}  // namespace hibiscuspick::edge
