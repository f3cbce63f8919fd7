-- Owners are paused with parts of a query waiting for them, and meanwhile an
-- operator drains servers. On waking they choose servers for the parts, then
-- learn of the drain, then come to hand the attempts over. Without a last look
-- a server that is being emptied would get work after all, and be stopped in
-- the middle of it.
world{seed = 26, services = 12}
pause("a-1", 50)
pause("a-2", 50)
for _ = 1, 4 do query("a-0", "ordinary", {deadline_ms = 2000}) end
advance(10)
local leaving, before = {}, {}
for s = 0, 11 do
  local id = "s" .. s .. "-0"
  put("a-0", "drains/" .. id, {reason = "replaced"})
  leaving[#leaving + 1] = id
  before[id] = server_stats(id).arrived
end
advance(4000)
for _, id in ipairs(leaving) do
  expect(server_stats(id).arrived == before[id], id .. " gets nothing new")
end
local it = answers("ordinary")
expect(it.whole == it.sent, "no answer suffers")
