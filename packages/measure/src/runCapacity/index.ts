/** Predicts the control cost of each role in a fleet of the target size, by linear regression over measurements of smaller fleets. */
import * as fs from 'node:fs'
import * as statisticsLibrary from 'simple-statistics'
import * as launcher from '@switchridge/launcher'
import * as membership from '@switchridge/membership'
import * as types from '@switchridge/types'
import * as controlFleet from '../_lib/controlFleet.js'
import type * as output from '../_lib/output.js'
import * as statistics from '../_lib/statistics.js'

/** Options of the experiment. */
export interface CapacityOptions {
  readonly shapes: readonly controlFleet.FleetShape[]
  readonly settleSeconds: number
  readonly seconds: number
  /** Markdown file in which the tables between the markers are replaced. */
  readonly page?: string | undefined
}

/** Linear regression over the measured daemons. */
interface Fit {
  readonly base: number
  readonly slope: number
  readonly rSquared: number
  /** Largest x value among the measurements. */
  readonly largest: number
}

/** Predicted cost of a role at the target size. */
export interface CapacityRow {
  readonly role: string
  readonly count: number
  /** Rate of the busiest daemon of the role, for which traffic and CPU usage are predicted. */
  readonly exchangesPerSecond: number
  readonly kilobytesPerSecond: number
  readonly cpuPercent: number
  readonly residentMebibytes: number
  /** Whether the prediction extrapolates beyond the measurements. */
  readonly isBeyondMeasured: boolean
}

/** Size for which the costs are predicted: the fleet expected in two years. */
const TARGET_SHAPE = { halls: 8, entryNodesPerHall: 46, backendsPerHall: 138 }
const BYTES_IN_KILOBYTE = 1000
const MARKER = /(<!-- measured -->\n)[\s\S]*?(<!-- end -->)/

/** Measures fleets of the given shapes, fits the regressions and predicts the costs at the target size. */
export async function runCapacity (options: CapacityOptions, out: output.Output): Promise<CapacityRow[]> {
  const costs: controlFleet.IdleCost[] = []
  for (const shape of options.shapes) {
    const processes = launcher.createLauncher()
    try {
      const fleet = await controlFleet.startControlFleet(processes, shape)
      await types.delay(options.settleSeconds * types.MILLISECONDS_IN_SECOND)
      const measured = await controlFleet.measureIdle(fleet, options.seconds)
      costs.push(...measured)
      for (const role of ['entry', 'backend'] as const) out.add(summarise(shape, role, measured))
    } finally {
      await processes.close()
    }
  }
  const cpu = fit(costs, (cost) => cost.exchangesPerSecond, (cost) => cost.cpuPercent)
  const bytes = fit(costs, (cost) => cost.exchangesPerSecond, (cost) => cost.bytesPerSecond)
  const memory = fit(costs, (cost) => cost.members, (cost) => cost.residentMebibytes)
  out.add({ fit: 'cpu percent by exchanges a second', ...cpu })
  out.add({ fit: 'bytes a second by exchanges a second', ...bytes })
  out.add({ fit: 'resident MiB by members', ...memory })
  const rows = predict(cpu, bytes, memory)
  for (const row of rows) out.add({ predicted: true, ...row })
  if (options.page !== undefined) writePage(options.page, rows, { cpu, bytes, memory })
  return rows
}

function summarise (shape: controlFleet.FleetShape, role: types.MemberRole, costs: readonly controlFleet.IdleCost[]): object {
  const ofRole = costs.filter((cost) => cost.role === role)
  const average = (read: (cost: controlFleet.IdleCost) => number): number => statistics.round(statistics.mean(ofRole.map(read)))
  return {
    ...shape,
    role,
    daemons: ofRole.length,
    exchangesPerSecond: average((cost) => cost.exchangesPerSecond),
    bytesPerSecond: average((cost) => cost.bytesPerSecond),
    cpuPercent: average((cost) => cost.cpuPercent),
    residentMebibytes: average((cost) => cost.residentMebibytes),
    platformCallsPerSecond: average((cost) => cost.platformCallsPerSecond)
  }
}

function fit (costs: readonly controlFleet.IdleCost[], readX: (cost: controlFleet.IdleCost) => number, readY: (cost: controlFleet.IdleCost) => number): Fit {
  const points = costs.map((cost) => [readX(cost), readY(cost)])
  const line = statisticsLibrary.linearRegression(points)
  const rSquared = statisticsLibrary.rSquared(points, statisticsLibrary.linearRegressionLine(line))
  return { base: statistics.round(line.b), slope: statistics.round(line.m, 4), rSquared: statistics.round(rSquared), largest: statistics.round(Math.max(...points.map(([x]) => x ?? 0))) }
}

