/** Datagram format of the gossip: JSON arrays that begin with the kind; a digest has a header on a separate line before its body. */
import * as net from 'node:net'
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import type * as heartbeats from './heartbeat.js'

/** Members of a hall that a digest, or an urgent change, is forwarded to. */
export type Audience = 'nobody' | 'gateways' | 'all'

/** What a heartbeat requests of its receiver: to announce the sender to other halls at once, or, with `sender`, to answer with its own heartbeat. */
export type Urgency = Audience | 'sender'

/** A member as described in a digest. */
export interface DigestMember {
  readonly heartbeat: heartbeats.Heartbeat
  /** Milliseconds since the relay received this state. */
  readonly ageMs: number
  /** Transit time of its heartbeat to the relay beyond that of the fastest one, in milliseconds. */
  readonly delayMs: number
}

/** Update that a relay sends to its own hall about a member that the hall knows. */
export interface MemberUpdate {
  readonly host: string
  /** Milliseconds since the relay received this state. */
  readonly ageMs: number
  /** Transit time of the state to the relay beyond that of the fastest datagrams, in milliseconds. */
  readonly delayMs: number
  /** The engine report of an agent; null if the update is only a keepalive. */
  readonly engine: unknown
}

/** The most recent copy in a hall by kind, with the host of a member that holds it. */
export type HallCopies = Readonly<Record<string, { readonly state: store.MirrorState, readonly host: string }>>

/** State of a hall as one of its relays sends it, or a part of it that fits into a datagram. */
export interface Digest {
  readonly zone: string
  readonly copies: HallCopies
  readonly versions: readonly heartbeats.RecentVersion[]
  readonly members: readonly DigestMember[]
  /** Only in digests to the own hall. */
  readonly updates: readonly MemberUpdate[]
}

/** A digest to other halls, or one about a change. */
export type HallDigest = Omit<Digest, 'updates'>

/** Header of a digest, which controls how it is forwarded. */
export interface DigestHeader {
  /** Monotonic clock of the sender, in milliseconds. */
  readonly sentAt: number
  /** Transit time of the previous hops beyond that of the fastest datagrams, in milliseconds. */
  readonly delayMs: number
  readonly audience: Audience
  /** Range of the sorted hosts, possibly wrapping around their end, within which the receiver forwards the digest; null: the whole hall. */
  readonly range: readonly [string, string] | null
  /** The member that received the digest first; it is skipped in all ranges. */
  readonly ingressHost: string
}

/** When and by which process a datagram was sent. */
export interface Origin {
  /** Monotonic clock of the sender, in milliseconds. */
  readonly sentAt: number
  /** The sender's process; null in datagrams that don't state it. */
  readonly incarnation: types.IncarnationId | null
}

/** A datagram: a heartbeat, an engine report, a keepalive, hosts to contact, or a digest. */
export type Message =
  | { readonly type: 'heartbeat', readonly origin: Origin, readonly heartbeat: heartbeats.Heartbeat, readonly viewHash: number, readonly urgency: Urgency }
  | { readonly type: 'engine-report', readonly origin: Origin, readonly engine: unknown }
  | { readonly type: 'keepalive', readonly isRound: boolean }
  | { readonly type: 'hosts', readonly hosts: readonly string[] }
  | { readonly type: 'digest', readonly header: DigestHeader, readonly digest: Digest, readonly body: string }

/** Why a datagram was dropped. */
export type DropReason = 'not-json' | 'unknown-kind' | 'bad-shape' | 'unknown-sender'

/** A decoded datagram, or why there is none. */
export type Decoded = { readonly ok: true, readonly message: Message } | { readonly ok: false, readonly reason: DropReason }

/** Longest payload in bytes that routers do not fragment. */
export const DATAGRAM_BYTES = 1200
/** Bytes of a digest's datagram reserved for its header: three hosts and three numbers. */
const HEADER_BYTES = 120
/** Levels of nesting of a datagram, about twice those of a digest; parts of it are formatted again for others by functions that recurse. */
export const MAXIMUM_NESTING = 16
const AUDIENCES: readonly Audience[] = ['nobody', 'gateways', 'all']
const URGENCIES: readonly Urgency[] = [...AUDIENCES, 'sender']
const AGENT_FLAG = 1
const LEAVING_FLAG = 2
const STORE_LOST_FLAG = 4
const ALL_FLAGS = AGENT_FLAG | LEAVING_FLAG | STORE_LOST_FLAG
const TENTHS = 10

