import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as nodeTest from 'node:test'
import * as url from 'node:url'
import * as testing from '@switchridge/platform-testing'
import * as fleetTesting from './_lib/fleetTesting.js'

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../..')
const PROGRAM = path.join(ROOT, 'target/switchridged.js')
const GATEWAY_HOST = '127.0.0.21'
const AGENT_HOST = '127.0.0.22'

interface StartedProgram {
  readonly child: childProcess.ChildProcess
  readonly output: () => string
  readonly ended: Promise<number | null>
}

/** Starts the bundled program with the path of its settings file in the environment, as the platform does. */
function startProgram (context: nodeTest.TestContext, settings: string): StartedProgram {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'switchridge-'))
  const file = path.join(folder, 'settings.toml')
  fs.writeFileSync(file, settings)
  const child = childProcess.spawn(process.execPath, [PROGRAM], { env: { ...process.env, SWITCHRIDGE_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  child.stdout.on('data', (bytes: Buffer) => { output += bytes.toString() })
  child.stderr.on('data', (bytes: Buffer) => { output += bytes.toString() })
  const ended = new Promise<number | null>((resolve) => { child.once('exit', resolve) })
  context.after(() => {
    child.kill('SIGKILL')
    fs.rmSync(folder, { recursive: true })
  })
  return { child, output: () => output, ended }
}

nodeTest.test('the bundled program serves calls as gateway and agent and exits with 0 on SIGTERM', async (context) => {
  const fleet = await fleetTesting.createTestFleet(context)
  fleet.configure()
  const engine = await fleet.startEngine({ id: 'i-1', model: fleetTesting.MODEL, version: 0, digestsOf: fleet.origin.digestsOf })
  const store = `[store]\naddress = "${testing.formatAddress(fleet.store.address)}"\n`
  const formatCommonSettings = (role: string, host: string): string => `role = "${role}"\nnode = "${role}"\nzone = "z"\nregion = "r"\nhost = "${host}"\nseeds = ["${GATEWAY_HOST}:1"]\ninternal_port = ${fleet.ports.internal}\n`
  const gateway = startProgram(context, `${formatCommonSettings('gateway', GATEWAY_HOST)}[listen]\ncallers = "${GATEWAY_HOST}:${fleet.ports.callers}"\ncontrol = "${GATEWAY_HOST}:${fleet.ports.readiness}"\n${store}[limits]\ngrace_seconds = 4\n`)
  const agent = startProgram(context, `${formatCommonSettings('agent', AGENT_HOST)}[engine]\naddress = "${testing.formatAddress(engine.address)}"\nservice = "llm"\n${store}`)
  const callers = { host: GATEWAY_HOST, port: fleet.ports.callers }
  await fleetTesting.waitUntil(() => engine.version() === 1)
  await fleetTesting.waitUntilServed(callers, '/stream/1')
  const metrics = await fleetTesting.call({ host: GATEWAY_HOST, port: fleet.ports.readiness }, { path: '/metrics', id: 'm' })
  assert.match(metrics.body, /switchridge_calls_total\{.*ending="answered"/)
  gateway.child.kill('SIGTERM')
  agent.child.kill('SIGTERM')
  assert.equal(await gateway.ended, 0)
  assert.equal(await agent.ended, 0)
  assert.match(gateway.output(), /event=call .*ending=answered/)
})

nodeTest.test('invalid settings end the program and print the place of each problem', async (context) => {
  const program = startProgram(context, 'role = "gateway"\nnode = ""\n[bounds]\ndrain = 1\n')
  assert.equal(await program.ended, 3)
  for (const place of ['node', 'zone', 'store', 'bounds.drain']) assert.match(program.output(), new RegExp(`: ${place.replace('.', '\\.')}: got`))
})
