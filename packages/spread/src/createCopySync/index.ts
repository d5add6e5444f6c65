/** Updates this daemon's copies of the store from peers, preferably those of the own hall. */
import * as types from '@switchridge/types'
import type * as store from '@switchridge/store'
import * as createGossip from '../createGossip/index.js'

/** A request for the changes of a copy. */
export interface CopyRequest {
  readonly kind: string
  /** Revision after which changes are requested; 0 for a full copy. */
  readonly since: number
}

/** The answer of a peer. */
export interface FetchedCopy {
  readonly changes: store.MirrorChanges
  /** Bytes transferred over the network. */
  readonly bytes: number
}

/** The answer of a peer is no valid copy, or not of the requested kind. */
export class InvalidCopyError extends types.SwitchridgeError {}

/** A copy that was adopted from a peer. */
export interface AdoptedCopy extends FetchedCopy {
  readonly host: string
  readonly isOwnHall: boolean
}

/** Options of {@link createCopySync}. */
export interface CopySyncOptions {
  readonly mirrors: readonly store.Mirror[]
  /** The hall of this daemon. */
  readonly zone: string
  /** Tells whether a peer has a copy of the kind that is complete enough for this daemon. */
  readonly canServe: (peer: createGossip.Heartbeat, kind: string) => boolean
  /** Tells whether this daemon's own watch of the kind works, so that its events are worth waiting for. */
  readonly isWatching: (kind: string) => boolean
  /** Milliseconds to wait for peers of the own hall before another hall is asked. */
  readonly otherHallGraceMs: () => number
  /** Requests changes from a peer; `signal` aborts a request whose answer is no longer needed. */
  readonly fetchChanges: (host: string, request: CopyRequest, signal: AbortSignal) => Promise<types.Outcome<FetchedCopy, types.UnavailableError | InvalidCopyError>>
  readonly onRequest: (kind: string, isOwnHall: boolean) => void
  readonly onAdopted: (kind: string, adopted: AdoptedCopy) => void
  /** Called when the state of a peer confirms the own copy, so that nothing needs to be copied. */
  readonly onConfirmed: (kind: string, isOwnHall: boolean) => void
  /** Called when a request fails; `isInvalid` if the answer of the peer cannot be applied. */
  readonly onFailed: (kind: string, host: string, reason: string, isInvalid: boolean) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** Synchronizes copies with the states that peers announce. */
export interface CopySync {
  /** Records the states of a peer's copies, and requests changes where one is newer. */
  readonly noteHeartbeat: (heartbeat: createGossip.Heartbeat) => void
  readonly stop: () => void
}

/** The copy of a peer as last announced. */
interface Offer {
  readonly host: string
  readonly isOwnHall: boolean
  readonly state: store.MirrorState
  readonly heardAt: number
}

/** Time that a daemon whose own watch works waits for its events before it asks a peer; they arrive within it unless a link is full. */
const WATCH_GRACE_MS = 150
/** Time between two checks for a peer to ask while none may be asked, as when only other halls have a newer copy; short compared with the wait for the own hall. */
const HALL_POLL_MS = 50
/** Time within which most answers are complete; after it another peer is asked too, since the link of the late one may be full. */
const LATE_ANSWER_MS = 500
/** Concurrent requests: a late one and another one; more would fill the link of this daemon. */
const MAXIMUM_REQUESTS = 2
const RETRY_MINIMUM_MS = 100
const RETRY_MAXIMUM_MS = 1000
/** A retry delay is randomized between this fraction and the whole, so that daemons whose requests failed together do not retry together. */
const RETRY_MINIMUM_FRACTION = 0.5

/**
 * Creates the sync.
 *
 * @param options - Mirrors, and the functions that ask peers.
 * @returns The sync.
 */
export function createCopySync (options: CopySyncOptions): CopySync {
  let isStopped = false
  const kindSyncs = options.mirrors.map((mirror) => createKindSync(mirror, options, () => isStopped))
  return {
    noteHeartbeat: (heartbeat) => { for (const kindSync of kindSyncs) kindSync.noteHeartbeat(heartbeat) },
    stop: () => { isStopped = true }
  }
}

interface KindSync {
  readonly noteHeartbeat: (heartbeat: createGossip.Heartbeat) => void
}

/** Synchronizes the copy of one kind; a second request is sent only while the first one is late. */
function createKindSync (mirror: store.Mirror, options: CopySyncOptions, isStopped: () => boolean): KindSync {
  const { kind } = mirror
  const offers = new Map<string, Offer>()
  /** Hosts that failed since the last success; they are asked again only after all others. */
  const failed = new Set<string>()
  /** Pending requests, by host. */
  const pending = new Map<string, AbortController>()
  let failures = 0
  let isSyncing = false
  /** Monotonic times from which the next peer may be asked, and one of another hall. */
  let nextRequestAt = 0
  let otherHallsAt = 0
  let endWait = (): void => {}
  let needsFullCopy = false

  function noteHeartbeat (heartbeat: createGossip.Heartbeat): void {
    const state = heartbeat.copies[kind]
    if (state === undefined || !options.canServe(heartbeat, kind)) return
    const { host } = heartbeat
    const isOwnHall = heartbeat.zone === options.zone
    offers.set(host, { host, isOwnHall, state, heardAt: options.now() })
    if (mirror.advanceIfEqual(state)) options.onConfirmed(kind, isOwnHall)
    if (!isSyncing && isWanted(state)) void synchronize()
  }

  function isWanted (state: store.MirrorState): boolean {
    const own = mirror.state()
    return state.at > own.at && (!mirror.isInitialized() || state.digest !== own.digest)
  }

  /**
   * Lists the peers that have a newer copy. Removes those whose copies are not newer, and those that were silent for longer than the heartbeat
   * interval of any fleet. A peer that is gone sooner fails its request, and is asked only after all others.
   */
  function listOffers (): Offer[] {
    for (const offer of offers.values()) {
      const isSilent = options.now() - offer.heardAt > createGossip.PEER_EXPIRY_MS
      if (isSilent || !isWanted(offer.state)) offers.delete(offer.host)
    }
    return [...offers.values()]
  }

  /** Picks a peer of the own hall that has not failed; once other halls are allowed, any peer, preferably one that has not failed. */
  function choosePeer (wanted: readonly Offer[], areOtherHallsAllowed: boolean): Offer | undefined {
    const ownHall = wanted.filter(({ isOwnHall }) => isOwnHall)
    const notFailedOwnHall = ownHall.filter(({ host }) => !failed.has(host))
    if (notFailedOwnHall.length > 0) return pickRandom(notFailedOwnHall)
    if (!areOtherHallsAllowed) return pickRandom(ownHall)
    const notFailed = wanted.filter(({ host }) => !failed.has(host))
    return pickRandom(notFailed.length === 0 ? wanted : notFailed)
  }

  function pickRandom (from: readonly Offer[]): Offer | undefined {
    return from[Math.floor(options.random() * from.length)]
  }

  async function synchronize (): Promise<void> {
    isSyncing = true
    if (mirror.isInitialized() && options.isWatching(kind)) await types.delay(WATCH_GRACE_MS)
    nextRequestAt = options.now()
    otherHallsAt = options.now() + options.otherHallGraceMs()
    for (let wanted = listOffers(); wanted.length > 0 && !isStopped(); wanted = listOffers()) await waitForAnswer(requestNext(wanted))
    abortRequests()
    isSyncing = false
  }

  /** Waits until a request ends, but no longer than the given time. */
  async function waitForAnswer (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds)
      endWait = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  /** Sends a request to another peer if one may be asked now; returns the milliseconds until the next check. */
  function requestNext (wanted: readonly Offer[]): number {
    const waitMs = nextRequestAt - options.now()
    if (waitMs > 0) return waitMs
    const others = wanted.filter(({ host }) => !pending.has(host))
    const chosen = pending.size < MAXIMUM_REQUESTS ? choosePeer(others, options.now() >= otherHallsAt) : undefined
    if (chosen === undefined) return HALL_POLL_MS
    nextRequestAt = options.now() + LATE_ANSWER_MS
    void request(chosen)
    return LATE_ANSWER_MS
  }

  /** Aborts the pending requests, whose answers are no longer needed. */
  function abortRequests (): void {
    for (const controller of pending.values()) controller.abort()
    pending.clear()
  }

  function computeRetryMs (): number {
    const retryMs = Math.min(RETRY_MAXIMUM_MS, RETRY_MINIMUM_MS * 2 ** (failures - 1))
    return types.jitter(retryMs, RETRY_MINIMUM_FRACTION, options.random())
  }

  function noteFailure (host: string, reason: string, isInvalid: boolean): false {
    failures += 1
    failed.add(host)
    options.onFailed(kind, host, reason, isInvalid)
    return false
  }

  async function request (offer: Offer): Promise<void> {
    const { host, isOwnHall } = offer
    const controller = new AbortController()
    pending.set(host, controller)
    const since = needsFullCopy ? 0 : mirror.state().at
    options.onRequest(kind, isOwnHall)
    const fetched = await options.fetchChanges(host, { kind, since }, controller.signal)
    if (controller.signal.aborted) return
    pending.delete(host)
    const isAccepted = handleAnswer(offer, fetched)
    nextRequestAt = options.now() + (isAccepted ? 0 : computeRetryMs())
    if (isAccepted) otherHallsAt = options.now() + options.otherHallGraceMs()
    endWait()
  }

  function handleAnswer ({ host, isOwnHall }: Offer, fetched: Awaited<ReturnType<CopySyncOptions['fetchChanges']>>): boolean {
    if (!fetched.ok) return noteFailure(host, fetched.error.message, fetched.error instanceof InvalidCopyError)
    const { changes } = fetched.value
    if (changes.kind !== kind) return noteFailure(host, `a copy of ${changes.kind}`, true)
    return handleApplyResult(mirror.applyChanges(changes), { ...fetched.value, host, isOwnHall })
  }

  function handleApplyResult (result: store.ApplyResult, adopted: AdoptedCopy): boolean {
    if (result === 'false-digest') return noteFailure(adopted.host, 'objects that do not give their digest', true)
    if (result === 'unfit') {
      needsFullCopy = true
      return noteFailure(adopted.host, 'changes that do not join on to this copy', true)
    }
    failures = 0
    failed.clear()
    needsFullCopy = false
    if (result !== 'applied') {
      offers.delete(adopted.host)
      return true
    }
    abortRequests()
    options.onAdopted(kind, adopted)
    return true
  }

  return { noteHeartbeat }
}
