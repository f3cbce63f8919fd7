-- A backend server dies under load and comes back. Its shard has another
-- replica, so callers see whole answers throughout, a little later at worst.
world{seed = 2}
load("urgent", 100, 3000)
advance(1000)
server("s1-0", {alive = false})
advance(1000)
server("s1-0", {alive = true})
advance(3000)
local it = answers("urgent")
expect(it.sent > 250 and it.open == 0, "every query is answered")
expect(it.whole == it.sent, "no query lacks a shard")
expect(it.attempts_per_shard < 1.15, "the extra load stays small")
