/** Branded id types: string types that can't be assigned to each other, so that the compiler detects mixed up ids. */
import * as crypto from 'node:crypto'

declare const brand: unique symbol

/** A string type tagged with the name of what it identifies. */
export type Branded<Name extends string> = string & { readonly [brand]: Name }

/** One machine of the fleet: an entry node or the node of a backend server. */
export type NodeId = Branded<'NodeId'>
/** One data hall, which corresponds to an availability zone. */
export type DataHallId = Branded<'DataHallId'>
/** A region: several data halls close to each other. */
export type RegionId = Branded<'RegionId'>
/** A row of the table's models section. */
export type RowId = Branded<'RowId'>
/** A service that callers reach through the entry nodes. */
export type ServiceName = Branded<'ServiceName'>
/** A client account, which corresponds to a tenant. */
export type AccountId = Branded<'AccountId'>
/** A SHA-256 digest in lower-case hexadecimal. */
export type Digest = Branded<'Digest'>
/** One edit of the table; the editor chooses the id, which makes retries idempotent. */
export type EditId = Branded<'EditId'>
/** One attempt to run a call on a backend server. */
export type TicketId = Branded<'TicketId'>
/** One instance of a back end, from start to end; a restart under the same node id is another instance. */
export type BackEndInstanceId = Branded<'BackEndInstanceId'>
/** A part of prompts that calls may share: `#` and up to 16 hexadecimal digits. */
export type PromptPartId = Branded<'PromptPartId'>
/** One run of a daemon process; ids of later runs on the same node sort higher. */
export type IncarnationId = Branded<'IncarnationId'>

/**
 * Formats the id of a back end instance.
 *
 * @param id - Node id of the back end, which stays the same over a restart.
 * @param bornAt - Start time of the instance; null when the back end does not report it.
 * @returns The instance id, the same on all daemons.
 */
export function formatBackEndInstanceId (id: NodeId, bornAt: number | null): BackEndInstanceId {
  return brandId<BackEndInstanceId>(bornAt === null ? id : `${id}/${bornAt}`)
}

/** Longest instance id that is accepted from another daemon. */
const MAXIMUM_INSTANCE_ID_LENGTH = 120

/** Tells whether a value received from another daemon is a valid id of a back end instance. */
export function isBackEndInstanceId (value: unknown): value is BackEndInstanceId {
  return typeof value === 'string' && value.length > 0 && value.length <= MAXIMUM_INSTANCE_ID_LENGTH
}

/**
 * Brands a string.
 *
 * @param value - The plain string.
 * @returns The same string, typed as the requested id.
 * @example
 * const node = brandId<NodeId>('node-1')
 */
export function brandId<Id extends string> (value: string): Id {
  return value as Id
}

const PROMPT_PART_ID_PATTERN = /^#[0-9a-f]{1,16}$/

const PROMPT_PART_DIGITS = 16

/**
 * Creates the id of a part of prompts.
 *
 * @param name - What identifies the part: hexadecimal digits, kept as they are if there are at most 16, or any other text.
 * @returns The id, the same for the same name on all daemons.
 */
export function createPromptPartId (name: string): PromptPartId {
  const id = `#${name.toLowerCase()}`
  if (isPromptPartId(id)) return id
  return brandId<PromptPartId>(`#${crypto.createHash('sha256').update(name).digest('hex').slice(0, PROMPT_PART_DIGITS)}`)
}

/** Tells whether a value received from another daemon is a valid id of a part of prompts. */
export function isPromptPartId (value: unknown): value is PromptPartId {
  return typeof value === 'string' && PROMPT_PART_ID_PATTERN.test(value)
}
