/** Datagrams of the exchange: arrays in JSON, the kind first; a digest has its way on a line of its own before it. */
import type * as store from '@switchridge/store'
import * as types from '@switchridge/types'
import type * as heartbeats from './heartbeat.js'

/** Who shall hear of something at once, or of a digest. */
export type Audience = 'nobody' | 'gateways' | 'all'

/** What a heartbeat asks of its receiver beyond taking it in: to tell others of it at once, or to answer with its own. */
export type Urgency = Audience | 'sender'

/** A member as a digest tells it. */
export interface DigestMember {
  readonly heartbeat: heartbeats.Heartbeat
  /** Milliseconds since it said so, as the relay measured. */
  readonly ageMs: number
  /** How much longer than the fastest one its heartbeat was under way to the relay. */
  readonly delayMs: number
}

/** What a relay tells its own hall of a member that the hall knows. */
export interface ToldMember {
  readonly host: string
  readonly ageMs: number
  readonly delayMs: number
  /** What an agent says of its engine; null when only its life is told. */
  readonly engine: unknown
}

/** The furthest copy of a hall by kind, with the host of a member that holds it. */
export type HallCopies = Readonly<Record<string, { readonly state: store.CopyState, readonly host: string }>>

/** What a relay tells of its hall; one of several datagrams. */
export interface Digest {
  readonly zone: string
  readonly copies: HallCopies
  readonly versions: readonly heartbeats.VersionTold[]
  readonly members: readonly DigestMember[]
  /** To the own hall only. */
  readonly told: readonly ToldMember[]
}

/** What is told to other halls, or of changes. */
export type News = Omit<Digest, 'told'>

/** On which way a digest is. */
export interface DigestWay {
  readonly sentAt: number
  /** Delay of the hops before, in milliseconds beyond the usual. */
  readonly delayMs: number
  readonly audience: Audience
  /** The receiver passes it on to members of its hall from the first to the last host, in the circle of sorted hosts; null: to all. */
  readonly range: readonly [string, string] | null
  /** The member that it came to first; it is in no range. */
  readonly first: string
}

/** A datagram. */
export type Message =
  | { readonly type: 'heartbeat', readonly sentAt: number, readonly heartbeat: heartbeats.Heartbeat, readonly viewHash: number, readonly urgency: Urgency }
  | { readonly type: 'news', readonly sentAt: number, readonly engine: unknown }
  | { readonly type: 'sign', readonly isRound: boolean }
  | { readonly type: 'hosts', readonly hosts: readonly string[] }
  | { readonly type: 'digest', readonly way: DigestWay, readonly digest: Digest, readonly body: string }

/** Why a datagram was dropped. */
export type DropReason = 'not-json' | 'unknown-kind' | 'bad-shape' | 'unknown-sender'

/** A decoded datagram, or why there is none. */
export type Decoded = { readonly ok: true, readonly message: Message } | { readonly ok: false, readonly reason: DropReason }

/** Longest payload that a router on the way leaves in one piece. */
export const DATAGRAM_BYTES = 1200
/** The part of a digest's datagram that is left to its way: three hosts and three numbers. */
const WAY_BYTES = 120
const AUDIENCES: readonly Audience[] = ['nobody', 'gateways', 'all']
const URGENCIES: readonly Urgency[] = [...AUDIENCES, 'sender']
const AGENT = 1
const LEAVING = 2
const STORE_LOST = 4
const ALL_FLAGS = AGENT | LEAVING | STORE_LOST
const FRACTION = 10

/** A tenth of a millisecond is enough, and shorter. */
function shorten (milliseconds: number): number {
  return Math.round(milliseconds * FRACTION) / FRACTION
}

function formatFlags ({ role, isLeaving, isStoreLost }: heartbeats.Heartbeat): number {
  return (role === 'agent' ? AGENT : 0) | (isLeaving ? LEAVING : 0) | (isStoreLost ? STORE_LOST : 0)
}

function formatState ({ at, digest }: store.CopyState): unknown[] {
  return [at, digest]
}

function formatCopies (copies: heartbeats.CopyStates): Record<string, unknown[]> {
  return Object.fromEntries(Object.entries(copies).map(([kind, state]) => [kind, formatState(state)]))
}

/** Versions of one model that follow each other stand after its name. */
function formatVersions (versions: readonly heartbeats.VersionTold[]): unknown[] {
  const lists: unknown[][] = []
  for (const { model, version, ageMs } of versions) {
    const last = lists.at(-1)
    if (last?.[0] === model) last.push(version, shorten(ageMs))
    else lists.push([model, version, shorten(ageMs)])
  }
  return lists
}

