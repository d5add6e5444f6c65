/** Predicts when a model engine would send the first event of a call. */
import type * as gateway from '../types/index.js'
import type * as createBackEndTracker from '../createBackEndTracker/index.js'

/** A prediction. */
export interface Prediction {
  /** Milliseconds until the first event. */
  readonly firstEventMs: number
  /** The same with half of the prompt's excess over the usual length discounted; admission uses it. */
  readonly discountedFirstEventMs: number
  /** Part of `firstEventMs` in which the engine would read the call's own prompt. */
  readonly ownReadMs: number
  /** Requests beyond the engine's slots that would be queued before this one. */
  readonly queuedAhead: number
}

/** Tokens that an engine generates for each event of a stream. */
const TOKENS_PER_EVENT = 5
/** Assumed number of calls of each other gateway since the report, as a fraction of this gateway's calls: the gateways choose by the same rules, but not identically. */
const OTHER_GATEWAYS_FRACTION = 0.4
/**
 * Discount on the time to read the part of a prompt beyond the usual length. Without it, long prompts would be refused most under load, although they
 * are worth most; with the whole excess discounted, they would take so much capacity that calls as a whole were served worse.
 */
const EXCESS_DISCOUNT = 0.5
/** Average fraction of the prompt that is still unread for a request sent a moment ago. */
const UNREAD_FRACTION = 0.7

/**
 * Predicts the first event of a call at one engine, from its last report and the calls that this gateway sent since.
 *
 * @param figures - Speeds of the service's engines; the contribution of an unknown speed is left out.
 * @param slots - Requests that the engine runs concurrently.
 * @param load - Load of the engine as this gateway sees it.
 * @param promptTokens - Length of the call's prompt.
 * @param gateways - Number of gateways that send to the engine, including this one; the calls that the others sent since the report are estimated.
 * @returns The prediction.
 */
export function predictFirstEvent (figures: gateway.EngineFigures, slots: number, load: Pick<createBackEndTracker.BackEndLoad, 'report' | 'open' | 'sentSinceReport' | 'promptTokensSinceReport'>, promptTokens: number, gateways: number): Prediction {
  const report = load.report
  const pace = Math.max(1, report?.pace ?? 1)
  const running = report?.running ?? 0
  const waiting = report?.waiting ?? 0
  const gatewayFactor = 1 + OTHER_GATEWAYS_FRACTION * (gateways - 1)
  const occupied = report === null ? load.open.size * gatewayFactor : running + waiting + load.sentSinceReport * gatewayFactor
  const queuedAhead = Math.max(0, occupied + 1 - slots)
  const stepMs = (figures.stepMs ?? 0) + (figures.stepMsPerSequence ?? 0) * Math.min(slots, occupied)
  const unreadTokens = load.promptTokensSinceReport * gatewayFactor * UNREAD_FRACTION + waiting * (figures.usualPromptTokens ?? 0)
  const readMs = figures.prefillTokensPerMs === null ? 0 : (unreadTokens + promptTokens) / figures.prefillTokensPerMs
  const ownReadMs = figures.prefillTokensPerMs === null ? 0 : pace * promptTokens / figures.prefillTokensPerMs
  const answerMs = (figures.usualAnswerTokens ?? 0) * stepMs * 2
  const slotWaitMs = queuedAhead * answerMs / slots
  const firstEventMs = pace * (slotWaitMs + readMs + TOKENS_PER_EVENT * stepMs)
  const excessTokens = Math.max(0, promptTokens - (figures.usualPromptTokens ?? promptTokens))
  const excessMs = figures.prefillTokensPerMs === null ? 0 : pace * excessTokens / figures.prefillTokensPerMs
  return { firstEventMs, discountedFirstEventMs: firstEventMs - EXCESS_DISCOUNT * excessMs, ownReadMs, queuedAhead }
}
