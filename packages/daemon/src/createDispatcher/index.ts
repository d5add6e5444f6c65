/** Assigns queued calls to backend servers; a call is bound to a server only once that server has capacity. */
import * as types from '@switchridge/types'
import * as routing from '@switchridge/routing'

/** Options of {@link createDispatcher}. */
export interface DispatcherOptions {
  readonly loads: routing.BackendLoads
  readonly health: routing.BackendHealth
  readonly pick: routing.PickBackend
  /** Returns the backend servers that can currently take calls of the service and row; the row is empty for a plain service. */
  readonly listBackends: (service: types.ServiceName, row: string) => readonly types.MemberFacts[]
  /** Whether a backend server for such calls became silent a moment ago, so that calls wait for it while no other can take them. */
  readonly isRecoveryPossible: (service: types.ServiceName, row: string) => boolean
  readonly findService: (service: types.ServiceName) => types.ServiceRow | undefined
  /** Backend servers in this data hall are preferred while they have free slots. */
  readonly dataHall: types.DataHallId
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** A call that needs a backend server. */
export interface DispatchRequest {
  readonly service: types.ServiceName
  readonly row: string
  readonly queued: routing.QueuedCall
  /** Calls with the same text preferably go to the same backend server, as far as its load allows; empty for no preference. */
  readonly affinity: string
  /** Servers already tried for this call; the others are preferred. */
  readonly tried: ReadonlySet<types.NodeId>
}

/** The pending or immediate assignment of a backend server. */
export interface Dispatched {
  /** Resolves to the backend server, or to an error once the call cannot be assigned any more. */
  readonly backend: Promise<types.Outcome<types.MemberFacts, routing.NotRunError>>
  readonly cancel: (reason: routing.RefusalReason) => void
}

/** The dispatcher of an entry node. */
export interface Dispatcher {
  readonly submit: (request: DispatchRequest) => Dispatched
  /** Assigns queued calls as far as backend servers have capacity. */
  readonly dispatchWaiting: () => void
  /** Returns the number of queued calls. */
  readonly waiting: () => number
}

interface QueuedRequest {
  readonly request: DispatchRequest
  readonly settle: (outcome: types.Outcome<types.MemberFacts, routing.NotRunError>) => void
}

/** Queue capacity at an entry node for each slot of its backend servers. */
const QUEUE_CAPACITY_PER_SLOT = 1
const MINIMUM_QUEUE_CAPACITY = 16

/**
 * Creates the dispatcher.
 *
 * @param options - Loads, health and selection strategy.
 * @returns The dispatcher.
 */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const queues = new Map<string, routing.FairQueue<QueuedRequest>>()

  function submit (request: DispatchRequest): Dispatched {
    const queue = findQueue(request)
    const chosen = queue.size() === 0 ? choose(request) : null
    if (chosen instanceof routing.NotRunError) return { backend: Promise.resolve(types.fail(chosen)), cancel: () => {} }
    if (chosen !== null) {
      noteSent(chosen)
      return { backend: Promise.resolve(types.succeed(chosen)), cancel: () => {} }
    }
    let settle: QueuedRequest['settle'] = () => {}
    const backend = new Promise<types.Outcome<types.MemberFacts, routing.NotRunError>>((resolve) => { settle = resolve })
    const entry: QueuedRequest = { request, settle }
    const evicted = queue.push(entry, request.queued)
    evicted?.settle(types.fail(new routing.NotRunError('full')))
    return { backend, cancel: (reason) => { if (queue.remove(entry)) settle(types.fail(new routing.NotRunError(reason))) } }
  }

  function findQueue (request: DispatchRequest): routing.FairQueue<QueuedRequest> {
    const key = `${request.service}/${request.row}`
    const existing = queues.get(key)
    const backends = options.listBackends(request.service, request.row).length
    const capacity = computeCapacity(request, backends)
    if (existing !== undefined) {
      // Calls that wait for silent servers keep the places that these servers gave them.
      if (backends > 0) existing.setCapacity(capacity)
      return existing
    }
    const queue = routing.createFairQueue<QueuedRequest>(capacity)
    queues.set(key, queue)
    return queue
  }

  function computeCapacity (request: DispatchRequest, backends: number): number {
    const concurrency = options.findService(request.service)?.concurrency ?? 0
    return Math.max(MINIMUM_QUEUE_CAPACITY, QUEUE_CAPACITY_PER_SLOT * concurrency * backends)
  }

  /** Returns a server, null when the call has to wait, or an error when there is no server to wait for. */
  function choose (request: DispatchRequest): types.MemberFacts | null | routing.NotRunError {
    const service = options.findService(request.service)
    const backends = options.listBackends(request.service, request.row)
    if (service === undefined) return new routing.NotRunError('no-backend')
    if (backends.length === 0) return options.isRecoveryPossible(request.service, request.row) ? null : new routing.NotRunError('no-backend')
    const usable = backends.filter((facts) => options.health.isUsable(facts.node))
    const untried = usable.filter((facts) => !request.tried.has(facts.node))
    const eligible = untried.length > 0 ? untried : usable
    if (eligible.length === 0) return new routing.NotRunError('all-backends-failing')
    return pickFrom(eligible, service, request.affinity)
  }

  function pickFrom (eligible: readonly types.MemberFacts[], service: types.ServiceRow, affinity: string): types.MemberFacts | null {
    const candidates = eligible.map((facts) => options.loads.readCandidate(facts.node, service.concurrency, service.queue))
    const local = candidates.filter((candidate, index) => eligible[index]?.dataHall === options.dataHall && candidate.load < candidate.limit)
    const picked = options.pick(local.length > 0 ? local : candidates, options.random, affinity)
    return eligible.find((facts) => facts.node === picked?.node) ?? null
  }

  function noteSent (facts: types.MemberFacts): void {
    options.loads.noteSent(facts.node)
    options.health.noteAttempt(facts.node)
  }

  function dispatchWaiting (): void {
    for (const queue of queues.values()) dispatchQueue(queue)
  }

  function dispatchQueue (queue: routing.FairQueue<QueuedRequest>): void {
    while (queue.size() > 0) {
      const entry = queue.peek()
      const chosen = entry === undefined ? null : choose(entry.request)
      if (entry === undefined || chosen === null) return
      queue.pop()
      if (chosen instanceof routing.NotRunError) {
        entry.settle(types.fail(chosen))
      } else {
        noteSent(chosen)
        entry.settle(types.succeed(chosen))
      }
    }
  }

  return {
    submit,
    dispatchWaiting,
    waiting: () => [...queues.values()].reduce((sum, queue) => sum + queue.size(), 0)
  }
}
