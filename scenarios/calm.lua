-- Nothing goes wrong: every query is answered whole, from one version, at
-- hardly more than one attempt a shard.
world{seed = 1, services = 6}
load("urgent", 50, 2000)
load("ordinary", 100, 2000)
advance(4000)
for _, route in ipairs{"urgent", "ordinary"} do
  local it = answers(route)
  expect(it.sent > 0 and it.open == 0, route .. " is all answered")
  expect(it.whole == it.sent, route .. " is all whole")
  expect(it.attempts_per_shard < 1.1, route .. " costs little extra load")
end
