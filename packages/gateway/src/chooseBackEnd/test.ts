import * as assert from 'node:assert/strict'
import * as nodeTest from 'node:test'
import * as types from '@switchridge/types'
import * as chooseBackEnd from './index.js'
import * as createBackEndBook from '../createBackEndBook/index.js'
import type * as gateway from '../types/index.js'

const FIGURES: gateway.EngineFigures = {
  slots: 16, models: ['m'], layers: 1, chunks: 1, chunkBytes: 1, stepMs: 10, stepMsPerSequence: 0, prefillTokensPerMs: 20, usualPromptTokens: 1000, usualAnswerTokens: 100
}
const NOW = 5000

function createEngine (id: string, version: number, zone = 'a', isDraining = false): gateway.BackEnd {
  return {
    id: types.brandId(id), bornAt: null, service: types.brandId('llm'), address: { host: '127.0.0.1', port: 1 }, zone, slots: 16, isDraining, models: new Map([['m', version]])
  }
}

function report (version: number, running: number, waiting = 0): createBackEndBook.AgentNews {
  return {
    isPaused: false, changesInMs: null, report: { bornAt: null, running, waiting, isBusy: false, sequence: 0, pace: 1, limitPerSecond: null, models: new Map([['m', version]]) }
  }
}

function chooseAmong (backEnds: readonly gateway.BackEnd[], book: createBackEndBook.BackEndBook, change: Partial<chooseBackEnd.ChoiceInput> = {}): chooseBackEnd.ChoiceOutcome {
  return chooseBackEnd.chooseBackEnd({
    backEnds, book, figures: FIGURES, zone: 'a', gateways: 1, model: 'm', promptTokens: 1000, answerTokens: 100, lastSendTo: () => Infinity, endsAt: NOW + 6000, readRoom: () => null, mayAsk: true, pinnedVersion: null, tried: new Set(), now: NOW, random: () => 0, ...change
  })
}

function choose (backEnds: readonly gateway.BackEnd[], book: createBackEndBook.BackEndBook, change: Partial<chooseBackEnd.ChoiceInput> = {}): string | null {
  return chooseAmong(backEnds, book, change).choice?.backEnd.id ?? null
}

nodeTest.test('the engine with the earliest first event is chosen, and the own zone among equals', () => {
  const book = createBackEndBook.createBackEndBook(() => NOW)
  const engines = [createEngine('far', 1, 'b'), createEngine('full', 1), createEngine('near', 1)]
  book.noteReport(types.brandId('full'), report(1, 16, 4), NOW, 0)
  assert.equal(choose(engines, book), 'near')
  book.noteReport(types.brandId('near'), report(1, 16, 2), NOW, 0)
  assert.equal(choose(engines, book), 'far')
})

nodeTest.test('engines that drain, were tried or hold another version are left out', () => {
  const book = createBackEndBook.createBackEndBook(() => NOW)
  assert.equal(choose([createEngine('draining', 1, 'a', true)], book), null)
  assert.equal(choose([createEngine('tried', 1)], book, { tried: new Set([types.brandId<types.NodeId>('tried')]) }), null)
  assert.equal(choose([createEngine('old', 1), createEngine('new', 2, 'b')], book, { pinnedVersion: 2 }), 'new')
})

nodeTest.test('a back end whose address belongs to another one now is left out until the list forgets it', () => {
  const book = createBackEndBook.createBackEndBook(() => NOW)
  const engines = [createEngine('ended', 1), createEngine('next', 1, 'b')]
  book.noteGone(types.brandId('ended'))
  assert.equal(choose(engines, book), 'next')
  assert.equal(choose([createEngine('ended', 1)], book), null)
})

nodeTest.test('an engine where the call may begin after the bound is left out: queue, silence and full links count', () => {
  const lastSendTo = (version: number): number => version < 2 ? NOW + 400 : Infinity
  const engines = [createEngine('old', 1)]
  const idle = createBackEndBook.createBackEndBook(() => NOW)
  idle.noteReport(types.brandId('old'), report(1, 2), NOW, 0)
  assert.equal(choose(engines, idle, { lastSendTo }), 'old')
  const queued = createBackEndBook.createBackEndBook(() => NOW)
  queued.noteReport(types.brandId('old'), report(1, 16, 4), NOW, 0)
  assert.equal(choose(engines, queued, { lastSendTo }), null)
  const silent = createBackEndBook.createBackEndBook(() => NOW)
  silent.noteReport(types.brandId('old'), report(1, 2), NOW - 1300, 0)
  assert.equal(choose(engines, silent, { lastSendTo }), null)
  const paused = createBackEndBook.createBackEndBook(() => NOW)
  paused.noteReport(types.brandId('old'), { ...report(1, 2), isPaused: true }, NOW, 0)
  assert.equal(choose(engines, paused, { lastSendTo }), null)
  const squeezed = createBackEndBook.createBackEndBook(() => NOW)
  squeezed.noteReport(types.brandId('old'), report(1, 2), NOW - 200, 200)
  assert.equal(choose(engines, squeezed, { lastSendTo }), null)
})

