-- An owner is paused for seconds and still believes that it owns its services
-- when it wakes. Meanwhile another has taken over; both send for a while.
-- Nothing is answered wrongly or twice.
world{seed = 18}
load("urgent", 100, 9000, {deadline_ms = 1000})
advance(1000)
pause("a-1", 5000)
advance(12000)
local it = answers("urgent")
expect(it.open == 0, "every query is answered")
expect(it.whole > 0.6 * it.sent, "the others' queries are whole")
