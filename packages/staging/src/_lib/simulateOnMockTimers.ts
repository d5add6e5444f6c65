/** Simulates the distribution of a version on mocked timers. */
import type * as nodeTest from 'node:test'
import * as stagingFleet from './stagingFleet.js'

const START_TIME_MS = 1_000_000

/**
 * Simulates the distribution of a version while the simulation advances the runtime's mocked timers.
 *
 * @param context - Context of the test.
 * @param options - The fleet and its faults.
 * @returns The measurements of the simulation.
 */
export async function simulateOnMockTimers (context: nodeTest.TestContext, options: stagingFleet.SimulationOptions): Promise<stagingFleet.SimulationResult> {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: START_TIME_MS })
  const result = await stagingFleet.simulateVersion(async () => {
    context.mock.timers.tick(1)
    await new Promise((resolve) => { setImmediate(resolve) })
  }, options)
  context.mock.timers.reset()
  return result
}
