-- Data centre b is cut off from the platform, and for a while from a too. A
-- change made then passes it by; the next one reaches it from a. If b took
-- that for all there is, it would serve without the first change and nobody
-- would know, or operators would be woken by an alarm about a fault that the
-- platform does not have.
world{seed = 25, data_centres = {"a", "b", "c"}}
cut("b", "platform")
cut("a", "c")
cut("b", "c")
cut("a", "b")
local first = put("c-0", "routes/one", {snapshot = "all", lane = "urgent", prefer = "latency"})
advance(1500)
heal("a", "b")
local second = put("c-0", "routes/two", {snapshot = "all", lane = "urgent", prefer = "latency"})
advance(500)
expect(version("b-0", "routes/two") == second, "the second change reaches b")
advance(30000)
for _, id in ipairs(instances()) do
  expect(version(id, "routes/one") == first, id .. " has the first change")
  expect(version(id, "routes/two") == second, id .. " has the second")
end
expect(alarms() == 0, "no alarm is raised")
