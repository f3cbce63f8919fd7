-- Messages from one data centre to another are lost, the other direction
-- works: a part arrives and runs, but its outcomes never come back. The caller
-- gets a true answer by the deadline.
world{seed = 16, data_centres = {"a", "b"}}
cut_one_way("b", "a")
load("ordinary", 50, 3000, {deadline_ms = 500})
advance(5000)
local it = answers("ordinary")
expect(it.open == 0, "every query is answered")
heal("b", "a")
advance(20000)
local n = query("a-0", "ordinary", {deadline_ms = 1000})
advance(1500)
expect(answer(n).shards_answered == 4, "whole after healing")
