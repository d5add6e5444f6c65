/** Records how much time was left until the bound of an older version of the weights when a call sent to it was answered, or ended without an answer. */
import type * as chooseBackEnd from '../chooseBackEnd/index.js'
import type * as callOptions from './callOptions.js'

/** Records the moments of one attempt; without effect if the back end holds the newest version. */
export interface MarginNotes {
  readonly noteConnect: () => void
  /** Records that the head of a success arrived; `version`: the version that it names, or null. The engine had begun the call by then. */
  readonly noteAnswer: (version: number | null) => void
  /** Records that the attempt ended after the call was sent and before the head of an answer. The engine may begin the call later. */
  readonly noteNoAnswer: () => void
}

/** Answers with less time left than this are logged. */
const LOGGED_MARGIN_MS = 250
/** Attempts without an answer are logged if they end in this time before the bound, or later: a call taken back earlier has left its engine by the bound. */
const LOGGED_UNANSWERED_MS = 3000

/**
 * Creates the notes of one attempt.
 *
 * @param requestId - The call's request id.
 * @param choice - The back end.
 * @param sentAt - Monotonic time in milliseconds at which the attempt was sent.
 * @param options - Histograms, logger and clock.
 * @returns The notes.
 */
export function createMarginNotes (requestId: string, choice: Pick<chooseBackEnd.Choice, 'backEnd' | 'olderVersion'>, sentAt: number, options: Pick<callOptions.CallHandlerOptions, 'observe' | 'logger' | 'now'>): MarginNotes {
  const { olderVersion } = choice
  if (olderVersion === null) return { noteConnect: () => {}, noteAnswer: () => {}, noteNoAnswer: () => {} }
  const { boundAt } = olderVersion
  let connectedAt: number | null = null

  function log (outcome: 'answered' | 'unanswered', endedAt: number): void {
    options.logger.info('version-margin', {
      id: requestId,
      backEnd: choice.backEnd.id,
      version: olderVersion?.version,
      outcome,
      leftMs: Math.round(boundAt - endedAt),
      connectedLeftMs: connectedAt === null ? null : Math.round(boundAt - connectedAt),
      sentLeftMs: Math.round(boundAt - sentAt)
    })
  }

  return {
    noteConnect: () => { connectedAt = options.now() },
    noteAnswer: (version) => {
      // An engine that has changed its version meanwhile is bound by nothing.
      if (version !== null && version !== olderVersion.version) return
      const answeredAt = options.now()
      options.observe('version_margin', boundAt - answeredAt)
      if (boundAt - answeredAt < LOGGED_MARGIN_MS) log('answered', answeredAt)
    },
    noteNoAnswer: () => {
      const endedAt = options.now()
      if (boundAt - endedAt < LOGGED_UNANSWERED_MS) log('unanswered', endedAt)
    }
  }
}