/** Formats a whole heartbeat. */
export function formatHeartbeat (sentAt: number, heartbeat: heartbeats.Heartbeat, viewHash: number, urgency: Urgency): string {
  const { node, zone, host, copies, versions, suspects, engine } = heartbeat
  return JSON.stringify(['h', shorten(sentAt), formatFlags(heartbeat), node, zone, host, viewHash, URGENCIES.indexOf(urgency), formatCopies(copies), formatVersions(versions), suspects, engine])
}

/** Formats news of the own engine, for those that know the sender. */
export function formatNews (sentAt: number, engine: unknown): string {
  return JSON.stringify(['n', shorten(sentAt), engine])
}

/** Formats a sign of life; `isRound` tells that the sender, a relay, has just begun to send its digest. */
export function formatSign (isRound: boolean): string {
  return JSON.stringify(['r', isRound ? 1 : 0])
}

/** Formats hosts to ask, cut into datagrams. */
export function formatHosts (hosts: readonly string[]): string[] {
  return cut(hosts.map((host) => JSON.stringify(host)), '["a",['.length + ']]'.length, 0).map((part) => `["a",[${part.join()}]]`)
}

/** Formats a digest's way and its body as one datagram. */
export function formatDigest (way: DigestWay, body: string): string {
  return `${JSON.stringify(['d', shorten(way.sentAt), shorten(way.delayMs), AUDIENCES.indexOf(way.audience), ...(way.range === null ? [] : [...way.range, way.first])])}\n${body}`
}

function formatMember ({ heartbeat, ageMs, delayMs }: DigestMember): string {
  const { node, host, suspects, engine } = heartbeat
  return JSON.stringify([node, host, formatFlags(heartbeat), Math.round(ageMs), Math.round(delayMs), suspects.length === 0 ? 0 : suspects, engine])
}

function formatTold ({ host, ageMs, delayMs, engine }: ToldMember): string {
  return JSON.stringify([host, Math.round(ageMs), Math.round(delayMs), ...(engine === null ? [] : [engine])])
}

/** Formats what a relay tells its own hall, as bodies of datagrams that stand alone. */
export function formatRound (zone: string, told: readonly ToldMember[]): string[] {
  const head = JSON.stringify([zone, {}, [], []]).slice(0, -1)
  return cut(told.map(formatTold), WAY_BYTES + head.length + ',[]]'.length, 0).map((part) => `${head},[${part.join()}]]`)
}

/** Formats a digest as bodies of datagrams that stand alone; what holds for the whole hall is in the first one. */
export function formatBodies (digest: News): string[] {
  const hall = JSON.stringify([digest.zone, Object.fromEntries(Object.entries(digest.copies).map(([kind, { state, host }]) => [kind, [formatState(state), host]])), formatVersions(digest.versions)])
  const short = JSON.stringify([digest.zone, {}, []])
  const parts = cut(digest.members.map(formatMember), WAY_BYTES + short.length + 2, Buffer.byteLength(hall) - short.length)
  return parts.map((part, at) => `${(at === 0 ? hall : short).slice(0, -1)},[${part.join()}]]`)
}

/** Cuts a list into parts that fit; `firstBytes` more are taken in the first one. At least one part. */
export function cut (items: readonly string[], partBytes: number, firstBytes: number): string[][] {
  const parts: string[][] = [[]]
  let size = partBytes + firstBytes
  for (const item of items) {
    const bytes = Buffer.byteLength(item) + 1
    if (size + bytes > DATAGRAM_BYTES && (parts.at(-1)?.length ?? 0) > 0) {
      parts.push([])
      size = partBytes
    }
    parts.at(-1)?.push(item)
    size += bytes
  }
  return parts
}

/** Thrown within this module alone, to leave a nested list. */
class ShapeError extends Error {}

function take<Value> (value: unknown, isFit: (value: unknown) => value is Value): Value {
  if (!isFit(value)) throw new ShapeError()
  return value
}

const isText = (value: unknown): value is string => typeof value === 'string'
const isNumber = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value)
/** Whether a value is a span of time. */
export const isAge = (value: unknown): value is number => isNumber(value) && value >= 0
const isFlags = (value: unknown): value is number => isAge(value) && (value & ~ALL_FLAGS) === 0 && Number.isInteger(value)
const isList = (value: unknown): value is unknown[] => Array.isArray(value)
const isTexts = (value: unknown): value is string[] => isList(value) && value.every(isText)
const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null && !Array.isArray(value)

function parseState (value: unknown): store.CopyState {
  const [at, digest] = take(value, isList)
  return { at: take(at, isNumber), digest: take(digest, isText) }
}

function parseCopies (value: unknown): heartbeats.CopyStates {
  return Object.fromEntries(Object.entries(take(value, isRecord)).map(([kind, state]) => [kind, parseState(state)]))
}

