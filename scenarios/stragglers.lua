-- One attempt in twenty takes fifteen times as long. The slowest shard sets a
-- query's latency; without hedges more than half of all queries would be slow.
world{seed = 4, services = 10}
load("urgent", 40, 2000)
advance(4000)
local calm = answers("urgent")
local since = now()
for _, id in ipairs(servers()) do server(id, {straggler_share = 0.05}) end
load("urgent", 40, 4000)
advance(6000)
local it = answers("urgent", since)
expect(it.whole == it.sent, "all is answered whole")
expect(it.p50 < 2 * calm.p50, "the middle query is hardly slower")
expect(it.p99 < 2 * calm.p99, "nor is the slowest in a hundred")
expect(it.attempts_per_shard < 1.15, "hedges stay within their budget")