/** Rounds to tenths, which are precise enough and keep the datagram short. */
function roundToTenth (milliseconds: number): number {
  return Math.round(milliseconds * TENTHS) / TENTHS
}

function formatFlags ({ role, isLeaving, isStoreLost }: heartbeats.Heartbeat): number {
  return (role === 'agent' ? AGENT_FLAG : 0) | (isLeaving ? LEAVING_FLAG : 0) | (isStoreLost ? STORE_LOST_FLAG : 0)
}

function formatState ({ at, digest }: store.MirrorState): unknown[] {
  return [at, digest]
}

function formatCopies (copies: heartbeats.CopyStates): Record<string, unknown[]> {
  return Object.fromEntries(Object.entries(copies).map(([kind, state]) => [kind, formatState(state)]))
}

/** Formats consecutive versions of one model as a single list after its name. */
function formatVersions (versions: readonly heartbeats.RecentVersion[]): unknown[] {
  const lists: unknown[][] = []
  for (const { model, version, ageMs } of versions) {
    const last = lists.at(-1)
    if (last?.[0] === model) last.push(version, roundToTenth(ageMs))
    else lists.push([model, version, roundToTenth(ageMs)])
  }
  return lists
}

/** Formats a heartbeat. */
export function formatHeartbeat ({ sentAt, incarnation }: Origin, heartbeat: heartbeats.Heartbeat, viewHash: number, urgency: Urgency): string {
  const { node, zone, host, copies, versions, suspects, engine } = heartbeat
  return JSON.stringify(['h', roundToTenth(sentAt), formatFlags(heartbeat), node, zone, host, viewHash, URGENCIES.indexOf(urgency), formatCopies(copies), formatVersions(versions), suspects, engine, incarnation])
}

/** Formats a report of the own engine, for receivers that know the sender. */
export function formatEngineReport ({ sentAt, incarnation }: Origin, engine: unknown): string {
  return JSON.stringify(['n', roundToTenth(sentAt), engine, incarnation])
}

/** Formats a keepalive; `isRound` tells that the sender, a relay, has just begun a digest round. */
export function formatKeepalive (isRound: boolean): string {
  return JSON.stringify(['r', isRound ? 1 : 0])
}

/** Formats hosts to contact, split into datagrams. */
export function formatHosts (hosts: readonly string[]): string[] {
  return splitBySize(hosts.map((host) => JSON.stringify(host)), '["a",['.length + ']]'.length, 0).map((part) => `["a",[${part.join()}]]`)
}

/** Formats the header and the body of a digest as one datagram. */
export function formatDigest (header: DigestHeader, body: string): string {
  return `${JSON.stringify(['d', roundToTenth(header.sentAt), roundToTenth(header.delayMs), AUDIENCES.indexOf(header.audience), ...(header.range === null ? [] : [...header.range, header.ingressHost])])}\n${body}`
}

function formatMember ({ heartbeat, ageMs, delayMs }: DigestMember): string {
  const { node, host, suspects, engine } = heartbeat
  return JSON.stringify([node, host, formatFlags(heartbeat), Math.round(ageMs), Math.round(delayMs), suspects.length === 0 ? 0 : suspects, engine])
}

function formatUpdate ({ host, ageMs, delayMs, engine }: MemberUpdate): string {
  return JSON.stringify([host, Math.round(ageMs), Math.round(delayMs), ...(engine === null ? [] : [engine])])
}

/** Formats updates to the own hall as digest bodies, each of which is complete by itself. */
export function formatUpdates (zone: string, updates: readonly MemberUpdate[]): string[] {
  const head = JSON.stringify([zone, {}, [], []]).slice(0, -1)
  return splitBySize(updates.map(formatUpdate), HEADER_BYTES + head.length + ',[]]'.length, 0).map((part) => `${head},[${part.join()}]]`)
}

