/** Bounds the bytes that a gateway holds for callers and engines that read or send slowly, or not at all. */

/** What a call that was dropped was waiting for: the rest of the request's body, or the caller to read the response. */
export type StalledPhase = 'upload' | 'answer'

/** Options of {@link createHeldBytes}. */
export interface HeldBytesOptions {
  /** Bound of all bytes held; Infinity for none. */
  readonly maximumBytes: number
  /** Monotonic clock in milliseconds. */
  readonly now: () => number
}

/** What was dropped. */
export interface DroppedCall {
  readonly phase: StalledPhase
  readonly bytes: number
  /** Milliseconds since the caller last sent or read anything. */
  readonly stalledMs: number
}

/** The bytes held for one call. */
export interface CallHolding {
  /** Records how much of the request's body has arrived; returns false if it exceeds the bound, and the call must be refused. Nothing is held for it then. */
  readonly noteUpload: (bytes: number) => boolean
  /** Records that the body is complete. It is held for as long as the call is in progress. */
  readonly noteRunning: () => void
  /** Records that the call is no longer in progress, so that its body is not needed any more. */
  readonly noteRun: () => void
  /** Records how many bytes of the response wait for the caller; 0 when it has read them. */
  readonly noteUnread: (bytes: number) => void
  /** Records that the caller has read a part of the response, all of which is held until its end. */
  readonly noteRead: () => void
  readonly close: () => void
}

/** The bytes held by a gateway. */
export interface HeldBytes {
  /** Opens the account of a call. `drop` ends the call because it waits for its caller while memory is short. */
  readonly open: (drop: (dropped: DroppedCall) => void) => CallHolding
  /** All bytes held. */
  readonly read: () => number
  /** Bytes of request bodies among them; the others are of responses that wait for their callers. */
  readonly readUploads: () => number
}

/** A caller that has sent or read something within this time is not dropped. Callers on saturated links pause for hundreds of milliseconds. */
const STALLED_MS = 1000
/** A caller that pauses regularly, because the system takes further bytes only once a large part of its buffer is free, is not dropped within this many of its pauses. */
const STALLED_PAUSES = 2
/** A caller that has sent or read nothing for so long may be dropped however long its pauses were. */
const MAXIMUM_STALLED_MS = 5000

interface Account {
  bodyBytes: number
  unreadBytes: number
  /** Whether the request's body is still arriving. */
  isUploading: boolean
  progressedAt: number
  /** Longest time in milliseconds for which unread bytes waited until the caller read some. */
  longestPauseMs: number
  readonly drop: (dropped: DroppedCall) => void
}

/**
 * Creates the accounts of a gateway. If the bound is exceeded, calls that wait for their callers are dropped first, the longest stalled one first; then further
 * bodies are refused. A call that an engine has or may get is not ended: it would be lost, and its deadline bounds how long its body is held.
 *
 * @param options - Bound and clock.
 * @returns The accounts, without any call.
 */
export function createHeldBytes ({ maximumBytes, now }: HeldBytesOptions): HeldBytes {
  const accounts = new Set<Account>()
  let total = 0

  function set (account: Account, bodyBytes: number, unreadBytes: number): void {
    if (!accounts.has(account)) return
    total += bodyBytes + unreadBytes - account.bodyBytes - account.unreadBytes
    account.bodyBytes = bodyBytes
    account.unreadBytes = unreadBytes
  }

  function remove (account: Account): void {
    set(account, 0, 0)
    accounts.delete(account)
  }

  function isStalled ({ isUploading, bodyBytes, unreadBytes, progressedAt, longestPauseMs }: Account): boolean {
    const limitMs = Math.min(MAXIMUM_STALLED_MS, Math.max(STALLED_MS, STALLED_PAUSES * longestPauseMs))
    return ((isUploading && bodyBytes > 0) || unreadBytes > 0) && now() - progressedAt >= limitMs
  }

  function noteRead (account: Account): void {
    if (account.unreadBytes > 0) account.longestPauseMs = Math.max(account.longestPauseMs, now() - account.progressedAt)
    account.progressedAt = now()
  }

  function dropStalled (): void {
    if (total <= maximumBytes) return
    const stalled = [...accounts].filter(isStalled).sort((left, right) => left.progressedAt - right.progressedAt)
    for (const account of stalled) {
      if (total <= maximumBytes) return
      const dropped: DroppedCall = { phase: account.unreadBytes > 0 ? 'answer' : 'upload', bytes: account.bodyBytes + account.unreadBytes, stalledMs: now() - account.progressedAt }
      remove(account)
      account.drop(dropped)
    }
  }

  return {
    read: () => total,
    readUploads: () => [...accounts].reduce((sum, { bodyBytes }) => sum + bodyBytes, 0),
    open: (drop) => {
      const account: Account = { bodyBytes: 0, unreadBytes: 0, isUploading: true, progressedAt: now(), longestPauseMs: 0, drop }
      accounts.add(account)
      return {
        noteUpload: (bytes) => {
          account.progressedAt = now()
          set(account, bytes, account.unreadBytes)
          dropStalled()
          if (total <= maximumBytes) return true
          remove(account)
          return false
        },
        noteRunning: () => { account.isUploading = false },
        noteRun: () => { set(account, 0, account.unreadBytes) },
        noteUnread: (bytes) => {
          if (bytes === 0 || account.unreadBytes === 0) noteRead(account)
          set(account, account.bodyBytes, bytes)
          dropStalled()
        },
        noteRead: () => { noteRead(account) },
        close: () => { remove(account) }
      }
    }
  }
}
