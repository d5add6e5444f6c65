/** Parts shared by the entry and backend roles: identity, connections, membership view, table, log and metrics. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as clock from '@switchridge/clock'
import * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import * as observability from '@switchridge/observability'
import * as store from '@switchridge/store'
import * as routing from '@switchridge/routing'
import * as rpc from '@switchridge/rpc'
import type * as settings from '@switchridge/settings'
import * as createSelfFacts from '../createSelfFacts/index.js'
import * as createTableKeeper from '../createTableKeeper/index.js'

/** Parts shared by both roles. */
export interface CommonParts {
  readonly settings: settings.Settings
  readonly identity: rpc.Identity
  readonly tls: rpc.TlsMaterial | undefined
  readonly agents: rpc.HttpAgents
  readonly client: rpc.RpcClient
  /** Counts exchanges with other daemons, to check the control traffic against its budget. */
  readonly traffic: rpc.TrafficCounters
  readonly logger: observability.Logger
  readonly metrics: observability.StatsdMetrics
  /** Adds one to the counter whose name is made of a name and the values of labels. */
  readonly countLabelled: (name: string, labels: Readonly<Record<string, string>>) => void
  readonly view: membership.MemberView
  readonly keeper: createTableKeeper.TableKeeper
  readonly loads: routing.BackendLoads
  readonly store: store.ObjectStore
  /** Number of calls to the platform by operation, for its call budget and for measurements. */
  readonly platformCalls: Record<string, number>
  readonly incarnation: types.IncarnationId
  /** Steady clock in milliseconds, which includes the time in which the machine was suspended. */
  readonly now: () => number
  /** Clock for judging the silence of other daemons; it excludes the time in which this process did not run. */
  readonly liveness: clock.LivenessClock
  /** Runs an action at a time of the clock. */
  readonly at: clock.ScheduleAt
  readonly random: () => number
}

const TIME_DIGITS = 15
const RANDOM_BYTES = 4

/**
 * Creates the parts.
 *
 * @param checked - The validated settings.
 * @param clocks - Clocks of the machine.
 * @returns The parts; nothing is opened or sent yet.
 * @throws If a TLS file that the settings name cannot be read.
 */
export function createCommonParts (checked: settings.Settings, clocks: clock.MachineClocks = clock.SYSTEM_CLOCKS): CommonParts {
  const logger = observability.createLogger('daemon', { node: checked.node, hall: checked.data_hall }, { level: checked.logs.level })
  const tls = readTls(checked)
  const agents = rpc.createHttpAgents(tls)
  const identity = { deployment: checked.deployment, sharedKey: checked.security.shared_key ?? '' }
  const steadyClock = clock.createSteadyClock(clocks)
  const { now } = steadyClock
  steadyClock.onSuspension(({ lostMs }) => { logger.warn('suspended', { lostMs: Math.round(lostMs) }) })
  const platformCalls: Record<string, number> = {}
  const traffic: rpc.TrafficCounters = { exchanges: 0, bytes: 0 }
  const countHallMembers = (): number => view.members().filter(({ facts }) => facts.dataHall === checked.data_hall).length
  const liveness = clock.createLivenessClock({
    now,
    readRecoveryMs: () => membership.computeHeartbeatInterval(countHallMembers()),
    onPause: (pausedMs) => { logger.warn('paused', { pausedMs: Math.round(pausedMs) }) }
  })
  const view: membership.MemberView = membership.createMemberView({
    now: liveness.now,
    computeSilenceLimitMs: () => membership.computeSilenceLimitMs(countHallMembers()),
    // Backend daemons send no calls; a line from each of them for each that leaves would be of no use in a large hall.
    onLeaving: ({ node, incarnation }, source) => { if (checked.role === 'entry') logger.info('member-leaving', { member: node, incarnation, source }) },
    onEnded: ({ node, incarnation }) => { logger.info('member-ended', { member: node, incarnation }) }
  })
  const keeper = createTableKeeper.createTableKeeper(logger)
  keeper.onAdopt((table) => {
    view.applyLeavingRows(table.nodes.filter((row) => row.state === 'leaving').map((row) => row.id))
  })
  const metrics = observability.createStatsdMetrics({
    ...checked.metrics,
    tags: { node: checked.node, hall: checked.data_hall, role: checked.role }
  })
  return {
    settings: checked,
    identity,
    tls,
    agents,
    client: rpc.createRpcClient(identity, agents, traffic),
    traffic,
    logger,
    metrics,
    countLabelled: (name, labels) => { metrics.increment([name, ...Object.values(labels)].join('.')) },
    view,
    keeper,
    loads: routing.createBackendLoads(),
    store: store.createObjectStore({
      url: checked.platform.url,
      timeoutMs: checked.platform.timeout_ms,
      ...(checked.platform.key === undefined ? {} : { key: checked.platform.key }),
      agents,
      onCall: (operation) => { platformCalls[operation] = (platformCalls[operation] ?? 0) + 1 }
    }),
    platformCalls,
    incarnation: createIncarnation(),
    now,
    liveness,
    at: clock.createDeadlineScheduler(steadyClock),
    random: Math.random
  }
}

/** Creates the id of this process run. A later run of a node sorts higher, provided that the node's wall clock was not set back in between. */
function createIncarnation (): types.IncarnationId {
  const time = String(Date.now()).padStart(TIME_DIGITS, '0')
  return types.brandId(`${time}-${crypto.randomBytes(RANDOM_BYTES).toString('hex')}`)
}

function readTls (checked: settings.Settings): rpc.TlsMaterial | undefined {
  const files = checked.security.tls
  if (files === undefined) return undefined
  return {
    certificate: fs.readFileSync(files.certificate_file, 'utf8'),
    privateKey: fs.readFileSync(files.private_key_file, 'utf8'),
    authority: fs.readFileSync(files.authority_file, 'utf8')
  }
}

/**
 * Creates the initial facts of a daemon.
 *
 * @param parts - Its shared parts.
 * @param address - Its address for other daemons.
 * @returns The facts.
 */
export function createInitialFacts (parts: CommonParts, address: types.Address): createSelfFacts.SelfFacts {
  const { settings: checked, incarnation, keeper } = parts
  const self = createSelfFacts.createSelfFacts({
    node: types.brandId<types.NodeId>(checked.node),
    role: checked.role,
    dataHall: types.brandId<types.DataHallId>(checked.data_hall),
    region: types.brandId<types.RegionId>(checked.region),
    address,
    incarnation,
    factsVersion: 1,
    state: 'live',
    service: checked.back_end === undefined ? null : types.brandId<types.ServiceName>(checked.back_end.service),
    memoryBytes: checked.back_end?.memory_bytes ?? 0,
    serving: [],
    holding: [],
    waitingFor: '',
    revision: 0
  })
  keeper.onAdopt((table) => { self.update({ revision: table.revision }) })
  return self
}

/**
 * Reads the addresses of the entry nodes in the settings.
 *
 * @param checked - The validated settings.
 * @returns Their addresses.
 */
export function readSeeds (checked: settings.Settings): types.Address[] {
  return checked.entry_nodes.map((text) => {
    const split = text.lastIndexOf(':')
    return { host: text.slice(0, split).replace(/^\[|\]$/g, ''), port: Number(text.slice(split + 1)) }
  })
}
