-- The manifest of version 2 is accepted before any server has loaded it. The
-- first query finds that out and starts again on version 1; from then on the
-- instance knows, and queries must be answered from version 1 at once, at no
-- extra load. When the servers have version 2, queries move to it.
world{seed = 28}
put("a-0", "snapshots/all", snapshot(2, 150))
advance(1000)
local first = query("a-0", "ordinary", {deadline_ms = 500})
advance(600)
expect(answer(first).code == "ok" and answer(first).version == 1, "from version 1")
expect(answer(first).shards_answered == 4, "whole")
local n = query("a-0", "ordinary", {deadline_ms = 500})
advance(600)
expect(answer(n).version == 1 and answer(n).restarts == 0, "at once the next time")
expect(answer(n).shards_answered == 4, "whole again")
for _, id in ipairs(servers()) do server(id, {held = {1, 2}}) end
advance(20000)
local later = query("a-0", "ordinary", {deadline_ms = 500})
advance(600)
expect(answer(later).version == 2, "version 2 once it is there")
