-- The owner dies after it has handed a query's work to a server, and then the
-- servers die too. The instance that the caller asked can reach nobody and saw
-- no attempt itself, but must not say that nothing ran.
world{seed = 35, instances = 2, services = 1}
for _, id in ipairs(servers()) do server(id, {service_ms = 1e9}) end
for _, asker in ipairs(instances()) do
  local owner = asker == "a-0" and "a-1" or "a-0"
  local n = query(asker, "ordinary", {deadline_ms = 3000})
  advance(20)
  kill(owner)
  for _, id in ipairs(servers()) do server(id, {alive = false}) end
  -- Sending it something is how the death is noticed.
  query(asker, "ordinary", {deadline_ms = 100})
  advance(4000)
  local it = answer(n)
  expect(it.code ~= "ok" and it.ran == "maybe", "it may have run")
  start(owner)
  for _, id in ipairs(servers()) do
    server(id, {alive = true, service_ms = 1e9})
  end
  advance(20000)
end
