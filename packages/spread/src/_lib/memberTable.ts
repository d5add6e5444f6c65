/** What one daemon knows of the others, by host. */
import type * as heartbeats from './heartbeat.js'
import type * as wire from './wire.js'

/** A member with what the exchange needs beyond what it tells its users. */
export interface Member extends heartbeats.Peer {
  heartbeat: heartbeats.Heartbeat
  /** When it last gave a sign of life, by this daemon's clock. */
  heardAt: number
  /** When it said what is kept of its engine. */
  toldAt: number
  /** How much longer than the fastest one its last heartbeat was under way. */
  delayMs: number
}

/** The table. */
export interface MemberTable {
  readonly get: (host: string) => Member | undefined
  readonly all: () => readonly Member[]
  /** Notes a whole heartbeat that came directly. */
  readonly noteWhole: (heartbeat: heartbeats.Heartbeat, delayMs: number, now: number) => void
  /** Notes what a digest tells; returns whether it is newer than what was known. */
  readonly noteRelayed: (member: wire.DigestMember, delayMs: number, now: number) => boolean
  /** Notes that a relay of the own hall heard of a member; what the member says of itself stays as it is known. */
  readonly noteHeard: (host: string, heardAt: number) => void
  readonly remove: (host: string) => void
}

/** Times of a member by two ways differ by the rounding of ages and by delays; less than this is no newer word. */
const SAME_WORD_MS = 10

/** Creates an empty table. */
export function createMemberTable (): MemberTable {
  const members = new Map<string, Member>()
  let listed: readonly Member[] | null = null

  function set (host: string, member: Member): void {
    if (!members.has(host)) listed = null
    const known = members.get(host)
    if (known === undefined) members.set(host, member)
    else Object.assign(known, member)
  }

  return {
    get: (host) => members.get(host),
    all: () => {
      listed ??= [...members.values()]
      return listed
    },
    noteWhole: (heartbeat, delayMs, now) => { set(heartbeat.host, { heartbeat, heardAt: now, toldAt: now, delayMs }) },
    noteRelayed: ({ heartbeat, ageMs }, delayMs, now) => {
      const known = members.get(heartbeat.host)
      const toldAt = now - ageMs
      if (known !== undefined && toldAt <= known.toldAt + SAME_WORD_MS) return false
      const isSame = known?.heartbeat.node === heartbeat.node
      const kept = isSame && known !== undefined ? { ...heartbeat, copies: known.heartbeat.copies, versions: known.heartbeat.versions } : heartbeat
      set(heartbeat.host, { heartbeat: kept, heardAt: Math.max(toldAt, known?.heardAt ?? toldAt), toldAt, delayMs })
      return true
    },
    noteHeard: (host, heardAt) => {
      const known = members.get(host)
      if (known !== undefined) known.heardAt = Math.max(known.heardAt, heardAt)
    },
    remove: (host) => {
      members.delete(host)
      listed = null
    }
  }
}
