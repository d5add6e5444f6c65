/**
 * Guards against requests that begin on an older version of the weights after the bound of a newer one. A gateway sends a call to an engine shortly before the
 * bound; then the link of the engine becomes narrow or stops, so that the request is delayed beyond the bound. The gateway takes the call back, but the close
 * follows the request over the same link, and the engine begins the request first.
 */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as membership from '@switchridge/membership'
import * as standins from '@switchridge/standins'
import type * as simulatedSender from './_lib/simulatedSender.js'
import * as simulateVersionChange from './_lib/simulateVersionChange.js'

const START_TIME_MS = 1_000_000
const NEW_VERSION = 2
const LAST_SENDS_MS = 3000
const MAXIMUM_SEED = 2_147_483_640
/** More seeds by hand: `SOAK_SEEDS=100`. */
const SEEDS = process.env['SOAK_SEEDS'] === undefined ? [10, 29, 45, 53, 75] : Array.from({ length: Number(process.env['SOAK_SEEDS']) }, (_, index) => index + 1)

function describeFaults (faults: simulateVersionChange.LinkFaults, failedAtMs: number): string {
  return `links of ${faults.agents.join()} have ${faults.bytesPerMs} bytes per millisecond from ${Math.round(failedAtMs)} ms (${faults.trigger}) for ${faults.durationMs} ms, filled by ${faults.filling} from ${faults.fillAtMs} ms in ${faults.streams} streams, origin down until ${faults.originUntilMs} ms`
}

/** Describes an attempt with its times relative to the bound. */
function describeAttempt (attempt: simulatedSender.AttemptTrace): string {
  const relate = (time: number | undefined): string => time === undefined ? 'never' : String(Math.round(time - simulateVersionChange.BOUND_MS))
  return `${attempt.kind} attempt of ${attempt.requestId} at ${attempt.engine}: started ${relate(attempt.startedAt)}, connected ${relate(attempt.connectedAt)}, aborted ${relate(attempt.abortedAt)}, arrived ${relate(attempt.arrivedAt)}, begun ${relate(attempt.begunAt)}, close arrived ${relate(attempt.closeArrivedAt)}`
}

for (const seed of SEEDS) {
  nodeTest.test(`no request begins on an older version after the bound, however links fail before it, seed ${seed}`, async (context) => {
    // Neighbouring seeds of the generator differ by a constant in each number, so that they would not cover all combinations of faults.
    const random = standins.createSeededRandom(1 + membership.scoreByRendezvous('seed', String(seed)) % MAXIMUM_SEED)
    context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: START_TIME_MS })
    const advance = async (): Promise<void> => {
      context.mock.timers.tick(1)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
    const faults = simulateVersionChange.chooseFaults(random)
    const { failedAtMs, attempts, wholeLayers, held } = await simulateVersionChange.simulateVersionChange(advance, random, faults)
    context.mock.timers.reset()
    const onOld = attempts.filter(({ version }) => version !== undefined && version < NEW_VERSION)
    const lastBeginAt = Math.max(...onOld.map(({ begunAt }) => begunAt as number))
    const lastSends = attempts.filter(({ connectedAt, version }) => connectedAt !== undefined && connectedAt >= simulateVersionChange.BOUND_MS - LAST_SENDS_MS && connectedAt <= simulateVersionChange.BOUND_MS && version !== NEW_VERSION)
    const late = onOld.filter(({ begunAt }) => (begunAt as number) > simulateVersionChange.BOUND_MS).map(describeAttempt)
    const begun = attempts.filter(({ begunAt }) => begunAt !== undefined)
    const kinds = (['first', 'later', 'resumed'] as const).map((kind) => `${begun.filter((attempt) => attempt.kind === kind).length} ${kind}`)
    context.diagnostic(`${describeFaults(faults, failedAtMs)}: smallest margin ${Math.round(simulateVersionChange.BOUND_MS - lastBeginAt)} ms, ${lastSends.length} calls to the old version in the last ${LAST_SENDS_MS} ms; begun: ${kinds.join(', ')}; ${held.filter((version) => version === NEW_VERSION).length} engines changed; whole layers of these agents shortly before the bound: ${faults.agents.map((index) => wholeLayers[index]).join()}`)
    assert.deepEqual(late, [])
  })
}
