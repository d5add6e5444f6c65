/** Brings this daemon's copies of the store up to date by what peers have, those of the own hall first. */
import * as types from '@switchridge/types'
import type * as store from '@switchridge/store'
import * as createGossip from '../createGossip/index.js'

/** A request for what changed in a copy. */
export interface CopyRequest {
  readonly kind: string
  /** Changes after this revision are wanted; 0 for a whole copy. */
  readonly since: number
}

/** What a peer answered. */
export interface FetchedCopy {
  readonly changes: store.CopyChanges
  /** Bytes that crossed the network. */
  readonly bytes: number
}

/** A peer sent what is no copy, or not the one that was asked for. */
export class InvalidCopyError extends types.SwitchridgeError {}

/** A copy that was taken over. */
export interface AdoptedCopy extends FetchedCopy {
  readonly host: string
  readonly isOwnHall: boolean
}

/** Options of {@link createCopySync}. */
export interface CopySyncOptions {
  readonly mirrors: readonly store.Mirror[]
  /** The hall of this daemon. */
  readonly zone: string
  /** Whether a peer has a copy of the kind that is whole enough for this daemon. */
  readonly canServe: (peer: createGossip.Heartbeat, kind: string) => boolean
  /** Whether this daemon's own watch of the kind works, so that it may be waited for. */
  readonly isWatching: (kind: string) => boolean
  /** Milliseconds that peers of the own hall are waited for before another hall is asked. */
  readonly farGraceMs: () => number
  /** `signal` ends a request whose answer is not needed any more. */
  readonly fetchChanges: (host: string, request: CopyRequest, signal: AbortSignal) => Promise<types.Outcome<FetchedCopy, types.UnavailableError | InvalidCopyError>>
  readonly onAsked: (kind: string, isOwnHall: boolean) => void
  readonly onAdopted: (kind: string, adopted: AdoptedCopy) => void
  /** A peer's state showed that nothing needs to be copied. */
  readonly onConfirmed: (kind: string, isOwnHall: boolean) => void
  /** A request came to nothing; `isInvalid` when the peer answered what can't be taken. */
  readonly onFailed: (kind: string, host: string, reason: string, isInvalid: boolean) => void
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** Follows the states that peers tell of. */
export interface CopySync {
  /** Notes how far a peer's copies are. */
  readonly noteHeartbeat: (heartbeat: createGossip.Heartbeat) => void
  readonly stop: () => void
}

/** A peer's copy as it last told of it. */
interface Offer {
  readonly host: string
  readonly isOwnHall: boolean
  readonly state: store.CopyState
  readonly heardAt: number
}

/** A daemon whose own watch works waits so long for it before it asks a peer; answers of the store arrive within it unless a link is full. */
const WATCH_GRACE_MS = 150
/** While only other halls have what is wanted, the own hall is looked at so often; short against the waits for a hall. */
const HALL_POLL_MS = 50
/** Most answers are whole within it; after it another peer is asked beside the one that is late, whose link may be full. */
const LATE_ANSWER_MS = 500
/** One that is late and one beside it: more would fill the link of this daemon. */
const MAXIMUM_ASKED = 2
const RETRY_MINIMUM_MS = 100
const RETRY_MAXIMUM_MS = 1000
/** A pause is between this part and the whole, so that peers that failed together don't ask together. */
const RETRY_MINIMUM_PART = 0.5

/**
 * Creates the sync.
 *
 * @param options - Mirrors and how peers are asked.
 * @returns The sync.
 */
export function createCopySync (options: CopySyncOptions): CopySync {
  let isStopped = false
  const followers = options.mirrors.map((mirror) => createFollower(mirror, options, () => isStopped))
  return {
    noteHeartbeat: (heartbeat) => { for (const follower of followers) follower.note(heartbeat) },
    stop: () => { isStopped = true }
  }
}

interface Follower {
  readonly note: (heartbeat: createGossip.Heartbeat) => void
}

/** Follows the copies of one kind; a second request is under way only while the first one is late. */
function createFollower (mirror: store.Mirror, options: CopySyncOptions, isStopped: () => boolean): Follower {
  const { kind } = mirror
  const offers = new Map<string, Offer>()
  /** Hosts that failed since the last success; they are asked again after all others. */
  const failed = new Set<string>()
  /** Requests that are under way, by host. */
  const asking = new Map<string, AbortController>()
  let failures = 0
  let isFollowing = false
  /** Time from which the next peer may be asked, and one of another hall. */
  let askFrom = 0
  let farFrom = 0
  let wake = (): void => {}
  let isWholeWanted = false

  function note (heartbeat: createGossip.Heartbeat): void {
    const state = heartbeat.copies[kind]
    if (state === undefined || !options.canServe(heartbeat, kind)) return
    const { host } = heartbeat
    const isOwnHall = heartbeat.zone === options.zone
    offers.set(host, { host, isOwnHall, state, heardAt: options.now() })
    if (mirror.confirm(state)) options.onConfirmed(kind, isOwnHall)
    if (!isFollowing && isWanted(state)) void follow()
  }

  function isWanted (state: store.CopyState): boolean {
    const own = mirror.state()
    return state.at > own.at && (!mirror.isKnown() || state.digest !== own.digest)
  }

  /**
   * Peers that have what this daemon does not; those that are behind are forgotten, and those that were silent for longer than
   * any fleet's heartbeats are apart. One that is gone fails its request and is asked after all others.
   */
  function listOffers (): Offer[] {
    for (const offer of offers.values()) {
      const isSilent = options.now() - offer.heardAt > createGossip.PEER_FORGET_MS
      if (isSilent || !isWanted(offer.state)) offers.delete(offer.host)
    }
    return [...offers.values()]
  }

  /** Any of the own hall that has not failed; later any at all, those that have not failed first. */
  function choose (wanted: readonly Offer[], isFarAllowed: boolean): Offer | undefined {
    const near = wanted.filter(({ isOwnHall }) => isOwnHall)
    const freshNear = near.filter(({ host }) => !failed.has(host))
    if (freshNear.length > 0) return pick(freshNear)
    if (!isFarAllowed) return pick(near)
    const fresh = wanted.filter(({ host }) => !failed.has(host))
    return pick(fresh.length === 0 ? wanted : fresh)
  }

  function pick (from: readonly Offer[]): Offer | undefined {
    return from[Math.floor(options.random() * from.length)]
  }

  async function follow (): Promise<void> {
    isFollowing = true
    if (mirror.isKnown() && options.isWatching(kind)) await types.delay(WATCH_GRACE_MS)
    askFrom = options.now()
    farFrom = options.now() + options.farGraceMs()
    for (let wanted = listOffers(); wanted.length > 0 && !isStopped(); wanted = listOffers()) await pause(askNext(wanted))
    endRequests()
    isFollowing = false
  }

  /** Waits until a request has ended, but no longer than so many milliseconds. */
  async function pause (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds)
      wake = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  /** Asks one more peer when it is time for it; returns the milliseconds until it may be again. */
  function askNext (wanted: readonly Offer[]): number {
    const waitMs = askFrom - options.now()
    if (waitMs > 0) return waitMs
    const others = wanted.filter(({ host }) => !asking.has(host))
    const chosen = asking.size < MAXIMUM_ASKED ? choose(others, options.now() >= farFrom) : undefined
    if (chosen === undefined) return HALL_POLL_MS
    askFrom = options.now() + LATE_ANSWER_MS
    void ask(chosen)
    return LATE_ANSWER_MS
  }

  /** Requests whose answers are not needed any more. */
  function endRequests (): void {
    for (const cutting of asking.values()) cutting.abort()
    asking.clear()
  }

  function nextPauseMs (): number {
    const pauseMs = Math.min(RETRY_MAXIMUM_MS, RETRY_MINIMUM_MS * 2 ** (failures - 1))
    return types.jitter(pauseMs, RETRY_MINIMUM_PART, options.random())
  }

  function noteFailure (host: string, reason: string, isInvalid: boolean): false {
    failures += 1
    failed.add(host)
    options.onFailed(kind, host, reason, isInvalid)
    return false
  }

  async function ask (offer: Offer): Promise<void> {
    const { host, isOwnHall } = offer
    const cutting = new AbortController()
    asking.set(host, cutting)
    const since = isWholeWanted ? 0 : mirror.state().at
    options.onAsked(kind, isOwnHall)
    const fetched = await options.fetchChanges(host, { kind, since }, cutting.signal)
    if (cutting.signal.aborted) return
    asking.delete(host)
    const isTaken = read(offer, fetched)
    askFrom = options.now() + (isTaken ? 0 : nextPauseMs())
    if (isTaken) farFrom = options.now() + options.farGraceMs()
    wake()
  }

  function read ({ host, isOwnHall }: Offer, fetched: Awaited<ReturnType<CopySyncOptions['fetchChanges']>>): boolean {
    if (!fetched.ok) return noteFailure(host, fetched.error.message, fetched.error instanceof InvalidCopyError)
    const { changes } = fetched.value
    if (changes.kind !== kind) return noteFailure(host, `a copy of ${changes.kind}`, true)
    return take(mirror.applyChanges(changes), { ...fetched.value, host, isOwnHall })
  }

  function take (verdict: store.ChangesVerdict, adopted: AdoptedCopy): boolean {
    if (verdict === 'false-digest') return noteFailure(adopted.host, 'objects that do not give their digest', true)
    if (verdict === 'unfit') {
      isWholeWanted = true
      return noteFailure(adopted.host, 'changes that do not join on to this copy', true)
    }
    failures = 0
    failed.clear()
    isWholeWanted = false
    if (verdict !== 'applied') {
      offers.delete(adopted.host)
      return true
    }
    endRequests()
    options.onAdopted(kind, adopted)
    return true
  }

  return { note }
}
