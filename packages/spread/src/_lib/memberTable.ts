/** The other daemons that a daemon knows, by host. */
import type * as heartbeats from './heartbeat.js'
import type * as wire from './wire.js'

/** A peer with the fields that only the gossip itself needs. */
export interface Member extends heartbeats.Peer {
  heartbeat: heartbeats.Heartbeat
  /** Time of this daemon's monotonic clock, in milliseconds, at which the member was last known to be live. */
  heardAt: number
  /** The same for the engine report that is stored: when the member sent it. */
  reportedAt: number
  /** Transit time of its last heartbeat beyond that of the fastest one, in milliseconds. */
  delayMs: number
}

/** Table of members. */
export interface MemberTable {
  readonly get: (host: string) => Member | undefined
  readonly all: () => readonly Member[]
  /** Records a heartbeat received directly from the member. */
  readonly noteHeartbeat: (heartbeat: heartbeats.Heartbeat, delayMs: number, now: number) => void
  /** Records a member of a digest; returns whether it is newer than what was known. */
  readonly noteRelayed: (member: wire.DigestMember, delayMs: number, now: number) => boolean
  /** Records that a relay of the own hall heard of a member; the known state of the member stays. */
  readonly noteHeard: (host: string, heardAt: number) => void
  readonly remove: (host: string) => void
}

/** Times of one report on two paths differ by rounding and delays; a report that seems newer by less than this is the same one. */
const SAME_REPORT_MS = 10

/** Creates an empty table. */
export function createMemberTable (): MemberTable {
  const members = new Map<string, Member>()
  let cachedMembers: readonly Member[] | null = null

  function upsert (host: string, member: Member): void {
    if (!members.has(host)) cachedMembers = null
    const known = members.get(host)
    if (known === undefined) members.set(host, member)
    else Object.assign(known, member)
  }

  return {
    get: (host) => members.get(host),
    all: () => {
      cachedMembers ??= [...members.values()]
      return cachedMembers
    },
    noteHeartbeat: (heartbeat, delayMs, now) => { upsert(heartbeat.host, { heartbeat, heardAt: now, reportedAt: now, delayMs }) },
    noteRelayed: ({ heartbeat, ageMs }, delayMs, now) => {
      const known = members.get(heartbeat.host)
      const reportedAt = now - ageMs
      if (known !== undefined && reportedAt <= known.reportedAt + SAME_REPORT_MS) return false
      const isSame = known?.heartbeat.node === heartbeat.node
      const merged = isSame && known !== undefined ? { ...heartbeat, copies: known.heartbeat.copies, versions: known.heartbeat.versions } : heartbeat
      upsert(heartbeat.host, { heartbeat: merged, heardAt: Math.max(reportedAt, known?.heardAt ?? reportedAt), reportedAt, delayMs })
      return true
    },
    noteHeard: (host, heardAt) => {
      const known = members.get(host)
      if (known !== undefined) known.heardAt = Math.max(known.heardAt, heardAt)
    },
    remove: (host) => {
      members.delete(host)
      cachedMembers = null
    }
  }
}
