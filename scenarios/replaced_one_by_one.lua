-- All instances are replaced, one after the other, while the platform is down.
-- Each new one learns the configuration from a peer.
world{seed = 19}
local kept = version("a-0", "routes/urgent")
platform{down = true}
for _, id in ipairs(instances()) do
  leave(id)
  advance(2000)
  kill(id)
  start(id)
  advance(15000)
  expect(ready(id), id .. " is ready")
  expect(version(id, "routes/urgent") == kept, id .. " has the configuration")
end
local n = query("a-0", "urgent", {deadline_ms = 1000})
advance(1500)
expect(answer(n).shards_answered == 4, "and answers whole")
