-- Two operators change the same route at the same moment through two
-- instances, and replies of the platform are lost after the write took effect.
-- Each must be told the truth, and the last accepted value must stay.
world{seed = 12}
local first = put("a-0", "routes/urgent", {snapshot = "all", lane = "bulk", prefer = "coverage"})
platform{lose_replies = 1}
local second = put("a-1", "routes/urgent", {snapshot = "all", lane = "urgent", prefer = "latency"})
expect(first ~= nil, "the first is accepted")
expect(second ~= nil and second > first, "the lost reply is settled by reading back")
advance(3000)
for _, id in ipairs(instances()) do
  expect(version(id, "routes/urgent") == second, id .. " has the last one")
end
