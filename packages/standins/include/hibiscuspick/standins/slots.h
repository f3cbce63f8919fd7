// The slots of one backend server and the queue before them: who runs, who
// waits, who is shed. No threads, sockets or clocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>

namespace hibiscuspick::standins {

// One attempt, by a number of the server's own.
using Ticket = uint64_t;

struct Slots {
  // Attempts that run at once.
  size_t count = 2;
  // Attempts that may wait; 0 sheds whatever finds no free slot.
  size_t max_queue = 64;
  std::unordered_set<Ticket> running;
  std::deque<Ticket> queue;
};

enum class Admission { kRunning, kQueued, kShed };

Admission Admit(Slots& slots, Ticket ticket);

// Takes an attempt out, whether it runs or waits; gives the one that starts in
// its place.
std::optional<Ticket> Leave(Slots& slots, Ticket ticket);

// Starts the first of the queue if a slot is free, as after `count` has grown.
std::optional<Ticket> StartNext(Slots& slots);

}  // namespace hibiscuspick::standins
