-- Faults of every kind at random, many at once, from a fixed seed. Whatever
-- happens, the world checks each answer and each configuration step; at the
-- end all is healed and must work again.
world{seed = 22, data_centres = {"a", "b", "c"}, instances = 2}
math.randomseed(seed())
local function pick(list) return list[math.random(#list)] end
local centres = {"a", "b", "c", "platform"}
local down, version_number, writes = {}, 1, 0
local steps = {
  function() server(pick(servers()), {alive = false}) end,
  function() server(pick(servers()), {alive = true}) end,
  function() server(pick(servers()), {straggler_share = 0.2}) end,
  function() server(pick(servers()), {straggler_share = 0}) end,
  function()
    local a, b = pick(centres), pick(centres)
    if a ~= b then cut_one_way(a, b) end
  end,
  function()
    local a, b = pick(centres), pick(centres)
    if a ~= b then heal(a, b) end
  end,
  function() platform{down = true} end,
  function() platform{down = false} end,
  function() platform{lose_replies = 2} end,
  function() pause(pick(instances()), math.random(4000)) end,
  function()
    local id = pick(instances())
    kill(id)
    down[id] = true
  end,
  function()
    for id in pairs(down) do start(id) end
    down = {}
  end,
  function()
    writes = writes + 1
    put(pick(instances()), "routes/r" .. math.random(3),
        {snapshot = "all", lane = "ordinary", prefer = "latency"})
  end,
  function()
    -- Loaded everywhere first, then written, then dropped.
    for _, id in ipairs(servers()) do
      server(id, {held = {version_number, version_number + 1}})
    end
    if put(pick(instances()), "snapshots/all",
           snapshot(version_number + 1, 50 + 10 * version_number)) then
      version_number = version_number + 1
    end
  end,
}
load("urgent", 20, 60000, {deadline_ms = 500})
load("bulk", 20, 60000, {deadline_ms = 1000})
for _ = 1, 120 do
  steps[math.random(#steps)]()
  advance(math.random(1000))
end
platform{down = false, lose_replies = 0}
for _, a in ipairs(centres) do
  for _, b in ipairs(centres) do if a ~= b then heal(a, b) end end
end
for id in pairs(down) do start(id) end
for _, id in ipairs(servers()) do
  server(id, {straggler_share = 0, held = {version_number, version_number + 1}})
  server(id, {alive = true})
end
advance(60000)
for _, id in ipairs(instances()) do
  expect(ready(id), id .. " is ready")
  for r = 1, 3 do
    expect(version(id, "routes/r" .. r) == version("a-0", "routes/r" .. r),
           id .. " agrees on r" .. r)
  end
end
local n = query("b-0", "urgent", {deadline_ms = 2000})
advance(3000)
expect(answer(n).shards_answered == 4, "whole after healing")
