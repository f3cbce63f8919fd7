#include "hibiscuspick/membership/member.h"

#include <string>
#include <tuple>

#include "hibiscuspick/base/hash.h"

namespace hibiscuspick::membership {

bool Replaces(const MemberState& a, const MemberState& b) {
  return std::tie(a.incarnation, a.refutations, a.phase) >
         std::tie(b.incarnation, b.refutations, b.phase);
}

uint64_t IncarnationKey(const MemberState& state) {
  return Hash(state.id.text, state.incarnation.value * 31 + state.refutations);
}

}  // namespace hibiscuspick::membership
