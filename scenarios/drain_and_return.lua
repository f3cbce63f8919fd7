-- A drained server is replaced at the same address by a new process. Old news
-- of the drain, still passed around, must not keep the new one out, and old
-- news that it once took work must not have revived it before.
world{seed = 11, data_centres = {"a", "b"}}
server("s0-0", {draining = true})
load("ordinary", 100, 4000)
advance(4000)
for _, id in ipairs(instances()) do
  expect(knows_draining(id, "s0-0"), id .. " knows")
end
pause("b-2", 3000)
server("s0-0", {alive = false})
server("s0-0", {alive = true})
put("a-0", "settings/system", {eject_ms = 1000})
-- Only a reply shows the new life, and nobody asks a draining server: an
-- operator says so.
advance(1000)
expect(knows_draining("a-0", "s0-0"), "nothing revives it by itself")
local before = server_stats("s0-0").arrived
load("ordinary", 100, 2000)
advance(4000)
expect(server_stats("s0-0").arrived == before, "and nothing is sent")
