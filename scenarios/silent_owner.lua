-- An owner hangs for a minute: its machine is there, but nothing answers. By
-- its missing heartbeats the others must judge it, and others must own its
-- services; else every query would wait for it first. Nor may old gossip bring
-- it back to them while it hangs.
world{seed = 27, services = 8, instances = 6}
pause("a-1", 60000)
advance(12000)
local since = now()
for i = 0, 399 do
  query("a-" .. (i % 2 * 2), "ordinary", {deadline_ms = 1000})
  advance(100)
end
advance(2000)
local it = answers("ordinary", since)
expect(it.sent == 400 and it.whole == it.sent, "every answer is whole")
expect(it.max < 60, "nobody waits for the silent owner")
