-- An instance is paused while a route is changed twice, and on waking passes
-- the first of the two values on, after all others have the second. Whoever
-- took it would go back to rules that the operator has replaced.
world{seed = 24, instances = 5}
pause("a-1", 2000)
put("a-0", "routes/urgent", {snapshot = "all", lane = "bulk", prefer = "coverage"})
advance(500)
local last = put("a-0", "routes/urgent", {snapshot = "all", lane = "urgent", prefer = "latency"})
advance(10000)
for _, id in ipairs(instances()) do
  expect(version(id, "routes/urgent") == last, id .. " has the last value")
end
