#include "hibiscuspick/standins/instance_list.h"

#include <utility>

namespace hibiscuspick::standins {

void SetInstances(InstanceList& list, std::string value, Millis now) {
  list.pending.push_back({now + list.lag, std::move(value)});
}

const std::string& VisibleInstances(InstanceList& list, Millis now) {
  while (!list.pending.empty() && list.pending.front().seen_at <= now) {
    list.visible = std::move(list.pending.front().list);
    list.pending.pop_front();
  }
  return list.visible;
}

}  // namespace hibiscuspick::standins
