/** Starts the bundled program as a process of its own, for tests in which signals and exits matter. */
import * as assert from 'node:assert/strict'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import type * as nodeTest from 'node:test'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import type * as fleetTesting from './fleetTesting.js'

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../..')
const PROGRAM = path.join(ROOT, 'target/switchridged.js')
const POLL_INTERVAL_MS = 10
const LINE_WAIT_MS = 15_000

/** A running program. */
export interface StartedProgram {
  readonly child: childProcess.ChildProcess
  readonly settingsFile: string
  /** What it has written so far. */
  readonly output: () => string
  /** Resolves with the exit code, or with the name of the signal that ended it. */
  readonly ended: Promise<number | string | null>
  /** Waits until the output contains a text; fails if it still doesn't after {@link LINE_WAIT_MS}. */
  readonly waitForOutput: (text: string) => Promise<void>
}

/** Options of {@link startProgram}. */
export interface ProgramOptions {
  /** Creates the settings file; writes it by default. */
  readonly createFile?: (file: string, settings: string) => void
  /** Options of Node.js. */
  readonly nodeOptions?: string
}

/**
 * Starts the program with the path of its settings file in the environment, as the platform does.
 *
 * @param context - The test; the program is killed when it ends.
 * @param settings - Text of the settings file.
 * @param options - Deviations from the platform.
 * @returns The program.
 */
export function startProgram (context: nodeTest.TestContext, settings: string, { createFile = fs.writeFileSync, nodeOptions = '' }: ProgramOptions = {}): StartedProgram {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'switchridge-'))
  const settingsFile = path.join(folder, 'settings.toml')
  createFile(settingsFile, settings)
  const child = childProcess.spawn(process.execPath, [PROGRAM], { env: { ...process.env, SWITCHRIDGE_NODE_FILE: settingsFile, NODE_OPTIONS: nodeOptions }, stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  child.stdout.on('data', (bytes: Buffer) => { output += bytes.toString() })
  child.stderr.on('data', (bytes: Buffer) => { output += bytes.toString() })
  const ended = new Promise<number | string | null>((resolve) => { child.once('close', (code, signal) => { resolve(code ?? signal) }) })
  context.after(() => {
    child.kill('SIGKILL')
    fs.rmSync(folder, { recursive: true })
  })
  return {
    child,
    settingsFile,
    output: () => output,
    ended,
    waitForOutput: async (text) => {
      const deadline = performance.now() + LINE_WAIT_MS
      while (!output.includes(text)) {
        assert.ok(performance.now() < deadline, `no "${text}" in: ${output}`)
        await types.delay(POLL_INTERVAL_MS)
      }
    }
  }
}

/**
 * Starts the program with a named pipe as its settings file and calls back while it waits for the settings, as early as it can be observed from outside.
 *
 * @param context - The test; the program is killed when it ends.
 * @param settings - Text that the program reads from the pipe.
 * @param whileReading - Called before the settings are passed on, with the program.
 * @param later - Text that the file has afterwards; the same settings by default.
 * @returns The program.
 */
export async function startProgramSlowly (context: nodeTest.TestContext, settings: string, whileReading: (program: StartedProgram) => Promise<void>, later = settings): Promise<StartedProgram> {
  const program = startProgram(context, settings, { createFile: (file) => { childProcess.execFileSync('mkfifo', [file]) } })
  const pipe = await openWhenRead(program.settingsFile)
  const nextFile = `${program.settingsFile}.next`
  fs.writeFileSync(nextFile, later)
  fs.renameSync(nextFile, program.settingsFile)
  await whileReading(program)
  try {
    fs.writeSync(pipe, settings)
  } catch (thrown) {
    assert.match(types.describeError(thrown), /EPIPE/)
  }
  fs.closeSync(pipe)
  return program
}

/** Opens a named pipe for writing as soon as it is open for reading. */
async function openWhenRead (file: string): Promise<number> {
  const deadline = performance.now() + LINE_WAIT_MS
  for (;;) {
    try {
      return fs.openSync(file, fs.constants.O_WRONLY | fs.constants.O_NONBLOCK)
    } catch (thrown) {
      assert.match(types.describeError(thrown), /ENXIO/)
      assert.ok(performance.now() < deadline, 'the program does not read its settings')
    }
    await types.delay(1)
  }
}

/** Settings of a gateway before the stand-ins of a test fleet; `limits` are lines of that section. */
export function formatGatewaySettings (fleet: fleetTesting.TestFleet, host: string, limits = ''): string {
  return `role = "gateway"\nnode = "gateway"\nzone = "zone-a"\nregion = "region-a"\nhost = "${host}"\nseeds = ["${host}:1"]\ninternal_port = ${fleet.ports.internal}\n` +
    `[listen]\ncallers = "${host}:${fleet.ports.callers}"\nreadiness = "${host}:${fleet.ports.readiness}"\ncontrol = "${host}:${fleet.ports.control}"\n` +
    `[store]\naddress = "${testing.formatAddress(fleet.store.address)}"\n[limits]\n${limits}`
}

/** Settings of an agent beside an engine of a test fleet that knows a gateway's host; `limits` are lines of that section. */
export function formatAgentSettings (fleet: fleetTesting.TestFleet, host: string, engine: types.Address, gatewayHost = host, limits = ''): string {
  return `role = "agent"\nnode = "agent"\nzone = "zone-a"\nregion = "region-a"\nhost = "${host}"\nseeds = ["${gatewayHost}:1"]\ninternal_port = ${fleet.ports.internal}\n` +
    `[engine]\naddress = "${testing.formatAddress(engine)}"\nservice = "llm"\n[store]\naddress = "${testing.formatAddress(fleet.store.address)}"\n[limits]\n${limits}`
}

/** Largest resident memory of a program since its start, in bytes. */
export function readPeakMemoryBytes ({ child }: StartedProgram): number {
  const status = fs.readFileSync(`/proc/${child.pid ?? 0}/status`, 'utf8')
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * types.BYTES_IN_KIBIBYTE
}
