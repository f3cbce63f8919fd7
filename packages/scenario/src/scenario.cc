#include "hibiscuspick/scenario/scenario.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <functional>
#include <lua.hpp>
#include <map>
#include <memory>

#include "hibiscuspick/scenario/world.h"
#include "lua_json.h"

namespace hibiscuspick::scenario {
namespace {

// What one run of a script has.
struct Run {
  std::optional<uint64_t> seed;
  std::unique_ptr<World> world;
  uint64_t used_seed = 0;
  std::vector<std::string> failures;
};

// A word of the language: its arguments as JSON in, its result out.
using Word = std::function<Json(Run*, const std::vector<Json>&)>;

std::string Text(const std::vector<Json>& in, size_t i) {
  if (i < in.size() && in[i].is_string()) return in[i].get<std::string>();
  throw std::invalid_argument(fmt::format("argument {} is not a text", i + 1));
}

double Real(const std::vector<Json>& in, size_t i) {
  if (i < in.size() && in[i].is_number()) return in[i].get<double>();
  throw std::invalid_argument(
      fmt::format("argument {} is not a number", i + 1));
}

Json Table(const std::vector<Json>& in, size_t i) {
  if (i >= in.size() || in[i].is_null()) return Json::object();
  // An empty Lua table is an object here.
  if (in[i].is_object()) return in[i];
  throw std::invalid_argument(fmt::format("argument {} is not a table", i + 1));
}

World& WorldOf(Run* run) {
  if (!run->world) throw std::invalid_argument("no world was set up");
  return *run->world;
}

FakeServer& ServerOf(Run* run, const std::string& id) {
  FakeServer* server = WorldOf(run).Server(id);
  if (server == nullptr) throw std::invalid_argument("no server " + id);
  return *server;
}

Json SetUp(Run* run, const std::vector<Json>& in) {
  const Json options = Table(in, 0);
  WorldShape shape;
  shape.seed = run->seed.value_or(options.value("seed", uint64_t{1}));
  shape.data_centres =
      options.value("data_centres", std::vector<std::string>{"a"});
  shape.instances_per_data_centre = options.value("instances", size_t{3});
  shape.services = options.value("services", size_t{4});
  shape.servers_per_service = options.value("servers", size_t{2});
  shape.slots = options.value("slots", 2);
  shape.service_time = Millis(options.value("service_ms", 5.0));
  run->world = std::make_unique<World>(shape);
  run->used_seed = shape.seed;
  run->world->Advance(Millis(1));
  if (options.value("configure", true)) {
    run->world->Configure();
    run->world->Advance(Millis(8000));
  }
  return nullptr;
}

void PatchServer(FakeServer* server, const Json& patch) {
  if (patch.contains("alive")) {
    const bool alive = patch["alive"];
    if (!alive) {
      Kill(server);
    } else if (!server->alive) {
      server->alive = true;
      server->draining = false;
      ++server->incarnation.value;
    }
  }
  server->draining = patch.value("draining", server->draining);
  server->mean = Millis(patch.value("service_ms", server->mean.count));
  server->straggler_share =
      patch.value("straggler_share", server->straggler_share);
  server->straggler_factor =
      patch.value("straggler_factor", server->straggler_factor);
  server->ignores_version =
      patch.value("ignores_version", server->ignores_version);
  if (patch.contains("held")) {
    server->held.clear();
    for (const auto& it : patch["held"]) {
      server->held.insert(IndexVersion(it.get<uint64_t>()));
    }
  }
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto i =
      static_cast<size_t>(share * static_cast<double>(values.size()));
  return values[std::min(i, values.size() - 1)];
}

// The answers to a route's queries sent since an instant.
Json AnswersOf(const World& world, const std::string& route, Millis since) {
  uint64_t sent = 0, whole = 0, open = 0, refused = 0;
  uint64_t attempts = 0, shards = 0;
  double least = 1;
  std::vector<double> took;
  for (const auto& [number, it] : world.queries()) {
    if (it.route != route || it.sent < since) continue;
    ++sent;
    if (!it.answer) {
      ++open;
      continue;
    }
    if (it.answer->code != Code::kOk) ++refused;
    if (it.answer->code == Code::kOk && it.answer->missing.empty()) ++whole;
    least = std::min(least, it.answer->coverage);
    attempts += it.answer->attempts;
    shards += it.answer->shards_total;
    took.push_back((it.answered - it.sent).count);
  }
  const double per_shard =
      shards == 0 ? 0
                  : static_cast<double>(attempts) / static_cast<double>(shards);
  return {{"sent", sent},
          {"whole", whole},
          {"open", open},
          {"refused", refused},
          {"least_coverage", least},
          {"attempts_per_shard", per_shard},
          {"p50", Percentile(took, 0.5)},
          {"p99", Percentile(took, 0.99)},
          {"max", Percentile(took, 1)}};
}

Json AnswerOf(const World& world, uint64_t number) {
  const auto it = world.queries().find(number);
  if (it == world.queries().end() || !it->second.answer) return nullptr;
  const auto& answer = *it->second.answer;
  Json missing = Json::object();
  for (const auto& shard : answer.missing) {
    missing[shard.shard.text] = CodeName(shard.code);
  }
  return {{"code", CodeName(answer.code)},
          {"ran", RanName(answer.ran)},
          {"version", answer.version.value},
          {"shards_total", answer.shards_total},
          {"shards_answered", answer.shards_answered},
          {"documents_total", answer.documents_total},
          {"documents_covered", answer.documents_covered},
          {"restarts", answer.restarts},
          {"took", (it->second.answered - it->second.sent).count},
          {"missing", missing}};
}

Json Put(Run* run, const std::vector<Json>& in) {
  const auto write = WorldOf(run).Put(Text(in, 0), Text(in, 1), Table(in, 2));
  if (write.outcome != platform::WriteOutcome::kAccepted) return nullptr;
  return write.version.value;
}

void CutBoth(World* world, const std::string& a, const std::string& b,
             bool cut) {
  world->Cut(a, b, cut);
  world->Cut(b, a, cut);
}

Json SetPlatform(Run* run, const std::vector<Json>& in) {
  const Json patch = Table(in, 0);
  FakePlatform& platform = WorldOf(run).platform();
  platform.down = patch.value("down", platform.down);
  platform.lose_replies = patch.value("lose_replies", platform.lose_replies);
  if (patch.value("backup", false)) standins::TakeBackup(platform.store);
  if (patch.value("restore", false) && !platform.store.backups.empty()) {
    const uint64_t revision = platform.store.backups.rbegin()->first;
    standins::Restore(platform.store, revision);
  }
  return nullptr;
}

Json Expect(Run* run, const std::vector<Json>& in) {
  const bool holds = !in.empty() && !in[0].is_null() && in[0] != false;
  if (!holds) run->failures.push_back("expected: " + Text(in, 1));
  return holds;
}

Json NamesOf(const std::vector<std::string>& names) { return Json(names); }

const std::map<std::string, Word>& AllWords() {
  using In = std::vector<Json>;
  static const auto* words = new std::map<std::string, Word>{
      {"world", SetUp},
      {"put", Put},
      {"platform", SetPlatform},
      {"expect", Expect},
      {"configure",
       [](Run* run, const In&) {
         WorldOf(run).Configure();
         return Json();
       }},
      {"snapshot",
       [](Run* run, const In& in) {
         return WorldOf(run).SnapshotObject(static_cast<uint64_t>(Real(in, 0)),
                                            static_cast<uint64_t>(Real(in, 1)));
       }},
      {"query",
       [](Run* run, const In& in) {
         return Json(
             WorldOf(run).Query(Text(in, 0), Text(in, 1), Table(in, 2)));
       }},
      {"load",
       [](Run* run, const In& in) {
         WorldOf(run).Load(Text(in, 0), Real(in, 1), Millis(Real(in, 2)),
                           Table(in, 3));
         return Json();
       }},
      {"cut",
       [](Run* run, const In& in) {
         CutBoth(&WorldOf(run), Text(in, 0), Text(in, 1), true);
         return Json();
       }},
      {"cut_one_way",
       [](Run* run, const In& in) {
         WorldOf(run).Cut(Text(in, 0), Text(in, 1), true);
         return Json();
       }},
      {"heal",
       [](Run* run, const In& in) {
         CutBoth(&WorldOf(run), Text(in, 0), Text(in, 1), false);
         return Json();
       }},
      {"pause",
       [](Run* run, const In& in) {
         WorldOf(run).Pause(Text(in, 0), Millis(Real(in, 1)));
         return Json();
       }},
      {"kill",
       [](Run* run, const In& in) {
         WorldOf(run).KillInstance(Text(in, 0));
         return Json();
       }},
      {"start",
       [](Run* run, const In& in) {
         WorldOf(run).StartInstance(Text(in, 0));
         return Json();
       }},
      {"leave",
       [](Run* run, const In& in) {
         WorldOf(run).Leave(Text(in, 0));
         return Json();
       }},
      {"server",
       [](Run* run, const In& in) {
         PatchServer(&ServerOf(run, Text(in, 0)), Table(in, 1));
         return Json();
       }},
      {"server_stats",
       [](Run* run, const In& in) {
         const FakeServer& it = ServerOf(run, Text(in, 0));
         return Json{{"arrived", it.arrived},
                     {"executed", it.executed},
                     {"last_arrival", it.last_arrival.count}};
       }},
      {"advance",
       [](Run* run, const In& in) {
         WorldOf(run).Advance(Millis(Real(in, 0)));
         return Json();
       }},
      {"seed", [](Run* run, const In&) { return Json(run->used_seed); }},
      {"now",
       [](Run* run, const In&) { return Json(WorldOf(run).now().count); }},
      {"answers",
       [](Run* run, const In& in) {
         const Millis since(in.size() > 1 ? Real(in, 1) : 0);
         return AnswersOf(WorldOf(run), Text(in, 0), since);
       }},
      {"answer",
       [](Run* run, const In& in) {
         return AnswerOf(WorldOf(run), static_cast<uint64_t>(Real(in, 0)));
       }},
      {"version",
       [](Run* run, const In& in) {
         return Json(WorldOf(run).VersionAt(Text(in, 0), Text(in, 1)));
       }},
      {"knows_draining",
       [](Run* run, const In& in) {
         return Json(WorldOf(run).KnowsDraining(Text(in, 0), Text(in, 1)));
       }},
      {"ready",
       [](Run* run, const In& in) {
         return Json(WorldOf(run).IsReady(Text(in, 0)));
       }},
      {"alarms",
       [](Run* run, const In&) { return Json(WorldOf(run).alarms()); }},
      {"instances",
       [](Run* run, const In&) {
         return NamesOf(WorldOf(run).InstanceNames());
       }},
      {"servers",
       [](Run* run, const In&) { return NamesOf(WorldOf(run).ServerNames()); }},
  };
  return *words;
}

// Upvalues: the word and the run.
int CallWord(lua_State* lua) {
  const auto* word =
      static_cast<const Word*>(lua_touserdata(lua, lua_upvalueindex(1)));
  auto* run = static_cast<Run*>(lua_touserdata(lua, lua_upvalueindex(2)));
  bool failed = false;
  {
    // lua_error jumps over destructors, so it is called outside this block.
    try {
      std::vector<Json> in;
      for (int i = 1; i <= lua_gettop(lua); ++i) in.push_back(ToJson(lua, i));
      PushJson(lua, (*word)(run, in));
    } catch (const std::exception& error) {
      lua_pushstring(lua, error.what());
      failed = true;
    }
  }
  return failed ? lua_error(lua) : 1;
}

// Lua seeds its tables' order anew in each state, so that a script that walks a
// table by its keys would take another course each time. Here `pairs` goes in
// the keys' order.
constexpr char kSortedPairs[] = R"(
local plain_pairs = pairs
function pairs(list)
  local keys = {}
  for key in plain_pairs(list) do keys[#keys + 1] = key end
  table.sort(keys, function(a, b) return tostring(a) < tostring(b) end)
  local i = 0
  return function()
    i = i + 1
    if keys[i] ~= nil then return keys[i], list[keys[i]] end
  end
end
)";

void AddWords(lua_State* lua, Run* run) {
  for (const auto& [name, word] : AllWords()) {
    lua_pushlightuserdata(lua, const_cast<Word*>(&word));
    lua_pushlightuserdata(lua, run);
    lua_pushcclosure(lua, CallWord, 2);
    lua_setglobal(lua, name.c_str());
  }
}

}  // namespace

ScenarioResult RunScenario(const std::string& path,
                           std::optional<uint64_t> seed) {
  Run run;
  run.seed = seed;
  const std::unique_ptr<lua_State, void (*)(lua_State*)> lua(luaL_newstate(),
                                                             lua_close);
  luaL_openlibs(lua.get());
  AddWords(lua.get(), &run);
  if (luaL_dostring(lua.get(), kSortedPairs) != LUA_OK ||
      luaL_dofile(lua.get(), path.c_str()) != LUA_OK) {
    run.failures.push_back(lua_tostring(lua.get(), -1));
  }
  ScenarioResult result;
  result.failures = run.failures;
  if (run.world) {
    const auto& broken = run.world->broken();
    result.failures.insert(result.failures.end(), broken.begin(), broken.end());
    result.trace = run.world->trace();
  }
  return result;
}

}  // namespace hibiscuspick::scenario
