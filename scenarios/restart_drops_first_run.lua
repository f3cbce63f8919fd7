-- Shard p0 has lost version 1 while others still work on it, and the new
-- manifest comes in the middle of the query. The query starts again; the
-- cancellation to the other data centre is lost, so that outcomes of the first
-- run arrive long after. Counted, a withdrawn policy would stand beside its
-- successor, and the coverage would be too high.
world{seed = 23, data_centres = {"a", "b"}, services = 6}
for _, id in ipairs(servers()) do server(id, {held = {1, 2}}) end
for _, id in ipairs{"s0-0", "s0-1"} do server(id, {held = {2}}) end
for _, id in ipairs{"s3-0", "s3-1", "s5-0", "s5-1"} do
  server(id, {service_ms = 400})
end
local n = query("a-0", "ordinary", {deadline_ms = 4000, min_coverage = 1})
advance(30)
cut_one_way("a", "b")
put("a-0", "snapshots/all", snapshot(2, 70))
advance(5000)
local it = answer(n)
expect(it.code == "ok" and it.version == 2, "it is answered from version 2")
expect(it.restarts == 1, "it started again once")
expect(it.documents_total == 420, "the denominator is version 2's")
expect(it.documents_covered == 210 and it.shards_answered == 3,
       "only what version 2 gave counts")
