/** Datagrams of the exchange of facts: arrays in JSON, the kind first. */

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

/** Longest payload that a router on the way leaves in one piece. */
const DATAGRAM_BYTES = 1200
const FACTS_PREFIX = '["f",'
const DIGEST_PREFIX = '["q",'
const MAXIMUM_ID_LENGTH = 80

/** Formats facts, cut into datagrams; a fact that fits into none stands alone. */
export function formatFacts (facts: readonly FactTold[]): string[] {
  const datagrams: string[] = []
  let items: string[] = []
  let bytes = 0
  for (const { id, ageMs, keptMs, content } of facts) {
    const item = JSON.stringify([id, Math.round(ageMs), Math.round(keptMs), content])
    const size = Buffer.byteLength(item) + 1
    if (items.length > 0 && bytes + size + FACTS_PREFIX.length > DATAGRAM_BYTES) {
      datagrams.push(`${FACTS_PREFIX}[${items.join()}]]`)
      items = []
      bytes = 0
    }
    items.push(item)
    bytes += size
  }
  if (items.length > 0) datagrams.push(`${FACTS_PREFIX}[${items.join()}]]`)
  return datagrams
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

const isSpan = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0

function parseFact (value: unknown): FactTold[] {
  if (!Array.isArray(value)) return []
  const [id, ageMs, keptMs, content] = value as unknown[]
  if (typeof id !== 'string' || id.length > MAXIMUM_ID_LENGTH || !isSpan(ageMs) || !isSpan(keptMs)) return []
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
  if (kind === 'q' && isSpan(first) && isSpan(count)) return { type: 'digest', hash: first, count, isAsking: asking === 1 }
  return null
}
