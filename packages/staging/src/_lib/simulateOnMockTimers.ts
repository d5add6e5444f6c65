/** Plays a version on the paused clock of a test. */
import type * as nodeTest from 'node:test'
import * as stagingFleet from './stagingFleet.js'

const START = 1_000_000

/**
 * Plays a version with all timers of the runtime paused and advanced by the play.
 *
 * @param context - The test.
 * @param options - The fleet.
 * @returns What came of it.
 */
export async function simulateOnMockTimers (context: nodeTest.TestContext, options: stagingFleet.PlayOptions): Promise<stagingFleet.PlayResult> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: START })
  const result = await stagingFleet.playVersion(async () => {
    context.mock.timers.tick(1)
    await new Promise((resolve) => { setImmediate(resolve) })
  }, options)
  context.mock.timers.reset()
  return result
}
