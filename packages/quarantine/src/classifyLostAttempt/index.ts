/** Classifies why an attempt was lost, above all whether its back end process ended. */

/** What a gateway knows of an attempt that ended without a complete answer. */
export interface LostAttempt {
  /** Whether the connection was closed from the back end's side. Otherwise this gateway closed it: at the deadline, when the caller left, or at an idle timeout. */
  readonly isClosedByPeer: boolean
  /** Whether service discovery had marked the back end as leaving or no longer lists it. */
  readonly isLeaving: boolean
  /** Result of a new connection to the same address right afterwards. */
  readonly probe: ProbeResult
}

/** `refused`: nothing listens on the port; `taken`: the connection was accepted; `silent`: there was no response. */
export type ProbeResult = 'refused' | 'taken' | 'silent'

/**
 * `ended`: the process has ended, which counts against the calls that were lost with it. All others count against no call:
 * `lives`: only the connection was closed; `unknown`: a network partition, or a host that hangs or lost power; `planned`: the back end was leaving;
 * `own`: this gateway aborted the attempt.
 */
export type LossCause = 'ended' | 'lives' | 'unknown' | 'planned' | 'own'

/**
 * Classifies a lost attempt. A process that ends closes all its connections and its port at once. After a network partition, or when the process
 * hangs or its host loses power, there is no response at all, and a reset of single connections leaves the port open. A killed process can't be told from
 * a crashed one: it counts once against the calls it was running, and a call is blocked only after {@link QuarantineLimits.ends} of them.
 *
 * @param attempt - What is known of the attempt.
 * @returns The cause of the loss.
 */
export function classifyLostAttempt ({ isClosedByPeer, isLeaving, probe }: LostAttempt): LossCause {
  if (!isClosedByPeer) return 'own'
  if (isLeaving) return 'planned'
  if (probe === 'silent') return 'unknown'
  return probe === 'refused' ? 'ended' : 'lives'
}
