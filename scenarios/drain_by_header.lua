-- A backend server says in a reply that it leaves, while the platform is down.
-- Whoever hears it tells the others; once an instance knows, it starts nothing
-- new there, and after a few seconds nobody does.
world{seed = 10}
platform{down = true}
server("s0-0", {draining = true})
load("ordinary", 100, 6000)
advance(2000)
for _, id in ipairs(instances()) do
  expect(knows_draining(id, "s0-0"), id .. " knows")
end
local before = server_stats("s0-0").arrived
advance(6000)
expect(server_stats("s0-0").arrived == before, "no new work arrives")
local it = answers("ordinary")
expect(it.whole == it.sent, "no answer suffers")
