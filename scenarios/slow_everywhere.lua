-- All servers become ten times slower at once, so that every attempt looks
-- like a straggler. If each were sent twice, the servers would have twice the
-- work just when they can do least, and slower work that shares them would
-- stand still.
world{seed = 29, slots = 8}
load("urgent", 40, 3000)
advance(5000)
local since = now()
for _, id in ipairs(servers()) do server(id, {service_ms = 50}) end
load("urgent", 40, 12000, {deadline_ms = 2000})
advance(20000)
local it = answers("urgent", since)
expect(it.whole == it.sent, "all is answered whole")
expect(it.attempts_per_shard < 1.12, "extra attempts keep to their budget")
