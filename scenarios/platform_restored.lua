-- The platform is restored from a backup and forgets accepted changes. Nobody
-- may go back to what was before; operators must be alarmed.
world{seed = 14}
platform{backup = true}
local accepted = put("a-0", "routes/new", {snapshot = "all", lane = "urgent", prefer = "latency"})
advance(3000)
platform{restore = true}
advance(5000)
for _, id in ipairs(instances()) do
  expect(version(id, "routes/new") == accepted, id .. " keeps what was accepted")
end
expect(alarms() > 0, "an alarm is raised")
