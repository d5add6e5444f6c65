/** Tells whether a lost attempt shows that its back end ended. */

/** What a gateway knows of an attempt whose answer it lost. */
export interface LostAttempt {
  /** Whether the back end's side ended the connection. Otherwise this gateway did: the deadline was over, the caller left, nothing was heard for too long. */
  readonly isCutByPeer: boolean
  /** Whether service discovery had told that the back end leaves, or lists it no longer. */
  readonly isLeaving: boolean
  /** What a new connection to the same address met right after. */
  readonly probe: ProbeResult
}

/** `refused`: nobody listens there; `taken`: somebody does; `silent`: no answer came. */
export type ProbeResult = 'refused' | 'taken' | 'silent'

/**
 * `ended`: the process is gone, which counts against the calls that it took along. Everything else counts against none:
 * `lives`: only the connection was cut; `unknown`: a cut network, a frozen or dark machine; `planned`: the back end was leaving;
 * `own`: this gateway gave the attempt up.
 */
export type EndVerdict = 'ended' | 'lives' | 'unknown' | 'planned' | 'own'

/**
 * Judges a lost attempt. A process that ends closes all its connections and its port at once; a cut network, a frozen
 * process and a dark machine say nothing, and a reset of connections leaves the port open. A kill looks like any other end:
 * it counts once against the calls beside it, and they have to be beside {@link QuarantineLimits.ends} of them.
 *
 * @param attempt - What is known of it.
 * @returns The verdict.
 */
export function judgeEnd ({ isCutByPeer, isLeaving, probe }: LostAttempt): EndVerdict {
  if (!isCutByPeer) return 'own'
  if (isLeaving) return 'planned'
  if (probe === 'silent') return 'unknown'
  return probe === 'refused' ? 'ended' : 'lives'
}
