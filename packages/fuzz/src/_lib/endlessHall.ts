/** An entry node and daemons of backend servers of the own interface before a sound service and a faulty one. */
import * as launcher from '@switchridge/launcher'
import * as testing from '@switchridge/platform-testing'
import * as rpc from '@switchridge/rpc'
import * as standins from '@switchridge/standins'
import * as objects from '@switchridge/store'
import * as tables from '@switchridge/table'
import * as types from '@switchridge/types'
import * as endlessTarget from './endlessTarget.js'
import * as watchedProgram from './watchedProgram.js'

/** What is sent to: calls of the faulty service to the entry node, such calls with a key, or requests of daemons. */
export type HallPart = 'calls' | 'keyed calls' | 'requests to an entry node' | 'requests to a backend daemon'

const SOUND = 'sound'
const FAULTY = 'faulty'
const STORE_TIMEOUT_MS = 2000
/** Largest JSON-RPC request. */
const RPC_BODY_BYTES = 2 * types.BYTES_IN_MEBIBYTE
/** Connections of processes that have ended are closed within this time. */
const CLOSE_WAIT_MS = 2000
const IDENTITY = { deployment: 'test', sharedKey: '' }

/** Adds a service to the table. */
async function addService (platformUrl: string, agents: rpc.HttpAgents, id: string): Promise<void> {
  const objectStore = objects.createObjectStore({ url: platformUrl, timeoutMs: STORE_TIMEOUT_MS, agents })
  const changes = Object.entries({ id, kind: 'plain', repeatable: 'none' }).map(([column, after]): types.CellChange => ({ section: 'services', row: id, column, before: null, after }))
  const edited = await tables.editTable(objectStore, { editId: types.brandId(`edit-${id}`), editor: 'test', changes }, { attempts: 2 })
  if (!edited.ok) throw edited.error
}

/**
 * Starts the daemons.
 *
 * @param part - What is sent to.
 * @param options - Program, engines and shape.
 * @returns The daemons, which serve calls. Rejects if they can't.
 */
export async function startEndlessHall (part: HallPart, { program, engines, shape }: endlessTarget.EndlessTargetOptions): Promise<endlessTarget.EndlessTarget> {
  const platform = await rpc.listenHttp(Object.assign(standins.createPlatformStandIn(), { silent: true }).callback(), { host: types.LOOPBACK_HOST, port: 0 })
  const platformUrl = `http://${types.LOOPBACK_HOST}:${platform.address.port}`
  const agents = rpc.createHttpAgents()
  const processes = launcher.createLauncher()
  const programs: watchedProgram.WatchedProgram[] = []

  async function start (name: string, role: string): Promise<{ readonly address: types.Address, readonly callers: types.Address }> {
    const text = `deployment = "${IDENTITY.deployment}"\ndata_hall = "hall"\nregion = "region"\nnode = "${name}"\n${role}\n[platform]\nurl = "${platformUrl}"\n[origin]\nurl = "${platformUrl}"\n`
    const started = watchedProgram.startWatchedProgram(processes, name, program, text)
    programs.push(started)
    const [line] = await started.waitForLog(/event=started .*/)
    const readPort = (key: string): number => Number(new RegExp(` ${key}=(\\d+)`).exec(line)?.[1])
    return { address: { host: types.LOOPBACK_HOST, port: readPort('port') }, callers: { host: types.LOOPBACK_HOST, port: readPort('callerPort') } }
  }

  async function startBackend (entry: types.Address, name: string, service: string, { host, port }: types.Address): Promise<types.Address> {
    const { address } = await start(name, `role = "backend"\nentry_nodes = ["${testing.formatAddress(entry)}"]\n[listen]\nhost = "${types.LOOPBACK_HOST}"\nport = 0\n[back_end]\nservice = "${service}"\nkind = "plain"\nurl = "http://${host}:${port}"`)
    return address
  }

  async function close (): Promise<void> {
    for (const { stop } of programs) stop()
    await processes.close()
    agents.destroy()
    // A connection that its peer is just closing can't be reset.
    await Promise.race([platform.close(), types.delay(CLOSE_WAIT_MS)])
    platform.abort()
  }

  try {
    await addService(platformUrl, agents, SOUND)
    await addService(platformUrl, agents, FAULTY)
    const entry = await start('entry', `role = "entry"\n[listen]\nhost = "${types.LOOPBACK_HOST}"\nport = 0\ncaller_port = 0`)
    const backend = await startBackend(entry.address, 'backend-sound', SOUND, engines.sound)
    for (const [index, address] of engines.faulty.entries()) await startBackend(entry.address, `backend-${index}`, FAULTY, address)
    const sound = { address: entry.callers, path: `/services/${SOUND}/stock` }
    await endlessTarget.waitUntilServed({ sound, programs })
    const isRpc = part === 'requests to an entry node' || part === 'requests to a backend daemon'
    const hasKey = shape.kind === 'engine' || shape.hasKey
    return {
      sound,
      faulty: isRpc
        ? { address: part === 'requests to an entry node' ? entry.address : backend, path: '/rpc', headers: { host: 'daemon', ...rpc.createIdentityHeaders(hasKey ? IDENTITY : { ...IDENTITY, deployment: 'other' }) }, idHeaders: [], bodyBytes: RPC_BODY_BYTES }
        : { address: entry.callers, path: `/services/${FAULTY}/stock`, headers: { host: 'app.example', 'x-request-timeout-ms': String(endlessTarget.TIMEOUT_MS) }, idHeaders: ['x-request-id', ...part === 'keyed calls' ? ['idempotency-key'] : []], bodyBytes: endlessTarget.BODY_BYTES },
      programs,
      readLongestTurnMs: async () => await Promise.resolve(NaN),
      close
    }
  } catch (thrown) {
    await close()
    throw thrown
  }
}
