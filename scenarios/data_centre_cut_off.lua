-- One of two data centres is cut off from the other and from the platform for
-- a minute, during which the configuration changes on the other side. Each
-- side answers what it can and says truly what is missing; on healing the
-- change reaches the cut-off side and nothing is lost.
world{seed = 15, data_centres = {"a", "b"}}
cut("a", "b")
cut("b", "platform")
advance(2000)
local accepted = put("a-0", "routes/new", {snapshot = "all", lane = "urgent", prefer = "latency"})
expect(accepted ~= nil, "the connected side takes changes")
expect(put("b-0", "routes/other", {snapshot = "all", lane = "urgent", prefer = "latency"}) == nil,
       "the other side does not")
local n = query("b-1", "ordinary", {deadline_ms = 1500})
advance(60000)
local it = answer(n)
expect(it ~= nil and it.code == "ok", "the cut-off side answers")
expect(it.shards_answered == 2 and it.shards_total == 4, "with its own half")
expect(it.missing.p0 ~= nil and it.missing.p2 ~= nil, "and names the rest")
heal("a", "b")
heal("b", "platform")
advance(20000)
for _, id in ipairs(instances()) do
  expect(version(id, "routes/new") == accepted, id .. " has the change")
end
local again = query("b-1", "ordinary", {deadline_ms = 1500})
advance(2000)
expect(answer(again).shards_answered == 4, "whole again")
