-- A caller leaves less time than a shard's answer takes on an ordinary day.
-- Begun all the same, the work would take slots and be thrown away; the caller
-- must be told at once, so that it can decide without us.
world{seed = 33}
load("urgent", 60, 4000)
advance(6000)
local before = 0
for _, id in ipairs(servers()) do before = before + server_stats(id).arrived end
local numbers = {}
for i = 1, 10 do
  numbers[i] = query("a-0", "urgent", {deadline_ms = 3})
  advance(20)
end
for _, n in ipairs(numbers) do
  local it = answer(n)
  expect(it.code == "deadline_unreachable", "it is refused for its deadline")
  expect(it.took < 1.5, "at once")
end
local after = 0
for _, id in ipairs(servers()) do after = after + server_stats(id).arrived end
expect(after == before, "no server is troubled")
