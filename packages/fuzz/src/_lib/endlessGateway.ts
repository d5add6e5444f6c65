/** A gateway as a process of the bundled program, before a sound engine and a faulty one. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as launcher from '@switchridge/launcher'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import type * as endlessShapes from './endlessShapes.js'
import * as readProcessMemory from './readProcessMemory.js'

/** The engines of the services. */
export interface EndlessEngines {
  readonly sound: types.Address
  readonly faulty: readonly types.Address[]
}

/** The running gateway. */
export interface EndlessGateway {
  readonly callers: types.Address
  readonly isAlive: () => boolean
  /** Largest resident memory in bytes, as the system counts it, up to now or the end of the process. */
  readonly readPeakBytes: () => number
  readonly readResidentBytes: () => number
  /** What it has written so far. */
  readonly readLog: () => string
  /** A gauge of its metrics; NaN if it has none or doesn't answer. */
  readonly readGauge: (name: string) => Promise<number>
  readonly close: () => Promise<void>
}

/** Options of {@link startEndlessGateway}. */
export interface EndlessGatewayOptions {
  /** The bundled program; that of this workspace by default. */
  readonly program?: string
  readonly engines: EndlessEngines
  readonly route: endlessShapes.EndlessRoute
}

export const API_KEY = 'key-of-tenant-one'
export const MODEL = 'model-a'
export const SOUND_PATH = '/sound/stock'
/** Paths of the routes to the faulty engine. */
export const FAULTY_PATHS: Readonly<Record<endlessShapes.EndlessRoute, string>> = { plain: '/read/stock', stream: '/stream/quote', resumable: '/stream/quote' }
/** Time-out of all routes in milliseconds. */
export const TIMEOUT_MS = 2000
/** Largest body of a caller, that of the interface. */
export const BODY_BYTES = 4 * 1024 * types.BYTES_IN_KIBIBYTE
/** Memory of a gateway's machine. */
export const CLASS_MEGABYTES = 350
const HEAP_OPTION = '--max-old-space-size=160'
const PROGRAM = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../../target/switchridged.js')
const SETTINGS_VARIABLE = 'SWITCHRIDGE_NODE_FILE'
const MAXIMUM_CONNECTIONS = 1000
const SLOTS = 64
const SAMPLE_INTERVAL_MS = 10
const START_WAIT_MS = 20_000
const METRICS_WAIT_MS = 2000
const OK = 200
/** Loopback networks, so that gateways of several tests run at the same time. */
const FIRST_NETWORK = 80
const NETWORKS = 100
const HOSTS = 250
let startedGateways = 0

function createConfiguration (route: endlessShapes.EndlessRoute): testing.Configuration {
  const configuration = testing.createConfiguration(`${types.LOOPBACK_HOST}:1`, 1, MODEL, API_KEY)
  const plain = configuration.routes.find(({ name }) => name === 'read') ?? {}
  configuration.routes.push({ ...plain, name: 'sound', pathPrefix: '/sound/', service: 'sound' })
  configuration.services.push({ name: 'sound', healthPath: '/health' })
  for (const each of configuration.routes) Object.assign(each, { timeoutMs: TIMEOUT_MS, resumable: route === 'resumable' && testing.isStreamRoute(each) })
  for (const service of configuration.services) Object.assign(service, { maxConnections: MAXIMUM_CONNECTIONS })
  configuration.limits['maxBodyBytes'] = BODY_BYTES
  return configuration
}

function describeEngine (address: types.Address, service: string, model?: { readonly name: string, readonly version: number }): unknown {
  return Object.assign(testing.describeEngine({ address }, service, 'zone-a', model) as object, { slots: SLOTS })
}

