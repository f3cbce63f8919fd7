-- An owner hangs for a minute: its machine is there, but nothing answers. By
-- its missing heartbeats the others must judge it, and others must own its
-- services; else every query would wait for it first. Nor may old gossip bring
-- it back to them while it hangs.
-- With this seed the others' views differ just as they call it gone.
world{seed = 15, services = 24, service_ms = 1, instances = 6}
pause("a-1", 60000)
advance(12000)
local since = now()
local awake = {"a-0", "a-2", "a-3", "a-4", "a-5"}
for i = 1, 1000 do
  query(awake[i % 5 + 1], "ordinary", {deadline_ms = 1000})
  advance(40)
end
advance(2000)
local it = answers("ordinary", since)
expect(it.sent == 1000 and it.whole == it.sent, "every answer is whole")
expect(it.max < 40, "nobody waits for the silent owner")
