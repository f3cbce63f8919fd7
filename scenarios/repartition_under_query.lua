-- The data is cut anew beneath a running query: the new manifest has other
-- document counts, and the servers drop the old version while the query waits
-- for a slow one. Restarted, its denominator must be the new manifest's alone.
world{seed = 8, service_ms = 40}
for _, id in ipairs(servers()) do server(id, {held = {1, 2}}) end
local n = query("a-0", "ordinary", {deadline_ms = 2000})
put("a-0", "snapshots/all", snapshot(2, 70))
for _, id in ipairs{"s0-0", "s0-1", "s1-0", "s1-1", "s2-0", "s2-1", "s3-0", "s3-1"} do
  server(id, {held = {2}})
end
advance(3000)
local it = answer(n)
expect(it.code == "ok", "it is answered")
expect(it.version == 1 and it.documents_total == 400 or
       it.version == 2 and it.documents_total == 280, "of one manifest")
