-- The instance that runs a query's parts dies in the middle, again and again.
-- Its shards are asked for again elsewhere; no answer counts a shard twice.
world{seed = 17}
load("urgent", 100, 6000, {deadline_ms = 1000})
for round = 1, 3 do
  local victim = "a-" .. (round - 1)
  advance(1000)
  kill(victim)
  advance(500)
  start(victim)
  advance(500)
end
advance(4000)
local it = answers("urgent")
expect(it.open == 0, "every query of a living instance is answered")
expect(it.whole > 0.97 * it.sent, "nearly all whole")
