-- All servers have a fault and answer from a version that was not asked for.
-- Nothing of that may be given to a caller, yet the work was done: the failure
-- must not be called "not run", or a caller that counts on it does it again.
world{seed = 34, instances = 1}
for _, id in ipairs(servers()) do
  server(id, {held = {2}, ignores_version = true})
end
for _ = 1, 5 do
  local n = query("a-0", "ordinary", {deadline_ms = 1000})
  advance(1500)
  local it = answer(n)
  expect(it.code ~= "ok" and it.shards_answered == 0, "nothing is answered")
  expect(it.ran == "maybe", "and it may have run")
end
