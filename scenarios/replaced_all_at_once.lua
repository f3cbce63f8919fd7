-- All instances are replaced at the same moment while the platform is down.
-- Nobody knows the configuration: they say that they are not ready and run
-- nothing, until the platform answers.
world{seed = 20}
platform{down = true}
for _, id in ipairs(instances()) do kill(id) end
for _, id in ipairs(instances()) do start(id) end
advance(20000)
for _, id in ipairs(instances()) do expect(not ready(id), id .. " is not ready") end
local n = query("a-0", "urgent")
advance(500)
expect(answer(n).code == "not_ready" and answer(n).ran == "no", "refused as not run")
platform{down = false}
advance(10000)
for _, id in ipairs(instances()) do expect(ready(id), id .. " is ready") end
