-- The platform is down for an hour. Queries go on from what is known, changes
-- are refused, and when it comes back nothing was lost.
world{seed = 13}
local version_before = version("a-0", "routes/urgent")
platform{down = true}
local refused = put("a-0", "routes/new", {snapshot = "all", lane = "urgent", prefer = "latency"})
expect(refused == nil, "a change is not accepted")
load("urgent", 20, 5000)
advance(3600000)
local it = answers("urgent")
expect(it.whole == it.sent, "queries go on")
platform{down = false}
advance(5000)
local accepted = put("a-1", "routes/new", {snapshot = "all", lane = "urgent", prefer = "latency"})
expect(accepted ~= nil, "changes are taken again")
advance(5000)
for _, id in ipairs(instances()) do
  expect(version(id, "routes/urgent") == version_before, id .. " kept the old")
  expect(version(id, "routes/new") == accepted, id .. " has the new")
end
