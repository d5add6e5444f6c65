import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as standins from '@switchridge/standins'
import * as createSizeShares from './index.js'

const LARGE_SIZE = 1000
const CALLS = 4000

interface Served {
  readonly usual: number
  readonly large: number
}

/** Fractions of the calls of each size that are sent, if usual calls are sent at a rate and large ones only with a discount of a half or more. */
function simulate (usualRate: number, isServed: (size: number) => boolean = () => true): Served {
  const shares = createSizeShares.createSizeShares()
  const random = standins.createSeededRandom(7)
  const asked = { usual: 0, large: 0 }
  const served = { usual: 0, large: 0 }
  for (let at = 0; at < CALLS; at += 1) {
    const size = random() < 0.3 ? LARGE_SIZE + Math.round(random() * 100) : Math.round(random() * 100)
    const name = size >= LARGE_SIZE ? 'large' : 'usual'
    const call = shares.open('r', size)
    asked[name] += 1
    if (name === 'large' ? call.readPromptDiscount() < 0.5 : random() >= usualRate) continue
    call.noteSent()
    if (isServed(size)) served[name] += 1
    else call.noteUnserved()
  }
  return { usual: served.usual / asked.usual, large: served.large / asked.large }
}

for (const usualRate of [0.9, 0.5, 0.2]) {
  nodeTest.test(`large calls are sent at half the rate of all calls or more, and not at more than that of usual ones, which is ${usualRate}`, () => {
    const { usual, large } = simulate(usualRate)
    const all = 0.7 * usual + 0.3 * large
    assert.ok(large >= 0.5 * all && large <= usual, `${large} of ${all}`)
  })
}

nodeTest.test('large calls that were sent but not served are made up for', () => {
  let count = 0
  const { usual, large } = simulate(0.5, (size) => {
    count += 1
    return size < LARGE_SIZE || count % 2 === 0
  })
  assert.ok(large >= 0.5 * (0.7 * usual + 0.3 * large), `${large} and ${usual}`)
})

nodeTest.test('usual calls, and calls of another route, get no discount', () => {
  const shares = createSizeShares.createSizeShares()
  for (let at = 0; at < 100; at += 1) shares.open('r', at).noteSent()
  for (let at = 0; at < 10; at += 1) shares.open('r', LARGE_SIZE)
  assert.equal(shares.open('r', 1).readPromptDiscount(), 0)
  assert.ok(shares.open('r', LARGE_SIZE).readPromptDiscount() > 0)
  assert.equal(shares.open('other', LARGE_SIZE).readPromptDiscount(), 0)
})
