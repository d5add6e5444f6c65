import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import * as createTableKeeper from '../createTableKeeper/index.js'
import * as createTableWatch from './index.js'

const STEP_MS = 100
const STEPS = 200

/** Guards against an entry node that stays with its table for good since the handling of one object threw. */
nodeTest.test('a later table is adopted after one that another writer left odd, and after the handling of one threw', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] })
  const answers: unknown[] = [{ ...types.EMPTY_TABLE, revision: 1, models: [null] }, { ...types.EMPTY_TABLE, revision: 2 }, { ...types.EMPTY_TABLE, revision: 3 }]
  const events: string[] = []
  const log = (event: string): void => { events.push(event) }
  const logger = { info: log, warn: log, error: log, debug: log } as unknown as createTableWatch.TableWatchOptions['logger']
  const keeper = createTableKeeper.createTableKeeper(logger)
  const adopted: number[] = []
  keeper.onAdopt(({ revision }) => {
    adopted.push(revision)
    if (revision === 2) throw new Error('listener')
  })
  let version = 0
  const watch = createTableWatch.createTableWatch({
    store: {
      watch: async () => {
        await types.delay(STEP_MS)
        const value = answers.shift()
        version += 1
        return types.succeed(value === undefined ? null : { name: 'table', version, value })
      }
    } as unknown as store.ObjectStore,
    keeper,
    isWatcher: () => true,
    logger,
    random: () => 0.5
  })
  watch.start()
  for (let step = 0; step < STEPS; step += 1) {
    context.mock.timers.tick(STEP_MS)
    for (let turn = 0; turn < 10; turn += 1) await Promise.resolve()
  }
  watch.stop()
  assert.deepEqual(adopted, [2, 3])
  assert.ok(events.includes('table-invalid') && events.includes('table-watch-failed'), events.join())
})
