-- A server has a fault: it ignores the version asked for and answers from the
-- one it has. Its replies name that version, so none may count.
world{seed = 9}
server("s1-0", {held = {2}, ignores_version = true})
load("ordinary", 100, 2000)
advance(3000)
local it = answers("ordinary")
expect(it.open == 0, "every query is answered")
expect(it.whole > 0.9 * it.sent, "the other replica answers in its place")
