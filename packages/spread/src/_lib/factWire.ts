/** Datagrams of the exchange of facts: arrays in JSON, the kind first. */
import * as wire from './wire.js'

/** A fact on its way. */
export interface FactTold {
  readonly id: string
  /** Milliseconds since it was made. */
  readonly ageMs: number
  /** Milliseconds from its making until it is forgotten. */
  readonly keptMs: number
  readonly content: unknown
}

/** A datagram: facts, or what stands for all facts that the sender knows. */
export type FactMessage =
  | { readonly type: 'facts', readonly facts: readonly FactTold[] }
  /** `isAsking`: the receiver answers with its own; `count`: of the sender's facts. */
  | { readonly type: 'digest', readonly hash: number, readonly count: number, readonly isAsking: boolean }

const FACTS_PREFIX = '["f",'
const DIGEST_PREFIX = '["q",'
const MAXIMUM_ID_LENGTH = 80

/** Formats facts, cut into datagrams; a fact that fits into none stands alone. */
export function formatFacts (facts: readonly FactTold[]): string[] {
  if (facts.length === 0) return []
  const items = facts.map(({ id, ageMs, keptMs, content }) => JSON.stringify([id, Math.round(ageMs), Math.round(keptMs), content]))
  return wire.cut(items, FACTS_PREFIX.length + '[]]'.length, 0).map((part) => `${FACTS_PREFIX}[${part.join()}]]`)
}

/** Formats what stands for all facts. */
export function formatDigest (hash: number, count: number, isAsking: boolean): string {
  return `${DIGEST_PREFIX}${hash},${count},${isAsking ? 1 : 0}]`
}

/** Whether a datagram belongs to this exchange. */
export function isFactDatagram (bytes: Buffer): boolean {
  const start = bytes.toString('latin1', 0, FACTS_PREFIX.length)
  return start === FACTS_PREFIX || start === DIGEST_PREFIX
}

function parseFact (value: unknown): FactTold[] {
  if (!Array.isArray(value)) return []
  const [id, ageMs, keptMs, content] = value as unknown[]
  if (typeof id !== 'string' || id.length > MAXIMUM_ID_LENGTH || !wire.isAge(ageMs) || !wire.isAge(keptMs)) return []
  return [{ id, ageMs, keptMs, content }]
}

/** Decodes a datagram of this exchange; null for one that can't be read. Facts of a wrong shape are left out. */
export function decodeFacts (bytes: Buffer): FactMessage | null {
  let parsed: unknown
  try {
    parsed = JSON.parse(bytes.toString())
  } catch {
    return null
  }
  const [kind, first, count, asking] = parsed as unknown[]
  if (kind === 'f' && Array.isArray(first)) return { type: 'facts', facts: first.flatMap(parseFact) }
  if (kind === 'q' && wire.isAge(first) && wire.isAge(count)) return { type: 'digest', hash: first, count, isAsking: asking === 1 }
  return null
}
