/** Guards against attempts that are sent although the silent one has gone on or ended meanwhile, and against two that are requested at once. */
import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as raceAttempts from './raceAttempts.js'

interface Fixture {
  /** Ends the only attempt. */
  readonly end: (outcome: string) => void
  readonly contender: raceAttempts.Contender
  readonly result: Promise<string>
  readonly begun: () => readonly string[]
  readonly searches: () => number
  /** Ends the search for another back end; returns whether an attempt was still wanted. */
  readonly find: () => Promise<boolean>
}

function startRace (): Fixture {
  const begun: string[] = []
  const contenders: raceAttempts.Contender[] = []
  const ends: Array<(outcome: string) => void> = []
  let searches = 0
  let find: () => boolean = () => false
  const result = raceAttempts.raceAttempts<string, string>('first', {
    run: async (choice, contender) => {
      begun.push(choice)
      contenders.push(contender)
      return await new Promise((resolve) => { ends.push(resolve) })
    },
    findNext: async (isWanted) => {
      searches += 1
      return await new Promise((resolve) => {
        find = () => {
          resolve('second')
          return isWanted()
        }
      })
    },
    isDone: (outcome) => outcome === 'done',
    setAbort: () => {}
  })
  return {
    end: (outcome) => { ends[0]?.(outcome) },
    contender: contenders[0] as raceAttempts.Contender,
    result,
    begun: () => begun,
    searches: () => searches,
    find: async () => {
      const isWanted = find()
      await new Promise(setImmediate)
      return isWanted
    }
  }
}

nodeTest.test('one attempt is requested at a time, and begun once its back end is found', async () => {
  const race = startRace()
  race.contender.requestNext()
  race.contender.requestNext()
  assert.equal(race.searches(), 1)
  assert.equal(await race.find(), true)
  race.contender.requestNext()
  assert.equal(race.searches(), 1)
  assert.deepEqual(race.begun(), ['first', 'second'])
})

nodeTest.test('no attempt is begun if the silent one goes on while another back end is looked for, and a later silence looks again', async () => {
  const race = startRace()
  race.contender.requestNext()
  assert.equal(race.contender.claim(), true)
  assert.equal(await race.find(), false)
  assert.deepEqual(race.begun(), ['first'])
  race.contender.requestNext()
  assert.equal(await race.find(), true)
  assert.deepEqual(race.begun(), ['first', 'second'])
})

nodeTest.test('no attempt is begun if the only one ends while another back end is looked for', async () => {
  const race = startRace()
  race.contender.requestNext()
  race.end('broken')
  assert.equal(await race.result, 'broken')
  assert.equal(await race.find(), false)
  assert.deepEqual(race.begun(), ['first'])
})