function formatSettings (host: string, [internal = 0, callers = 0, readiness = 0, control = 0]: readonly number[], store: types.Address): string {
  return `role = "gateway"\nnode = "gateway"\nzone = "zone-a"\nregion = "region-a"\nhost = "${host}"\nseeds = ["${host}:1"]\ninternal_port = ${internal}\n` +
    `[listen]\ncallers = "${host}:${callers}"\nreadiness = "${host}:${readiness}"\ncontrol = "${host}:${control}"\n` +
    `[store]\naddress = "${testing.formatAddress(store)}"\n[limits]\nmemory_megabytes = ${CLASS_MEGABYTES}\n`
}

/**
 * Starts the gateway with the heap of its deployment.
 *
 * @param options - Program, engines and route.
 * @returns The gateway, which serves calls. Rejects if it does not in {@link START_WAIT_MS}.
 */
export async function startEndlessGateway ({ program = PROGRAM, engines, route }: EndlessGatewayOptions): Promise<EndlessGateway> {
  const store = await testing.createStoreStandIn()
  store.put(platform.OBJECT_KINDS.configuration, platform.CONFIGURATION_NAME, createConfiguration(route))
  store.put(platform.OBJECT_KINDS.backEnds, 'i-sound', describeEngine(engines.sound, 'sound'))
  for (const [index, address] of engines.faulty.entries()) {
    if (route === 'plain') store.put(platform.OBJECT_KINDS.backEnds, `i-${index}`, describeEngine(address, 'api'))
    else store.put(platform.OBJECT_KINDS.backEnds, `i-${index}`, describeEngine(address, 'llm', { name: MODEL, version: 1 }))
  }
  const ports = await launcher.findPorts(4)
  startedGateways += 1
  const host = `127.0.${FIRST_NETWORK + process.pid % NETWORKS}.${1 + startedGateways % HOSTS}`
  const processes = launcher.createLauncher()
  const settingsFile = path.join(processes.folder, 'gateway.toml')
  fs.writeFileSync(settingsFile, formatSettings(host, ports, store.address))
  const started = processes.start('gateway', program, [], { [SETTINGS_VARIABLE]: settingsFile, NODE_OPTIONS: HEAP_OPTION })
  let isAlive = true
  let peakBytes = 0
  let residentBytes = 0
  void started.exited.then(() => { isAlive = false })

  function sample (): void {
    peakBytes = Math.max(peakBytes, readProcessMemory.readProcessMemory(started.pid, 'VmHWM') ?? 0)
    residentBytes = readProcessMemory.readProcessMemory(started.pid, 'VmRSS') ?? residentBytes
  }

  const sampler = setInterval(sample, SAMPLE_INTERVAL_MS)
  const gateway: EndlessGateway = {
    callers: { host, port: ports[1] ?? 0 },
    isAlive: () => isAlive,
    readPeakBytes: () => {
      sample()
      return peakBytes
    },
    readResidentBytes: () => residentBytes,
    readLog: () => fs.readFileSync(started.logFile, 'utf8'),
    readGauge: async (name) => {
      const { body } = await testing.sendCallerRequest({ host, port: ports[3] ?? 0 }, API_KEY, { path: '/metrics', id: 'metrics', abortAfterMs: METRICS_WAIT_MS })
      return Number(body.split('\n').find((line) => line.startsWith(`switchridge_${name}{`))?.split(' ').at(-1) ?? NaN)
    },
    close: async () => {
      clearInterval(sampler)
      started.kill('SIGKILL')
      await processes.close()
      store.close()
    }
  }
  const deadline = performance.now() + START_WAIT_MS
  for (let turn = 0; ; turn += 1) {
    const { status } = await testing.sendCallerRequest(gateway.callers, API_KEY, { path: SOUND_PATH, id: `start-${turn}` })
    if (status === OK) return gateway
    if (!isAlive || performance.now() > deadline) {
      const log = gateway.readLog()
      await gateway.close()
      throw new Error(`the gateway serves no calls: ${log}`)
    }
    await types.delay(SAMPLE_INTERVAL_MS)
  }
}
