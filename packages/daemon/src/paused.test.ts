/** Guards against requests that are lost because a process that was paused ends their connections by a timer before it reads them. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import * as nodeTest from 'node:test'
import type * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import * as fleetTesting from './_lib/fleetTesting.js'
import * as programTesting from './_lib/programTesting.js'

const HOST = '127.0.0.26'
const OK = 200
const LIMIT = { timeout: 60_000 }
const IDLE_TIMEOUT_MS = 2000
/** A caller may use a connection that has rested for up to four fifths of the limit. */
const REST_MS = 0.8 * IDLE_TIMEOUT_MS
const PAUSE_MS = 3000
const CALLERS = 10

interface PausableGateway {
  readonly callers: types.Address
  readonly program: programTesting.StartedProgram
}

async function openGateway (context: nodeTest.TestContext, change: (configuration: testing.Configuration) => void): Promise<PausableGateway> {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure(change)
  await fleet.startEngine({ id: 'i-1' }, fleetTesting.PLAIN_SERVICE.name)
  const program = programTesting.startProgram(context, programTesting.formatGatewaySettings(fleet, HOST))
  const callers = { host: HOST, port: fleet.ports.callers }
  await program.waitForOutput('event=started')
  await fleet.waitForAnswer(callers, fleetTesting.PLAIN_SERVICE.path, OK)
  return { callers, program }
}

/** Calls over connections that are kept; `send` returns the status of the answer, or what became of the connection. */
function createCaller (context: nodeTest.TestContext, { host, port }: types.Address): { readonly send: (id: string) => Promise<number | string> } {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
  context.after(() => { agent.destroy() })
  return {
    send: async (id) => await new Promise((resolve) => {
      const headers = { host: 'app.example', 'request-id': id, 'deadline-remaining': '10000', authorization: `Bearer ${fleetTesting.API_KEY}` }
      http.get({ host, port, agent, path: fleetTesting.PLAIN_SERVICE.path, headers }, (response) => {
        response.resume()
        response.once('end', () => { resolve(response.statusCode ?? 0) })
        response.once('error', (error) => { resolve(error.message) })
      }).once('error', (error) => { resolve(error.message) })
    })
  }
}

nodeTest.test('requests that arrive within the idle limit at a gateway that is paused until after it are answered', LIMIT, async (context) => {
  const { callers, program } = await openGateway(context, ({ limits }) => { limits['idleTimeoutMs'] = IDLE_TIMEOUT_MS })
  const connections = Array.from({ length: CALLERS }, () => createCaller(context, callers))
  await Promise.all(connections.map(async ({ send }, index) => await send(`first-${index}`)))
  await types.delay(REST_MS)
  program.child.kill('SIGSTOP')
  const answers = Promise.all(connections.map(async ({ send }, index) => await send(`next-${index}`)))
  await types.delay(PAUSE_MS)
  program.child.kill('SIGCONT')
  assert.deepEqual(await answers, connections.map(() => OK), program.output())
})
