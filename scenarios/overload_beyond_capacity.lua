-- An export asks for half as much again as the servers can do, while fraud
-- checks go on. Were its work to queue at the servers, or to take all their
-- slots, a fraud check would stand behind it, and a courier leave with a phone
-- that should have been held. The export gets what is left.
world{seed = 32}
load("urgent", 60, 10000)
advance(12000)
local calm = answers("urgent")
local since = now()
load("bulk", 1200, 10000, {deadline_ms = 1000})
load("urgent", 60, 10000)
advance(14000)
local urgent = answers("urgent", since)
local bulk = answers("bulk", since)
expect(urgent.whole == urgent.sent, "fraud checks are whole")
expect(urgent.p50 < 1.15 * calm.p50, "the middle one is as fast as before")
expect(urgent.p99 < 1.5 * calm.p99, "and so is the slowest in a hundred")
expect(bulk.attempts_per_shard > 0.45, "the export is not starved")
expect(bulk.open == 0, "every export query is answered or refused")
