-- A replica is lost while the platform is down and an owner dies; the same
-- again a little later with others.
world{seed = 21, data_centres = {"a", "b"}}
load("urgent", 60, 12000, {deadline_ms = 1000})
for round = 0, 1 do
  platform{down = true}
  server("s" .. round .. "-0", {alive = false})
  advance(500)
  kill("a-" .. round)
  advance(2500)
  start("a-" .. round)
  server("s" .. round .. "-0", {alive = true})
  platform{down = false}
  advance(3000)
end
advance(8000)
local it = answers("urgent")
expect(it.open == 0, "every query of a living instance is answered")
expect(it.whole > 0.95 * it.sent, "nearly all whole")
