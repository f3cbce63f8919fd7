-- Servers drop version 1 before the new manifest is known anywhere. Queries
-- that pinned version 1 find it gone and start again, whole, on version 2 as
-- soon as it is there; before that they must say that nothing was answered
-- rather than mix.
world{seed = 7}
for _, id in ipairs(servers()) do server(id, {held = {2}}) end
local early = query("a-0", "ordinary", {deadline_ms = 300})
advance(1000)
expect(answer(early).code == "snapshot_gone", "nothing is made up")
put("a-0", "snapshots/all", snapshot(2, 100))
advance(200)
local n = query("a-1", "ordinary", {deadline_ms = 300})
advance(500)
expect(answer(n).code == "ok" and answer(n).version == 2, "the newer one serves")
expect(answer(n).shards_answered == 4, "whole")
