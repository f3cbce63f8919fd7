-- One replica is late in loading version 2, which the manifest already names.
-- It refuses each attempt truthfully, at the price of a round trip; asked by
-- every query, it would cost each of them that, and half its servers' shard
-- attempts. After its first refusal it must be left alone for a while.
world{seed = 36}
for _, id in ipairs(servers()) do server(id, {held = {1, 2}}) end
server("s1-0", {held = {1}})
put("a-0", "snapshots/all", snapshot(2, 100))
advance(1000)
load("ordinary", 100, 5000)
advance(7000)
local it = answers("ordinary")
expect(it.whole == it.sent, "the other replica gives its shard")
expect(it.attempts_per_shard < 1.04, "the one behind is seldom asked")
