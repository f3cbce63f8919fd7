-- Servers load version 2 and drop version 1 one after the other, in the middle
-- of the load; the manifest follows. An answer of two versions would name a
-- policy that was withdrawn beside one not yet issued.
world{seed = 6}
load("ordinary", 100, 6000, {deadline_ms = 400})
advance(1000)
for _, id in ipairs(servers()) do
  server(id, {held = {1, 2}})
  advance(50)
end
put("a-1", "snapshots/all", snapshot(2, 150))
advance(1000)
for _, id in ipairs(servers()) do
  server(id, {held = {2}})
  advance(50)
end
advance(6000)
local it = answers("ordinary")
expect(it.open == 0, "every query is answered")
expect(it.whole == it.sent, "no query loses a shard to the change")
local n = query("a-2", "ordinary")
advance(500)
expect(answer(n).version == 2, "the new version is in use")
expect(answer(n).documents_total == 600, "with its own denominator")