/** Formats a digest as bodies, each of which is complete by itself; the copies and versions of the hall are in the first one. */
export function formatDigestBodies (digest: HallDigest): string[] {
  const hall = JSON.stringify([digest.zone, Object.fromEntries(Object.entries(digest.copies).map(([kind, { state, host }]) => [kind, [formatState(state), host]])), formatVersions(digest.versions)])
  const short = JSON.stringify([digest.zone, {}, []])
  const parts = splitBySize(digest.members.map(formatMember), HEADER_BYTES + short.length + 2, Buffer.byteLength(hall) - short.length)
  return parts.map((part, at) => `${(at === 0 ? hall : short).slice(0, -1)},[${part.join()}]]`)
}

/** Splits a list into one or more parts that fit into datagrams with `overheadBytes` each, and `firstBytes` more in the first one. */
export function splitBySize (items: readonly string[], overheadBytes: number, firstBytes: number): string[][] {
  const parts: string[][] = [[]]
  let size = overheadBytes + firstBytes
  for (const item of items) {
    const bytes = Buffer.byteLength(item) + 1
    if (size + bytes > DATAGRAM_BYTES && (parts.at(-1)?.length ?? 0) > 0) {
      parts.push([])
      size = overheadBytes
    }
    parts.at(-1)?.push(item)
    size += bytes
  }
  return parts
}

/** Thrown and caught within this module, to abort the parsing of a datagram. */
class ShapeError extends Error {}

function requireShape<Value> (value: unknown, isValid: (value: unknown) => value is Value): Value {
  if (!isValid(value)) throw new ShapeError()
  return value
}

const isString = (value: unknown): value is string => typeof value === 'string'
const isNumber = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value)
/** Tells whether a value is a finite number from 0. */
export const isNonNegativeNumber = (value: unknown): value is number => isNumber(value) && value >= 0
const isFlags = (value: unknown): value is number => isNonNegativeNumber(value) && (value & ~ALL_FLAGS) === 0 && Number.isInteger(value)
const isArray = (value: unknown): value is unknown[] => Array.isArray(value)
const HOST_NAME = /^[0-9A-Za-z._-]{1,253}$/
/** Tells whether a value is an IP address or a host name that a URL can hold. */
const isHost = (value: unknown): value is string => isString(value) && (net.isIP(value) !== 0 || (HOST_NAME.test(value) && URL.canParse(`http://${value}`)))
const isHostList = (value: unknown): value is string[] => isArray(value) && value.every(isHost)
const isStringList = (value: unknown): value is string[] => isArray(value) && value.every(isString)
const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null && !Array.isArray(value)

function parseState (value: unknown): store.MirrorState {
  const [at, digest] = requireShape(value, isArray)
  return { at: requireShape(at, isNumber), digest: requireShape(digest, isString) }
}

function parseCopies (value: unknown): heartbeats.CopyStates {
  return Object.fromEntries(Object.entries(requireShape(value, isRecord)).map(([kind, state]) => [kind, parseState(state)]))
}

function parseVersions (value: unknown): heartbeats.RecentVersion[] {
  return requireShape(value, isArray).flatMap((each) => {
    const [model, ...pairs] = requireShape(each, isArray)
    return parseModelVersions(requireShape(model, isString), pairs)
  })
}

function parseModelVersions (model: string, pairs: readonly unknown[]): heartbeats.RecentVersion[] {
  const versions: heartbeats.RecentVersion[] = []
  for (let at = 0; at < pairs.length; at += 2) versions.push({ model, version: requireShape(pairs[at], isNumber), ageMs: requireShape(pairs[at + 1], isNonNegativeNumber) })
  return versions
}

function parseOneOf<Value> (choices: readonly Value[], index: unknown): Value {
  const choice = choices[requireShape(index, isNumber)]
  if (choice === undefined) throw new ShapeError()
  return choice
}

function parseFlags (value: unknown): Pick<heartbeats.Heartbeat, 'role' | 'isLeaving' | 'isStoreLost'> {
  const flags = requireShape(value, isFlags)
  return { role: (flags & AGENT_FLAG) > 0 ? 'agent' : 'gateway', isLeaving: (flags & LEAVING_FLAG) > 0, isStoreLost: (flags & STORE_LOST_FLAG) > 0 }
}

/** Datagrams of earlier releases state no incarnation. */
function parseOrigin (sentAt: unknown, incarnation: unknown): Origin {
  return { sentAt: requireShape(sentAt, isNumber), incarnation: incarnation === undefined || incarnation === null ? null : types.brandId<types.IncarnationId>(requireShape(incarnation, isString)) }
}

