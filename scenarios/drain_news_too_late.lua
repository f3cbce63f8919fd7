-- Two data centres are cut off from each other; both reach the third, where a
-- server drains, which only one of them hears, and is then replaced at the
-- same address, which only the other sees. On healing the old news meets the
-- new life. Taken for news of the new life, it would keep a fresh server idle
-- until an operator noticed. Later another data centre comes back that has
-- only the old news, and passes it on.
world{seed = 31, data_centres = {"a", "b", "c", "d"}, instances = 1,
      services = 3}
kill("c-0")
advance(70000)
cut("a", "b")
cut("a", "d")
server("s2-0", {draining = true})
for _ = 1, 10 do query("b-0", "ordinary", {deadline_ms = 500}) advance(50) end
expect(knows_draining("b-0", "s2-0") and not knows_draining("a-0", "s2-0"),
       "one side has heard")
advance(10000)
expect(knows_draining("d-0", "s2-0"), "and has told another")
cut("b", "d")
server("s2-0", {alive = false})
server("s2-0", {alive = true})
for _ = 1, 10 do query("a-0", "ordinary", {deadline_ms = 500}) advance(50) end
heal("a", "b")
advance(10000)
local before = server_stats("s2-0").arrived
for _ = 1, 40 do query("a-0", "ordinary", {deadline_ms = 500}) advance(50) end
expect(server_stats("s2-0").arrived > before, "the new life gets work")
advance(10000)
for _, id in ipairs{"a-0", "b-0"} do
  expect(not knows_draining(id, "s2-0"), id .. " knows the new life")
end
before = server_stats("s2-0").arrived
for _ = 1, 40 do query("b-0", "ordinary", {deadline_ms = 500}) advance(50) end
expect(server_stats("s2-0").arrived > before, "from both sides")
heal("a", "d")
heal("b", "d")
for _ = 1, 20000 do
  advance(1)
  if knows_draining("a-0", "s2-0") or knows_draining("b-0", "s2-0") then
    expect(false, "the old news is believed again")
    break
  end
end
expect(not knows_draining("d-0", "s2-0"), "d hears of the new life")
local it = answers("ordinary")
expect(it.open == 0, "every query is answered")
