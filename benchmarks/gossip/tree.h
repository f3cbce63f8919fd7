// The alternative to push and digests: a tree of bounded degree below the
// instance that made the change, after Blaze and Alonso, "Dynamic Hierarchical
// Caching in Large-Scale Distributed File Systems" (CS-TR-353-91, 1991).
//
// One tree for all of the configuration, which favours it: a tree for each
// object, as in the paper, would multiply the check-ins. Each instance joins
// by descending at random from the root to a parent with room, hands every
// change to its children, and checks in with its parent once a second. Whoever
// finds its parent dead joins again from the root.
#pragma once

#include <cstddef>
#include <cstdint>

#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/base/random.h"

namespace hibiscuspick::gossip_bench {

struct TreeSetup {
  size_t instances = 460;
  size_t data_centres = 7;
  size_t degree = 4;
  // Share of instances that died just before the change, and of messages lost.
  double failed = 0;
  double loss = 0;
  Millis check_in{1000};
  // Until a dead parent is given up.
  Millis timeout{1000};
};

struct TreeResult {
  // Until half, 99 of 100, and all of those alive have the change.
  Millis half;
  Millis most;
  Millis all;
  // Messages that carry the change, and those to join again.
  uint64_t changes = 0;
  uint64_t joins = 0;
  // The most children a parent has to check in, and the depth.
  size_t depth = 0;
};

TreeResult RunTree(const TreeSetup& setup, Random* random);

}  // namespace hibiscuspick::gossip_bench