function parseHeartbeat ([, sentAt, flags, node, zone, host, viewHash, urgency, copies, versions, suspects, engine, incarnation]: readonly unknown[]): Message {
  return {
    type: 'heartbeat',
    origin: parseOrigin(sentAt, incarnation),
    viewHash: requireShape(viewHash, isNumber),
    urgency: parseOneOf(URGENCIES, urgency),
    heartbeat: {
      ...parseFlags(flags),
      node: types.brandId<types.NodeId>(requireShape(node, isString)),
      zone: requireShape(zone, isString),
      host: requireShape(host, isHost),
      copies: parseCopies(copies),
      versions: parseVersions(versions),
      suspects: requireShape(suspects, isStringList),
      engine: engine ?? null
    }
  }
}

function parseMember (value: unknown, zone: string): DigestMember {
  const [node, host, flags, ageMs, delayMs, suspects, engine] = requireShape(value, isArray)
  return {
    ageMs: requireShape(ageMs, isNonNegativeNumber),
    delayMs: requireShape(delayMs, isNonNegativeNumber),
    heartbeat: {
      ...parseFlags(flags),
      node: types.brandId<types.NodeId>(requireShape(node, isString)),
      zone,
      host: requireShape(host, isHost),
      copies: {},
      versions: [],
      suspects: suspects === 0 ? [] : requireShape(suspects, isStringList),
      engine: engine ?? null
    }
  }
}

function parseUpdate (value: unknown): MemberUpdate {
  const [host, ageMs, delayMs, engine] = requireShape(value, isArray)
  return { host: requireShape(host, isHost), ageMs: requireShape(ageMs, isNonNegativeNumber), delayMs: requireShape(delayMs, isNonNegativeNumber), engine: engine ?? null }
}

function parseHallCopies (value: unknown): HallCopies {
  return Object.fromEntries(Object.entries(requireShape(value, isRecord)).map(([kind, copy]) => {
    const [state, host] = requireShape(copy, isArray)
    return [kind, { state: parseState(state), host: requireShape(host, isHost) }]
  }))
}

function parseDigest ([, sentAt, delayMs, audience, firstHost, lastHost, ingressHost]: readonly unknown[], body: string): Message {
  const [zone, copies, versions, members, updates] = requireShape(JSON.parse(body), isArray)
  const name = requireShape(zone, isString)
  return {
    type: 'digest',
    body,
    header: {
      sentAt: requireShape(sentAt, isNumber),
      delayMs: requireShape(delayMs, isNonNegativeNumber),
      audience: parseOneOf(AUDIENCES, audience),
      range: firstHost === undefined ? null : [requireShape(firstHost, isString), requireShape(lastHost, isString)],
      ingressHost: firstHost === undefined ? '' : requireShape(ingressHost, isString)
    },
    digest: {
      zone: name,
      copies: parseHallCopies(copies),
      versions: parseVersions(versions),
      members: requireShape(members, isArray).map((member) => parseMember(member, name)),
      updates: requireShape(updates ?? [], isArray).map(parseUpdate)
    }
  }
}

function parse (text: string): Message | null {
  const end = text.indexOf('\n')
  const head = requireShape(JSON.parse(end < 0 ? text : text.slice(0, end)), isArray)
  switch (head[0]) {
    case 'h': return parseHeartbeat(head)
    case 'n': return { type: 'engine-report', origin: parseOrigin(head[1], head[3]), engine: head[2] ?? null }
    case 'r': return { type: 'keepalive', isRound: requireShape(head[1], isNumber) === 1 }
    case 'a': return { type: 'hosts', hosts: requireShape(head[1], isHostList) }
    case 'd': return parseDigest(head, text.slice(end + 1))
    default: return null
  }
}

/**
 * Decodes a datagram.
 *
 * @param bytes - The datagram.
 * @returns The message, or the reason for dropping the datagram.
 */
export function decode (bytes: Buffer): Decoded {
  try {
    const text = bytes.toString()
    if (types.isNestedDeeper(text, MAXIMUM_NESTING)) return { ok: false, reason: 'bad-shape' }
    const message = parse(text)
    return message === null ? { ok: false, reason: 'unknown-kind' } : { ok: true, message }
  } catch (error) {
    return { ok: false, reason: error instanceof ShapeError ? 'bad-shape' : 'not-json' }
  }
}