function parseVersions (value: unknown): heartbeats.VersionTold[] {
  return take(value, isList).flatMap((each) => {
    const [model, ...told] = take(each, isList)
    return parseVersionsOf(take(model, isText), told)
  })
}

function parseVersionsOf (model: string, told: readonly unknown[]): heartbeats.VersionTold[] {
  const versions: heartbeats.VersionTold[] = []
  for (let at = 0; at < told.length; at += 2) versions.push({ model, version: take(told[at], isNumber), ageMs: take(told[at + 1], isAge) })
  return versions
}

function parseOneOf<Word> (words: readonly Word[], value: unknown): Word {
  const word = words[take(value, isNumber)]
  if (word === undefined) throw new ShapeError()
  return word
}

function parseFlags (value: unknown): Pick<heartbeats.Heartbeat, 'role' | 'isLeaving' | 'isStoreLost'> {
  const flags = take(value, isFlags)
  return { role: (flags & AGENT) > 0 ? 'agent' : 'gateway', isLeaving: (flags & LEAVING) > 0, isStoreLost: (flags & STORE_LOST) > 0 }
}

function parseHeartbeat ([, sentAt, flags, node, zone, host, viewHash, urgency, copies, versions, suspects, engine]: readonly unknown[]): Message {
  return {
    type: 'heartbeat',
    sentAt: take(sentAt, isNumber),
    viewHash: take(viewHash, isNumber),
    urgency: parseOneOf(URGENCIES, urgency),
    heartbeat: {
      ...parseFlags(flags),
      node: types.brandId<types.NodeId>(take(node, isText)),
      zone: take(zone, isText),
      host: take(host, isText),
      copies: parseCopies(copies),
      versions: parseVersions(versions),
      suspects: take(suspects, isTexts),
      engine: engine ?? null
    }
  }
}

function parseMember (value: unknown, zone: string): DigestMember {
  const [node, host, flags, ageMs, delayMs, suspects, engine] = take(value, isList)
  return {
    ageMs: take(ageMs, isAge),
    delayMs: take(delayMs, isAge),
    heartbeat: {
      ...parseFlags(flags),
      node: types.brandId<types.NodeId>(take(node, isText)),
      zone,
      host: take(host, isText),
      copies: {},
      versions: [],
      suspects: suspects === 0 ? [] : take(suspects, isTexts),
      engine: engine ?? null
    }
  }
}

function parseTold (value: unknown): ToldMember {
  const [host, ageMs, delayMs, engine] = take(value, isList)
  return { host: take(host, isText), ageMs: take(ageMs, isAge), delayMs: take(delayMs, isAge), engine: engine ?? null }
}

function parseHallCopies (value: unknown): HallCopies {
  return Object.fromEntries(Object.entries(take(value, isRecord)).map(([kind, told]) => {
    const [state, host] = take(told, isList)
    return [kind, { state: parseState(state), host: take(host, isText) }]
  }))
}

function parseDigest ([, sentAt, delayMs, audience, begin, end, first]: readonly unknown[], body: string): Message {
  const [zone, copies, versions, members, told] = take(JSON.parse(body), isList)
  const name = take(zone, isText)
  return {
    type: 'digest',
    body,
    way: {
      sentAt: take(sentAt, isNumber),
      delayMs: take(delayMs, isAge),
      audience: parseOneOf(AUDIENCES, audience),
      range: begin === undefined ? null : [take(begin, isText), take(end, isText)],
      first: begin === undefined ? '' : take(first, isText)
    },
    digest: {
      zone: name,
      copies: parseHallCopies(copies),
      versions: parseVersions(versions),
      members: take(members, isList).map((member) => parseMember(member, name)),
      told: take(told ?? [], isList).map(parseTold)
    }
  }
}

function parse (text: string): Message | null {
  const end = text.indexOf('\n')
  const head = take(JSON.parse(end < 0 ? text : text.slice(0, end)), isList)
  switch (head[0]) {
    case 'h': return parseHeartbeat(head)
    case 'n': return { type: 'news', sentAt: take(head[1], isNumber), engine: head[2] ?? null }
    case 'r': return { type: 'sign', isRound: take(head[1], isNumber) === 1 }
    case 'a': return { type: 'hosts', hosts: take(head[1], isTexts) }
    case 'd': return parseDigest(head, text.slice(end + 1))
    default: return null
  }
}

/**
 * Decodes a datagram.
 *
 * @param bytes - The datagram.
 * @returns The message, or the reason for which it is dropped.
 */
export function decode (bytes: Buffer): Decoded {
  try {
    const message = parse(bytes.toString())
    return message === null ? { ok: false, reason: 'unknown-kind' } : { ok: true, message }
  } catch (error) {
    return { ok: false, reason: error instanceof ShapeError ? 'bad-shape' : 'not-json' }
  }
}