/** Predicts the costs per role; counts the exchanges of every daemon at the target size with the functions that the daemons use. */
function predict (cpu: Fit, bytes: Fit, memory: Fit): CapacityRow[] {
  const fleet = makeTargetFleet()
  const hallSize = TARGET_SHAPE.entryNodesPerHall + TARGET_SHAPE.backendsPerHall
  const heartbeatsPerSecond = types.MILLISECONDS_IN_SECOND / membership.computeHeartbeatInterval(hallSize)
  const exchanges = new Map<string, number>()
  const countExchange = (node: string): void => { exchanges.set(node, (exchanges.get(node) ?? 0) + 1) }
  for (const { facts } of fleet) {
    for (const target of membership.computeReportTargets(facts, fleet)) {
      countExchange(facts.node)
      countExchange(target.node)
    }
  }
  const hubs = new Set(Array.from({ length: TARGET_SHAPE.halls }, (_, hall) => membership.computeHubs(types.brandId<types.DataHallId>(`hall-${hall}`), fleet)).flat().map((facts) => facts.node))
  const nodeKinds: Array<[string, (member: membership.Member) => boolean]> = [
    ['entry node that is a hub', ({ facts }) => hubs.has(facts.node)],
    ['other entry node', ({ facts }) => facts.role === 'entry' && !hubs.has(facts.node)],
    ['backend daemon', ({ facts }) => facts.role === 'backend']
  ]
  return nodeKinds.map(([role, isKind]) => {
    const nodes = fleet.filter(isKind)
    const maxExchangesPerSecond = Math.max(...nodes.map(({ facts }) => (exchanges.get(facts.node) ?? 0) * heartbeatsPerSecond))
    return {
      role,
      count: nodes.length,
      exchangesPerSecond: statistics.round(maxExchangesPerSecond, 1),
      kilobytesPerSecond: statistics.round((bytes.base + bytes.slope * maxExchangesPerSecond) / BYTES_IN_KILOBYTE, 1),
      cpuPercent: statistics.round(cpu.base + cpu.slope * maxExchangesPerSecond, 2),
      residentMebibytes: statistics.round(memory.base + memory.slope * fleet.length, 0),
      isBeyondMeasured: maxExchangesPerSecond > cpu.largest || fleet.length > memory.largest
    }
  })
}

function makeTargetFleet (): membership.Member[] {
  return Array.from({ length: TARGET_SHAPE.halls }, (_, hall) => [
    ...Array.from({ length: TARGET_SHAPE.entryNodesPerHall }, (_entry, index) => makeMember(`entry-${hall}-${index}`, 'entry', hall)),
    ...Array.from({ length: TARGET_SHAPE.backendsPerHall }, (_backend, index) => makeMember(`backend-${hall}-${index}`, 'backend', hall))
  ]).flat()
}

function makeMember (node: string, role: types.MemberRole, hall: number): membership.Member {
  const facts = { node, role, dataHall: `hall-${hall}`, state: 'live' } as unknown as types.MemberFacts
  return { facts, condition: 'live', leaving: false, recentlySilent: false }
}

function writePage (page: string, rows: readonly CapacityRow[], fits: Readonly<Record<string, Fit>>): void {
  const lines = [
    '| role | daemons | exchanges a second, most | KB a second | % of a core | MiB resident | beyond what was measured |',
    '|---|---|---|---|---|---|---|',
    ...rows.map((row) => `| ${row.role} | ${row.count} | ${row.exchangesPerSecond} | ${row.kilobytesPerSecond} | ${row.cpuPercent} | ${row.residentMebibytes} | ${row.isBeyondMeasured ? 'yes' : 'no'} |`),
    '',
    '| fit | base | slope | r squared | largest x measured |',
    '|---|---|---|---|---|',
    ...Object.entries(fits).map(([name, each]) => `| ${name} | ${each.base} | ${each.slope} | ${each.rSquared} | ${each.largest} |`),
    ''
  ]
  const text = fs.readFileSync(page, 'utf8')
  fs.writeFileSync(page, text.replace(MARKER, (_, first: string, last: string) => first + lines.join('\n') + last))
}
