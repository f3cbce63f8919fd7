-- Both servers of one service die. There is nothing to answer from for that
-- shard; a caller must be told which one is missing, at once and not only at
-- the deadline.
world{seed = 3}
for _, id in ipairs{"s2-0", "s2-1"} do server(id, {alive = false}) end
advance(10)
local n = query("a-0", "urgent", {deadline_ms = 2000})
advance(2500)
local it = answer(n)
expect(it ~= nil and it.code == "ok", "the rest is given")
expect(it.shards_total == 4 and it.shards_answered == 3, "three of four shards")
expect(it.documents_total == 400 and it.documents_covered == 300, "true documents")
expect(it.missing.p2 ~= nil, "the missing shard is named")
expect(it.took < 500, "the final answer is not held back")
