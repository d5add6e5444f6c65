/** Gives waiting calls to backend servers: a call is bound to one only when that one has room. */
import * as types from '@switchridge/types'
import * as routing from '@switchridge/routing'

/** Options of {@link createDispatcher}. */
export interface DispatcherOptions {
  readonly loads: routing.BackendLoads
  readonly health: routing.BackendHealth
  readonly pick: routing.PickBackend
  /** Backend servers that may take calls of the service and row now. */
  readonly listBackends: (service: types.ServiceName, row: string) => readonly types.MemberFacts[]
  readonly findService: (service: types.ServiceName) => types.ServiceRow | undefined
  /** Backend servers of the same data hall are taken first while they have free slots. */
  readonly dataHall: types.DataHallId
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** A call that wants a backend server. */
export interface DispatchRequest {
  readonly service: types.ServiceName
  readonly row: string
  readonly queued: routing.QueuedCall
  readonly affinity: string
  /** Servers that this call has tried. */
  readonly tried: ReadonlySet<types.NodeId>
}

/** A place in the queue, or a backend server at once. */
export interface Dispatched {
  readonly backend: Promise<types.Outcome<types.MemberFacts, routing.NotRunError>>
  readonly cancel: (reason: routing.RefusalReason) => void
}

/** The dispatcher of an entry node. */
export interface Dispatcher {
  readonly submit: (request: DispatchRequest) => Dispatched
  /** Looks again whether waiting calls can go. */
  readonly pump: () => void
  readonly waiting: () => number
}

interface Waiter {
  readonly request: DispatchRequest
  readonly settle: (outcome: types.Outcome<types.MemberFacts, routing.NotRunError>) => void
}

/** Calls that wait at an entry node for each slot that its backend servers have. */
const WAITING_PER_SLOT = 1
const MINIMUM_WAITING = 16

/**
 * Creates the dispatcher.
 *
 * @param options - Loads, health and the way to choose.
 * @returns The dispatcher.
 */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const queues = new Map<string, routing.FairQueue<Waiter>>()

  function submit (request: DispatchRequest): Dispatched {
    const queue = findQueue(request)
    const chosen = queue.size() === 0 ? choose(request) : null
    if (chosen instanceof routing.NotRunError) return { backend: Promise.resolve(types.fail(chosen)), cancel: () => {} }
    if (chosen !== null) {
      noteSent(chosen)
      return { backend: Promise.resolve(types.succeed(chosen)), cancel: () => {} }
    }
    let settle: Waiter['settle'] = () => {}
    const backend = new Promise<types.Outcome<types.MemberFacts, routing.NotRunError>>((resolve) => { settle = resolve })
    const waiter: Waiter = { request, settle }
    const gone = queue.push(waiter, request.queued)
    gone?.settle(types.fail(new routing.NotRunError('full')))
    return { backend, cancel: (reason) => { if (queue.remove(waiter)) settle(types.fail(new routing.NotRunError(reason))) } }
  }

  function findQueue (request: DispatchRequest): routing.FairQueue<Waiter> {
    const key = `${request.service}/${request.row}`
    const known = queues.get(key)
    const capacity = computeCapacity(request)
    if (known !== undefined) {
      known.setCapacity(capacity)
      return known
    }
    const queue = routing.createFairQueue<Waiter>(capacity)
    queues.set(key, queue)
    return queue
  }

  function computeCapacity (request: DispatchRequest): number {
    const concurrency = options.findService(request.service)?.concurrency ?? 0
    return Math.max(MINIMUM_WAITING, WAITING_PER_SLOT * concurrency * options.listBackends(request.service, request.row).length)
  }

  /** A server, null when the call has to wait, or an error when there is nobody to wait for. */
  function choose (request: DispatchRequest): types.MemberFacts | null | routing.NotRunError {
    const service = options.findService(request.service)
    const backends = options.listBackends(request.service, request.row)
    if (service === undefined || backends.length === 0) return new routing.NotRunError('no-backend')
    const usable = backends.filter((facts) => options.health.isUsable(facts.node))
    const fresh = usable.filter((facts) => !request.tried.has(facts.node))
    const able = fresh.length > 0 ? fresh : usable
    if (able.length === 0) return new routing.NotRunError('all-backends-failing')
    return pickFrom(able, service, request.affinity)
  }

  function pickFrom (able: readonly types.MemberFacts[], service: types.ServiceRow, affinity: string): types.MemberFacts | null {
    const candidates = able.map((facts) => options.loads.readCandidate(facts.node, service.concurrency, service.queue))
    const near = candidates.filter((candidate, index) => able[index]?.dataHall === options.dataHall && candidate.load < candidate.limit)
    const picked = options.pick(near.length > 0 ? near : candidates, options.random, affinity)
    return able.find((facts) => facts.node === picked?.node) ?? null
  }

  function noteSent (facts: types.MemberFacts): void {
    options.loads.noteSent(facts.node)
    options.health.noteAttempt(facts.node)
  }

  function pump (): void {
    for (const queue of queues.values()) pumpQueue(queue)
  }

  function pumpQueue (queue: routing.FairQueue<Waiter>): void {
    while (queue.size() > 0) {
      const waiter = queue.peek()
      const chosen = waiter === undefined ? null : choose(waiter.request)
      if (waiter === undefined || chosen === null) return
      queue.pop()
      if (chosen instanceof routing.NotRunError) {
        waiter.settle(types.fail(chosen))
      } else {
        noteSent(chosen)
        waiter.settle(types.succeed(chosen))
      }
    }
  }

  return {
    submit,
    pump,
    waiting: () => [...queues.values()].reduce((sum, queue) => sum + queue.size(), 0)
  }
}
