/** Connection pools for requests to other processes, with TLS if key material is configured. */
import * as http from 'node:http'
import * as https from 'node:https'
import type * as net from 'node:net'
import * as clock from '@switchridge/clock'
import * as boundResponseHead from '../boundResponseHead/index.js'

/** Certificate, private key and certificate authority in PEM. */
export interface TlsMaterial {
  readonly certificate: string
  readonly privateKey: string
  readonly authority: string
}

/** HTTP agents, one for each scheme. */
export interface HttpAgents {
  readonly http: http.Agent
  readonly https: https.Agent
  /** Agents without keep-alive: each connection is closed after its response. */
  readonly noKeepAlive: { readonly http: http.Agent, readonly https: https.Agent }
  /** Scheme of requests to other daemons. */
  readonly scheme: 'http' | 'https'
  /** Makes exactly these endpoints, given as `host:port`, unreachable to simulate a network partition, for drills and tests. */
  readonly block: (endpoints: ReadonlySet<string>) => void
  readonly destroy: () => void
}

/** Options that Node.js passes to an agent when it opens a connection. */
interface ConnectionOptions {
  readonly host?: string
  readonly port?: number | string
}

const MAXIMUM_IDLE_SOCKETS = 256

/**
 * Creates the agents of a process.
 *
 * @param tls - Key material, or undefined for connections without TLS.
 * @returns The agents; connections are kept alive except those of `noKeepAlive`.
 */
export function createHttpAgents (tls?: TlsMaterial): HttpAgents {
  let blocked: ReadonlySet<string> = new Set()
  const openSockets = new Set<net.Socket>()

  /** Tracks an open socket, and destroys it if its endpoint is blocked. */
  function trackSocket (socket: net.Socket, { host, port }: ConnectionOptions): net.Socket {
    const endpoint = `${host ?? ''}:${port ?? ''}`
    socket.on('error', ignoreError)
    if (blocked.has(endpoint)) setImmediate(() => { socket.destroy(new Error(`${endpoint} is cut off`)) })
    openSockets.add(socket)
    socket.once('close', () => { openSockets.delete(socket) })
    return Object.assign(socket, { endpoint })
  }

  /** A connection that the peer closed while this process stood still looks open until its end is read. */
  const stallGuard = clock.createStallGuard()
  const httpAgent = new http.Agent({ keepAlive: true, maxFreeSockets: MAXIMUM_IDLE_SOCKETS, noDelay: true })
  const tlsOptions = tls === undefined ? {} : { cert: tls.certificate, key: tls.privateKey, ca: tls.authority }
  const httpsAgent = new https.Agent({ keepAlive: true, maxFreeSockets: MAXIMUM_IDLE_SOCKETS, ...tlsOptions })
  const noKeepAliveAgents = { http: new http.Agent({ keepAlive: false, noDelay: true }), https: new https.Agent({ keepAlive: false, ...tlsOptions }) }
  for (const agent of [httpAgent, httpsAgent, noKeepAliveAgents.http, noKeepAliveAgents.https] as unknown as AgentMethods[]) {
    const connect = agent.createConnection.bind(agent)
    agent.createConnection = (options, callback) => trackSocket(connect(options, callback), options)
  }
  for (const agent of [noKeepAliveAgents.http, noKeepAliveAgents.https] as unknown as AgentMethods[]) {
    const addRequest = agent.addRequest.bind(agent)
    agent.addRequest = (request, options) => {
      boundResponseHead.boundResponseHead(request)
      addRequest(request, options)
    }
  }
  for (const agent of [httpAgent, httpsAgent] as unknown as AgentMethods[]) {
    const addRequest = agent.addRequest.bind(agent)
    agent.addRequest = (request, options) => {
      boundResponseHead.boundResponseHead(request)
      stallGuard.run(() => { addRequest(request, options) })
    }
  }
  for (const agent of [httpAgent, httpsAgent]) closeOnUnrequestedData(agent)
  return {
    http: httpAgent,
    https: httpsAgent,
    noKeepAlive: noKeepAliveAgents,
    scheme: tls === undefined ? 'http' : 'https',
    block: (endpoints) => {
      blocked = endpoints
      for (const socket of openSockets) if (endpoints.has((socket as net.Socket & { endpoint: string }).endpoint)) socket.destroy()
    },
    destroy: () => {
      stallGuard.stop()
      for (const agent of [httpAgent, httpsAgent, noKeepAliveAgents.http, noKeepAliveAgents.https]) agent.destroy()
    }
  }
}

/** Closes a kept connection on which bytes arrive that answer no request. Node.js would discard them for as long as they come. */
function closeOnUnrequestedData (agent: http.Agent): void {
  const methods = agent as unknown as KeptSocketMethods
  const keepSocketAlive = methods.keepSocketAlive.bind(agent)
  const reuseSocket = methods.reuseSocket.bind(agent)
  const listeners = new WeakMap<net.Socket, () => void>()
  methods.keepSocketAlive = (socket) => {
    const isKept = keepSocketAlive(socket)
    if (!isKept) return false
    const close = (): void => { socket.destroy() }
    listeners.set(socket, close)
    socket.once('data', close)
    return true
  }
  methods.reuseSocket = (socket, request) => {
    const close = listeners.get(socket)
    if (close !== undefined) socket.off('data', close)
    reuseSocket(socket, request)
  }
}

/** Errors are reported by the request that uses the socket; a socket that no request uses, not yet or no longer, has nobody to report to. */
function ignoreError (): void {}

/** Methods of an agent that the Node.js type definitions omit: one opens a connection, the other gives a request a kept one or a new one. */
interface AgentMethods {
  createConnection: (options: ConnectionOptions, callback?: () => void) => net.Socket
  addRequest: (request: http.ClientRequest, options: ConnectionOptions) => void
}

/** Methods of an agent that it calls when a connection begins to wait for a request and when one is sent over it again; the Node.js type definitions omit them. */
interface KeptSocketMethods {
  keepSocketAlive: (socket: net.Socket) => boolean
  reuseSocket: (socket: net.Socket, request: http.ClientRequest) => void
}
