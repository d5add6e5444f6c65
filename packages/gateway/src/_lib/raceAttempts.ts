/** Runs several attempts of one call at the same time: an attempt that is silent stays open until another one goes on with its stream. */

/** One of the attempts that are open at the same time. */
export interface Contender {
  /** Sets the functions that abort the attempt, and that abort it only if nothing of its response has arrived; the second is the first one if it is absent. */
  readonly setAbort: (abort: () => void, withdraw?: () => void) => void
  /**
   * Makes this attempt the one that serves the call, and aborts the others; call it whenever the attempt has something to pass on. Returns false if another one
   * has done so since this attempt began or last did: nothing of this attempt may be passed on any more.
   */
  readonly claim: () => boolean
  /** Requests another attempt, unless one that began later is open. */
  readonly requestNext: () => void
  /** Which attempt serves the call instead: one that began earlier or later; null while this one may. */
  readonly readReplacedBy: () => 'earlier' | 'later' | null
}

/** An attempt that is alone, from its begin to its end. */
export const SOLE_CONTENDER: Contender = { setAbort: () => {}, claim: () => true, requestNext: () => {}, readReplacedBy: () => null }

/** How the attempts of a race are found, run and aborted. */
export interface RaceOptions<Choice, Outcome> {
  /** Runs an attempt to its end. */
  readonly run: (choice: Choice, contender: Contender) => Promise<Outcome>
  /** Finds the back end of a further attempt; null if there is none now. If `isWanted` returns false in the end, none is needed any more and nothing may be spent. */
  readonly findNext: (isWanted: () => boolean) => Promise<Choice | null>
  /** Whether an attempt has served the call. */
  readonly isDone: (outcome: Outcome) => boolean
  /** Receives the functions that abort all open attempts, and those of them of which no response has arrived. */
  readonly setAbort: (abort: () => void, withdraw: () => void) => void
}

interface OpenAttempt {
  readonly number: number
  abort: () => void
  withdraw: () => void
  replacedBy: 'earlier' | 'later' | null
}

/**
 * Runs an attempt, and those that are requested while it is open.
 *
 * @param first - The first attempt.
 * @param options - How attempts are found, run and aborted.
 * @returns The outcome of the attempt that served the call; if none has, of the last one that ended.
 */
export async function raceAttempts<Choice, Outcome> (first: Choice, options: RaceOptions<Choice, Outcome>): Promise<Outcome> {
  /** In the order in which they began. */
  let open: readonly OpenAttempt[] = []
  let begunCount = 0
  let claimCount = 0
  let isSearching = false

  return await new Promise<Outcome>((resolve, reject) => {
    options.setAbort(() => { for (const attempt of open) attempt.abort() }, () => { for (const attempt of open) attempt.withdraw() })
    begin(first)

    function begin (choice: Choice): void {
      begunCount += 1
      const attempt: OpenAttempt = { number: begunCount, abort: () => {}, withdraw: () => {}, replacedBy: null }
      open = [...open, attempt]
      const contender: Contender = {
        setAbort: (abort, withdraw = abort) => { Object.assign(attempt, { abort, withdraw }) },
        claim: () => claim(attempt),
        requestNext: () => { searchNext(attempt).catch(reject) },
        readReplacedBy: () => attempt.replacedBy
      }
      options.run(choice, contender).then((outcome) => {
        if (attempt.replacedBy !== null) return
        open = open.filter((other) => other !== attempt)
        if (options.isDone(outcome) || open.length === 0) resolve(outcome)
      }, reject)
    }

    function claim (attempt: OpenAttempt): boolean {
      if (attempt.replacedBy !== null) return false
      claimCount += 1
      const others = open.filter((other) => other !== attempt)
      open = [attempt]
      for (const other of others) {
        other.replacedBy = other.number < attempt.number ? 'later' : 'earlier'
        other.abort()
      }
      return true
    }

    async function searchNext (attempt: OpenAttempt): Promise<void> {
      if (isSearching || open[open.length - 1] !== attempt) return
      const claimCountBefore = claimCount
      isSearching = true
      const choice = await options.findNext(isWanted)
      isSearching = false
      if (choice !== null && isWanted()) begin(choice)

      /** The attempt has neither ended nor brought anything since. */
      function isWanted (): boolean {
        return claimCount === claimCountBefore && open.includes(attempt)
      }
    }
  })
}
