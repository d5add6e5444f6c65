import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as testing from '@switchridge/platform-testing'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as programTesting from './_lib/programTesting.js'

const GATEWAY_HOST = '127.0.0.21'
const AGENT_HOST = '127.0.0.22'

nodeTest.test('the bundled program serves calls as gateway and agent and exits with 0 on SIGTERM', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'i-1', model: fleetTesting.MODEL, version: 0, digestsOf: fleet.origin.digestsOf })
  const store = `[store]\naddress = "${testing.formatAddress(fleet.store.address)}"\n`
  const formatCommonSettings = (role: string, host: string): string => `role = "${role}"\nnode = "${role}"\nzone = "z"\nregion = "r"\nhost = "${host}"\nseeds = ["${GATEWAY_HOST}:1"]\ninternal_port = ${fleet.ports.internal}\n`
  const gateway = programTesting.startProgram(context, `${formatCommonSettings('gateway', GATEWAY_HOST)}[listen]\ncallers = "${GATEWAY_HOST}:${fleet.ports.callers}"\ncontrol = "${GATEWAY_HOST}:${fleet.ports.readiness}"\n${store}[limits]\ngrace_seconds = 4\n`)
  const agent = programTesting.startProgram(context, `${formatCommonSettings('agent', AGENT_HOST)}[engine]\naddress = "${testing.formatAddress(engine.address)}"\nservice = "llm"\n${store}`)
  const callers = { host: GATEWAY_HOST, port: fleet.ports.callers }
  await fleetTesting.waitUntil(() => engine.version() === 1)
  await fleetTesting.waitUntilServed(callers, '/stream/1')
  const metrics = await fleetTesting.call({ host: GATEWAY_HOST, port: fleet.ports.readiness }, { path: '/metrics', id: 'm' })
  assert.match(metrics.body, /switchridge_calls_total\{.*ending="answered"/)
  for (const name of ['resident_memory_bytes', 'heap_used_bytes', 'buffer_bytes', 'longest_turn_ms', 'held_upload_bytes', 'held_unread_bytes', 'connection_requests_most']) assert.match(metrics.body, new RegExp(`switchridge_${name}\\{.*\\} \\d`))
  gateway.child.kill('SIGTERM')
  agent.child.kill('SIGTERM')
  assert.equal(await gateway.ended, 0)
  assert.equal(await agent.ended, 0)
  assert.match(gateway.output(), /event=call .*ending=answered/)
})

nodeTest.test('invalid settings end the program and print the place of each problem', async (context) => {
  const program = programTesting.startProgram(context, 'role = "gateway"\nnode = ""\n[bounds]\ndrain = 1\n')
  assert.equal(await program.ended, 3)
  for (const place of ['node', 'zone', 'store', 'bounds.drain']) assert.match(program.output(), new RegExp(`: ${place.replace('.', '\\.')}: got`))
})
