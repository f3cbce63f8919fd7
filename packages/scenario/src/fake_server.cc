#include "hibiscuspick/scenario/fake_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscuspick::scenario {
namespace {

Millis DrawTime(const FakeServer& server, Random* random) {
  const double time = -server.mean.count * std::log(1 - random->Fraction());
  const bool straggles = random->Fraction() < server.straggler_share;
  return Millis(straggles ? time * server.straggler_factor : time);
}

ServerReply ReplyOf(const FakeServer& server, Code code, IndexVersion version) {
  ServerReply reply;
  reply.code = code;
  reply.version = version;
  reply.held.assign(server.held.begin(), server.held.end());
  reply.draining = server.draining;
  reply.incarnation = server.incarnation;
  return reply;
}

// The version that is answered from, if any.
IndexVersion Served(const FakeServer& server, IndexVersion asked) {
  if (server.held.contains(asked)) return asked;
  if (server.ignores_version && !server.held.empty()) {
    return *server.held.rbegin();
  }
  return IndexVersion();
}

void StartNext(FakeServer* server, Schedule* schedule, Random* random) {
  const auto slots = static_cast<size_t>(server->slots);
  while (server->running.size() < slots && !server->waiting.empty()) {
    FakeServer::Work work = std::move(server->waiting.front());
    server->waiting.pop_front();
    const IndexVersion served = Served(*server, work.version);
    if (served == IndexVersion()) {
      work.reply(ReplyOf(*server, Code::kVersionNotHeld, work.version));
      continue;
    }
    server->running.insert(work.number);
    ++server->executed;
    const Incarnation life = server->incarnation;
    schedule->After(
        DrawTime(*server, random),
        [server, schedule, random, life, served, work = std::move(work)] {
          if (!server->alive || server->incarnation != life) return;
          if (server->running.erase(work.number) == 0) return;
          work.reply(ReplyOf(*server, Code::kOk, served));
          StartNext(server, schedule, random);
        });
  }
}

}  // namespace

void Arrive(FakeServer* server, FakeServer::Work work, Schedule* schedule,
            Random* random) {
  ++server->arrived;
  server->last_arrival = schedule->now();
  if (server->waiting.size() >= server->max_queue) {
    work.reply(ReplyOf(*server, Code::kShed, work.version));
    return;
  }
  server->waiting.push_back(std::move(work));
  StartNext(server, schedule, random);
}

void CancelWork(FakeServer* server, uint64_t number, Schedule* schedule,
                Random* random) {
  std::erase_if(server->waiting,
                [&](const auto& it) { return it.number == number; });
  server->running.erase(number);
  StartNext(server, schedule, random);
}

void Kill(FakeServer* server) {
  server->alive = false;
  server->waiting.clear();
  server->running.clear();
}

}  // namespace hibiscuspick::scenario
