/** Another writer leaves entries in service discovery that name no engine to use; one of them has a port that does not exist. */
import * as harness from '../lib/harness.mjs'
import * as plainEngine from '../lib/plainEngine.mjs'

/** TROUBLE=0 plays the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

const CALLERS = 10
const CALLS_EACH = 12
const WORK_MS = 60

async function call (gateway, target, id) {
  const caller = harness.openCaller(gateway)
  caller.socket.write(harness.formatHead('POST', target, id, { 'Content-Length': '2', Connection: 'close' }) + '{}')
  await Promise.race([caller.ended, harness.delay(8000)])
  caller.socket.destroy()
  return caller.read()
}

/** Calls of some callers at the same time, each with the next one once it has its answer. */
async function load (gateway, name) {
  const statuses = new Map()
  await Promise.all(Array.from({ length: CALLERS }, async (_, caller) => {
    const results = []
    for (let index = 0; index < CALLS_EACH; index += 1) {
      const { status, headers, isWhole } = await call(gateway, `/${name}/x`, `${name}-${caller}-${index}`)
      const key = `${status}${headers['engine-seal'] === undefined ? '' : ' of an engine'}${isWhole ? '' : ', cut'}`
      statuses.set(key, (statuses.get(key) ?? 0) + 1)
      results.push(key)
      await harness.delay(20)
    }
    harness.note(`caller: ${name}-${caller}-0 and on sent to /${name}/x: ${harness.formatRuns(results)}`)
  }))
  const served = statuses.get('200 of an engine') ?? 0
  harness.note(`callers: ${served} of ${CALLERS * CALLS_EACH} calls to /${name}/ served; ${[...statuses].map(([key, count]) => `${key}: ${count}`).join('; ')}`)
  return served / (CALLERS * CALLS_EACH)
}

await harness.runScript(import.meta.dirname, hasTrouble, async () => {
  const store = await harness.startStore()
  const first = await plainEngine.startPlainEngine('i-first', WORK_MS)
  const later = await plainEngine.startPlainEngine('i-later', WORK_MS)
  const route = (name) => ({ name, pathPrefix: `/${name}/`, routeType: 'idempotent', service: name })
  store.put('config', 'main', harness.createConfiguration([route('first')], ['first']))
  store.put('servers', first.id, harness.describeEngine('first', first.address, Date.now()))
  store.put('servers', later.id, harness.describeEngine('later', later.address, Date.now()))
  const gateway = await harness.startGateway({ store: store.address })
  if (hasTrouble) {
    const foreign = (address, more = {}) => harness.describeEngine('later', address, Date.now(), more)
    store.put('servers', 'x-1', foreign('127.0.0.1:9', { slots: undefined }))
    store.put('servers', 'x-2', foreign('127.0.0.1:9', { state: 'resting' }))
    store.put('servers', 'x-3', foreign('127.0.0.1:70000'))
    harness.note('another writer: x-1 without slots, x-2 in an unknown state, x-3 with the address 127.0.0.1:70000')
  }
  store.put('config', 'main', { ...harness.createConfiguration([route('first'), route('later')], ['first', 'later']), version: 2 })
  harness.note('operator: version 2 of the configuration adds the route /later/')
  await harness.delay(5000)
  const [firstRate, laterRate] = await Promise.all([load(gateway, 'first'), load(gateway, 'later')])
  for (const { id, runs } of [first, later]) harness.note(`engine: ${id} ran ${runs.length} requests${runs.length > 0 ? `: ${runs.map(({ requestId }) => requestId).join()}` : ''}`)
  const error = /event=call-broken .*/.exec(gateway.readLog())?.[0]
  if (error !== undefined) harness.note(`the gateway's log, first of its lines: ${error}`)
  return laterRate >= firstRate / 4
})
