-- An export takes three quarters of what the servers can do, while fraud checks
-- go on. The fraud check must not notice; the export gets what is left, and
-- what is refused is refused at once.
world{seed = 5}
load("urgent", 60, 4000)
advance(6000)
local calm = answers("urgent")
local since = now()
load("bulk", 600, 4000, {deadline_ms = 1000})
load("urgent", 60, 4000)
advance(8000)
local urgent = answers("urgent", since)
local bulk = answers("bulk", since)
expect(urgent.whole == urgent.sent, "fraud checks are whole")
expect(urgent.p99 < 3 * calm.p99, "fraud checks are about as fast as before")
expect(bulk.whole > bulk.sent / 4, "the export is not starved")
expect(bulk.open == 0, "every export query is answered or refused")
