/** A data hall with a plain service for tests: daemons of this process, and a stand-in for the platform. */
import * as assert from 'node:assert/strict'
import * as http from 'node:http'
import type * as net from 'node:net'
import type * as nodeTest from 'node:test'
import type * as membership from '@switchridge/membership'
import * as store from '@switchridge/store'
import * as rpc from '@switchridge/rpc'
import * as settings from '@switchridge/settings'
import * as standins from '@switchridge/standins'
import * as tables from '@switchridge/table'
import * as types from '@switchridge/types'
import * as startDaemon from '../startDaemon/index.js'

/** A hall in which daemons can be started. */
export interface PlainHall {
  /** `limits`: lines of that section of its settings. */
  readonly startEntry: (limits?: string) => Promise<startDaemon.RunningRole>
  /** Starts the daemon of a backend server that reports to an entry node. */
  readonly startBackend: (entry: Pick<startDaemon.RunningRole, 'address'>) => Promise<startDaemon.RunningRole>
  /** Settings of an entry node, or of the daemon of a backend server that reports to one, to be started as a process of its own. */
  readonly formatSettings: (entry?: Pick<startDaemon.RunningRole, 'address'>) => string
  /** Reads the members as a daemon sees them. */
  readonly readMembers: (role: startDaemon.RunningRole) => Promise<readonly membership.Member[]>
  /** Closes the port of the service and all its connections, as the end of its process does. */
  readonly crashService: () => void
  /** Opens the port again. */
  readonly reopenService: () => Promise<void>
  /** Adds the service `api` to the table; its calls may not be repeated unless a cell says so. */
  readonly addService: (cells?: Readonly<Record<string, types.CellValue>>) => Promise<void>
}

const HOST = types.LOOPBACK_HOST
const STORE_TIMEOUT_MS = 2000

/**
 * Opens a hall without daemons; all that is started in it ends with the test.
 *
 * @param context - Context of the test.
 * @param serve - Handles the requests of the back end.
 * @returns The hall.
 */
export async function openPlainHall (context: nodeTest.TestContext, serve: http.RequestListener): Promise<PlainHall> {
  const platform = await rpc.listenHttp(standins.createPlatformStandIn().callback(), { host: HOST, port: 0 })
  const platformUrl = `http://${HOST}:${platform.address.port}`
  const service = http.createServer(serve)
  await new Promise<void>((resolve) => { service.listen(0, HOST, resolve) })
  const servicePort = (service.address() as net.AddressInfo).port
  const serviceSockets = new Set<net.Socket>()
  service.on('connection', (socket) => {
    serviceSockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { serviceSockets.delete(socket) })
  })
  const serviceUrl = `http://${HOST}:${servicePort}`
  const agents = rpc.createHttpAgents()
  const client = rpc.createRpcClient({ deployment: 'test', sharedKey: '' }, agents)
  const roles: startDaemon.RunningRole[] = []
  context.after(() => {
    for (const role of roles) role.stop()
    agents.destroy()
    platform.abort()
    service.close()
    service.closeAllConnections()
  })

  function formatSettings (entry?: Pick<startDaemon.RunningRole, 'address'>): string {
    const role = entry === undefined
      ? `role = "entry"\nnode = "entry-${roles.length}"\n[listen]\nhost = "${HOST}"\nport = 0\ncaller_port = 0`
      : `role = "backend"\nnode = "backend-${roles.length}"\nentry_nodes = ["${HOST}:${entry.address.port}"]\n[listen]\nhost = "${HOST}"\nport = 0\n[back_end]\nservice = "api"\nkind = "plain"\nurl = "${serviceUrl}"`
    return `deployment = "test"\ndata_hall = "hall"\nregion = "region"\n${role}\n[platform]\nurl = "${platformUrl}"\n[origin]\nurl = "${platformUrl}"\n`
  }

  async function start (text: string): Promise<startDaemon.RunningRole> {
    const parsed = settings.parseSettings(`${text}[logs]\nlevel = "silent"\n`, 'test')
    assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message)
    const role = await startDaemon.startDaemon(parsed.value)
    roles.push(role)
    return role
  }

  return {
    startEntry: async (limits = '') => await start(formatSettings() + `[limits]\n${limits}\n`),
    startBackend: async (entry) => await start(formatSettings(entry)),
    formatSettings,
    readMembers: async (role) => {
      const status = await client.call<{ members: readonly membership.Member[] }>(role.address, 'status', {})
      assert.ok(status.ok)
      return status.value.members
    },
    crashService: () => {
      service.close()
      for (const socket of serviceSockets) socket.end()
    },
    reopenService: async () => {
      if (service.listening) return
      await new Promise<void>((resolve) => { service.listen(servicePort, HOST, resolve) })
    },
    addService: async (cells = {}) => {
      const objectStore = store.createObjectStore({ url: platformUrl, timeoutMs: STORE_TIMEOUT_MS, agents })
      const changes = Object.entries({ id: 'api', kind: 'plain', repeatable: 'none', ...cells }).map(([column, after]): types.CellChange => ({ section: 'services', row: 'api', column, before: null, after }))
      assert.ok((await tables.editTable(objectStore, { editId: types.brandId('edit'), editor: 'test', changes }, { attempts: 2 })).ok)
    }
  }
}