nodeTest.test('an engine that is about to change its version is passed over for one that stays', () => {
  const book = createBackEndBook.createBackEndBook(() => NOW)
  book.noteReport(types.brandId('changing'), { ...report(1, 2), changesInMs: 100 }, NOW, 0)
  book.noteReport(types.brandId('staying'), report(1, 4), NOW, 0)
  assert.equal(choose([createEngine('changing', 1), createEngine('staying', 1, 'b')], book), 'staying')
})

nodeTest.test('a call may be sent to a sound, idle engine later than to any other one, and not until the bound', () => {
  const lastSendTo = (version: number): number => version < 2 ? NOW - 300 : Infinity
  const engines = [createEngine('old', 1)]
  const idle = createBackEndBook.createBackEndBook(() => NOW)
  idle.noteReport(types.brandId('old'), report(1, 2), NOW, 0)
  assert.equal(choose(engines, idle, { lastSendTo }), null)
  assert.equal(choose(engines, idle, { lastSendTo, pinnedVersion: 1 }), null, 'the way there may be full')
  idle.noteConnect(types.brandId('old'), 4)
  assert.equal(choose(engines, idle, { lastSendTo }), 'old')
  assert.equal(choose(engines, idle, { lastSendTo, pinnedVersion: 1 }), 'old')
  assert.equal(choose(engines, idle, { lastSendTo, pinnedVersion: 1, tried: new Set([types.brandId<types.NodeId>('mute')]) }), null, 'a second attempt may be long under way')
  assert.equal(choose(engines, idle, { lastSendTo: () => NOW - 800 }), null, 'its first event may come too late')
  const queued = createBackEndBook.createBackEndBook(() => NOW)
  queued.noteReport(types.brandId('old'), report(1, 2, 1), NOW, 0)
  queued.noteConnect(types.brandId('old'), 4)
  assert.equal(choose(engines, queued, { lastSendTo, pinnedVersion: 1 }), null)
  const squeezed = createBackEndBook.createBackEndBook(() => NOW)
  squeezed.noteReport(types.brandId('old'), report(1, 2), NOW, 0)
  squeezed.noteConnect(types.brandId('old'), 160)
  assert.equal(choose(engines, squeezed, { lastSendTo, pinnedVersion: 1 }), null)
  const unknown = createBackEndBook.createBackEndBook(() => NOW)
  assert.equal(choose(engines, unknown, { lastSendTo, pinnedVersion: 1 }), null)
})

nodeTest.test('a stream that goes on is kept from engines that change soon, since it can move only once', () => {
  const book = createBackEndBook.createBackEndBook(() => NOW)
  book.noteReport(types.brandId('soon'), { ...report(1, 2), changesInMs: 600 }, NOW, 0)
  book.noteReport(types.brandId('later'), { ...report(1, 12), changesInMs: 1600 }, NOW, 0)
  const engines = [createEngine('soon', 1), createEngine('later', 1)]
  assert.equal(choose(engines, book, { pinnedVersion: 1 }), 'later')
})

nodeTest.test('calls that a change of version broke off do not make the engine avoided', () => {
  const id = types.brandId<types.NodeId>('changed')
  const paused = createBackEndBook.createBackEndBook(() => NOW)
  paused.noteReport(id, { ...report(1, 2), isPaused: true }, NOW, 0)
  paused.noteFailure(id)
  assert.equal(paused.read(id).avoidedUntil, 0)
  const late = createBackEndBook.createBackEndBook(() => NOW)
  late.noteReport(id, report(1, 2), NOW, 0)
  late.noteFailure(id)
  assert.ok(late.read(id).avoidedUntil > NOW)
  late.noteReport(id, report(2, 0), NOW, 0)
  assert.equal(late.read(id).avoidedUntil, 0)
})

nodeTest.test('the part of all places that is taken counts reports and what all gateways sent since, of plain back ends own calls alone', () => {
  const book = createBackEndBook.createBackEndBook(() => NOW)
  const engines = [createEngine('one', 1), createEngine('other', 1)]
  book.noteReport(types.brandId('one'), report(1, 6, 2), NOW - 100, 0)
  book.noteReport(types.brandId('other'), report(1, 0), NOW - 100, 0)
  book.noteSent(types.brandId('other'), { promptTokens: 1000, answerTokens: 100, sentAt: NOW - 50, hasBegun: false })
  assert.equal(chooseAmong(engines, book, { gateways: 4 }).takenPart, (8 + 4) / 32)
  assert.equal(chooseAmong(engines, book, { gateways: 4, figures: null, model: null }).takenPart, 1 / 32)
  assert.equal(chooseAmong([], book).takenPart, 1)
})
