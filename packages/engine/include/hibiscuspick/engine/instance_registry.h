// Which instances divide limits among themselves: allowances of accounts, slack
// of budgets, cold requests. Each computes its share as 1 / n from its own list
// of instances, which it reads every few seconds. So that the shares of all
// running instances never add up to more than 1:
//   - an instance that leaves gives up its share first, then sends a notice to
//     the others. They stop counting it when they have the notice or, without
//     it, when a list lacks it. It removes its entry once no other instance
//     lends to it any more;
//   - an instance that starts takes a share once the others have confirmed that
//     they count it. They confirm after their own shares have become smaller.
//     It asks those in a list that is not older than its own entry: of two that
//     start at the same time, one at least finds the other.
// An instance that ends otherwise stays counted until its entry is removed.
// What it has lent lasts until the loans end; meanwhile those that hold it
// count the instances themselves (AllowancePoolContext::instances).
//
// How to use it: SetList for each list that was read, HandleNotice for each
// notice, and after both CountedInstances. Until HasShare, a notice to each
// of UnconfirmedPeers, and RecordConfirmed for each that has confirmed or at
// whose address nothing runs.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "hibiscuspick/base/ids.h"
#include "hibiscuspick/base/millis.h"
#include "hibiscuspick/engine/peers.h"

namespace hibiscuspick::engine {

// Maximum age of a list. A list may lack an instance, or still name one, for so
// long after its notice.
inline constexpr Millis kMaxListStaleness{8000};
// An instance that starts again may write its entry only after its next list,
// so that it is counted by its notice for longer.
inline constexpr Millis kJoinRetention{16000};

// A peer that does not answer the notice of a start for so long, though
// something may run at its address, has ended or is cut off. In the second case
// it counts this instance by its name, unless the cut began between the notice
// of its end and that of its start.
inline constexpr Millis kSilentPeerTimeout{1500};

enum class NoticeKind { kJoined, kLeft };

struct InstanceNotice {
  NoticeKind kind = NoticeKind::kJoined;
  Peer instance;
  // Random for each run of an instance; not 0. Notices of an earlier run may
  // arrive late.
  uint64_t process = 0;
};

struct InstanceRegistry {
  Peer own;
  uint64_t process = 0;
  // Whether the own share is wanted; false from the begin of a planned end.
  bool is_leaving = false;

  // The last list.
  std::map<InstanceId, Peer> listed;
  struct KnownNotice {
    InstanceNotice notice;
    Millis at;
  };
  // The last notice of each instance, for kMaxListStaleness or kJoinRetention.
  std::map<InstanceId, KnownNotice> notices;

  // Whether a fresh list was known, and when notices of the start were first
  // sent.
  bool had_fresh_list = false;
  Millis notified_at{-1};
  // Peers that have not confirmed yet that they count this instance.
  std::set<InstanceId> unconfirmed;
};

// `is_fresh`: the list was read consistently and contains the own entry.
void SetList(InstanceRegistry* registry, const std::vector<Peer>& peers,
             bool is_fresh, Millis now);

// False if the notice is outdated: it comes from an earlier run.
bool HandleNotice(InstanceRegistry* registry, const InstanceNotice& notice,
                  Millis now);

// The instances that limits are divided by, this one included.
std::map<InstanceId, Peer> CountedInstances(InstanceRegistry* registry,
                                            Millis now);

// The peers that a notice of the start goes to. Empty once this instance has
// its share or leaves.
std::vector<Peer> UnconfirmedPeers(const InstanceRegistry& registry);

// The peer counts this instance, or nothing runs at its address: an instance
// that starts there later reads a list with this one.
void RecordConfirmed(InstanceRegistry* registry, const InstanceId& peer);

// Whether this instance may use its share.
bool HasShare(const InstanceRegistry& registry, Millis now);

}  // namespace hibiscuspick::engine
