/** A gateway before a sound engine and a faulty one. */
import * as launcher from '@switchridge/launcher'
import * as platform from '@switchridge/platform'
import * as testing from '@switchridge/platform-testing'
import * as types from '@switchridge/types'
import type * as endlessShapes from './endlessShapes.js'
import * as endlessTarget from './endlessTarget.js'
import * as watchedProgram from './watchedProgram.js'

const MODEL = 'model-a'
const SOUND_PATH = '/sound/stock'
const FAULTY_PATHS: Readonly<Record<endlessShapes.EndlessRoute, string>> = { plain: '/read/stock', stream: '/stream/quote', resumable: '/stream/quote' }
const METRICS_PATH = '/metrics'
const MAXIMUM_CONNECTIONS = 1000
const SLOTS = 64
const METRICS_WAIT_MS = 2000
/** Loopback networks, so that gateways of several tests run at the same time. */
const FIRST_NETWORK = 80
const NETWORKS = 100
const HOSTS = 250
let startedGateways = 0

function createConfiguration (route: endlessShapes.EndlessRoute): testing.Configuration {
  const configuration = testing.createConfiguration(`${types.LOOPBACK_HOST}:1`, 1, MODEL, endlessTarget.API_KEY)
  const plain = configuration.routes.find(({ name }) => name === 'read') ?? {}
  configuration.routes.push({ ...plain, name: 'sound', pathPrefix: '/sound/', service: 'sound' })
  configuration.services.push({ name: 'sound', healthPath: '/health' })
  for (const each of configuration.routes) Object.assign(each, { timeoutMs: endlessTarget.TIMEOUT_MS, resumable: route === 'resumable' && testing.isStreamRoute(each) })
  for (const service of configuration.services) Object.assign(service, { maxConnections: MAXIMUM_CONNECTIONS })
  configuration.limits['maxBodyBytes'] = endlessTarget.BODY_BYTES
  return configuration
}

function describeEngine (address: types.Address, service: string, model?: { readonly name: string, readonly version: number }): unknown {
  return Object.assign(testing.describeEngine({ address }, service, 'zone-a', model) as object, { slots: SLOTS })
}

function formatSettings (host: string, [internal = 0, callers = 0, readiness = 0, control = 0]: readonly number[], store: types.Address): string {
  return `role = "gateway"\nnode = "gateway"\nzone = "zone-a"\nregion = "region-a"\nhost = "${host}"\nseeds = ["${host}:1"]\ninternal_port = ${internal}\n` +
    `[listen]\ncallers = "${host}:${callers}"\nreadiness = "${host}:${readiness}"\ncontrol = "${host}:${control}"\n` +
    `[store]\naddress = "${testing.formatAddress(store)}"\n[limits]\nmemory_megabytes = ${endlessTarget.CLASS_MEGABYTES}\n`
}

/**
 * Starts the gateway.
 *
 * @param options - Program, engines and shape.
 * @returns The gateway, which serves calls. Rejects if it can't.
 */
export async function startEndlessGateway ({ program, engines, shape }: endlessTarget.EndlessTargetOptions): Promise<endlessTarget.EndlessTarget> {
  const route = shape.kind === 'engine' ? shape.route : 'plain'
  const hasKey = shape.kind === 'engine' || shape.hasKey
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
  const callers = { host, port: ports[1] ?? 0 }
  const operators = { host, port: ports[3] ?? 0 }
  const asksForMetrics = shape.kind === 'caller' && shape.asksForMetrics === true
  const processes = launcher.createLauncher()
  const gateway = watchedProgram.startWatchedProgram(processes, 'gateway', program, formatSettings(host, ports, store.address))
  const target: endlessTarget.EndlessTarget = {
    sound: { address: callers, path: SOUND_PATH },
    faulty: {
      address: asksForMetrics ? operators : callers,
      path: asksForMetrics ? METRICS_PATH : FAULTY_PATHS[route],
      headers: { ...testing.formatCallerHeaders(hasKey ? endlessTarget.API_KEY : endlessTarget.UNKNOWN_KEY, endlessTarget.TIMEOUT_MS), ...testing.formatModelHeaders(MODEL) },
      idHeaders: ['request-id'],
      bodyBytes: endlessTarget.BODY_BYTES
    },
    programs: [gateway],
    readLongestTurnMs: async () => {
      const { body } = await testing.sendCallerRequest(operators, endlessTarget.API_KEY, { path: METRICS_PATH, id: 'metrics', abortAfterMs: METRICS_WAIT_MS })
      return Number(/^switchridge_longest_turn_ms\{.*\} (.*)$/m.exec(body)?.[1] ?? NaN)
    },
    close: async () => {
      gateway.stop()
      await processes.close()
      store.close()
    }
  }
  try {
    await endlessTarget.waitUntilServed(target)
  } catch (thrown) {
    await target.close()
    throw thrown
  }
  return target
}
