import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as createTurnQueue from './createTurnQueue.js'

/** A queue whose turns are run by hand. */
function createQueue (): { readonly queue: createTurnQueue.TurnQueue, readonly runTurn: () => void, readonly hasTurn: () => boolean } {
  const turns: Array<() => void> = []
  return {
    queue: createTurnQueue.createTurnQueue((run) => { turns.push(run) }),
    runTurn: () => { turns.shift()?.() },
    hasTurn: () => turns.length > 0
  }
}

nodeTest.test('work is begun in its order, up to the bound of a turn', () => {
  const { queue, runTurn, hasTurn } = createQueue()
  const ran: number[] = []
  const half = createTurnQueue.WORK_UNITS_PER_TURN / 2
  for (let index = 0; index < 5; index += 1) queue.add({ estimateUnits: () => half, run: () => { ran.push(index) } })
  assert.deepEqual(ran, [])
  runTurn()
  assert.deepEqual(ran, [0, 1])
  runTurn()
  assert.deepEqual(ran, [0, 1, 2, 3])
  runTurn()
  assert.deepEqual(ran, [0, 1, 2, 3, 4])
  assert.equal(hasTurn(), false)
})

nodeTest.test('work that exceeds the bound has a turn of its own', () => {
  const { queue, runTurn } = createQueue()
  const ran: string[] = []
  for (const name of ['first', 'second']) queue.add({ estimateUnits: () => createTurnQueue.WORK_UNITS_PER_TURN * 3, run: () => { ran.push(name) } })
  runTurn()
  assert.deepEqual(ran, ['first'])
  runTurn()
  assert.deepEqual(ran, ['first', 'second'])
})

nodeTest.test('work that is added again waits behind that of others, in a later turn', () => {
  const { queue, runTurn } = createQueue()
  const ran: string[] = []
  function add (name: string): void {
    queue.add({
      estimateUnits: () => 1,
      run: () => {
        ran.push(name)
        add(name)
      }
    })
  }
  add('first')
  add('second')
  runTurn()
  assert.deepEqual(ran, ['first', 'second'])
  runTurn()
  assert.deepEqual(ran, ['first', 'second', 'first', 'second'])
})

nodeTest.test('work that was taken out is not run, and work that throws does not stop the queue', () => {
  const { queue, runTurn } = createQueue()
  const ran: string[] = []
  const remove = queue.add({ estimateUnits: () => 1, run: () => { ran.push('removed') } })
  queue.add({ estimateUnits: () => 1, run: () => { throw new Error('broken') } })
  queue.add({ estimateUnits: () => 1, run: () => { ran.push('last') } })
  remove()
  assert.throws(runTurn, /broken/)
  runTurn()
  assert.deepEqual(ran, ['last'])
})
