/** Branded ids: strings that the compiler keeps apart. */
declare const brand: unique symbol

/** A string that carries the name of what it identifies. */
export type Branded<Name extends string> = string & { readonly [brand]: Name }

/** One machine of the fleet: an entry node or the node of a backend server. */
export type NodeId = Branded<'NodeId'>
/** One data hall (in the field's words: an availability zone). */
export type DataHallId = Branded<'DataHallId'>
/** A region: several data halls near each other. */
export type RegionId = Branded<'RegionId'>
/** A row of the table's models section. */
export type RowId = Branded<'RowId'>
/** A service that callers reach through the entry nodes. */
export type ServiceName = Branded<'ServiceName'>
/** A client account (in the field's words: a tenant). */
export type AccountId = Branded<'AccountId'>
/** A SHA-256 digest in lower-case hexadecimal. */
export type Digest = Branded<'Digest'>
/** One edit of the table, chosen by its editor. */
export type EditId = Branded<'EditId'>
/** One attempt to run a call on a backend server. */
export type TicketId = Branded<'TicketId'>
/** One life of a back end; another one under the same id has another name. */
export type BackEndLife = Branded<'BackEndLife'>
/** One life of a daemon process; a later one sorts higher on the same node. */
export type IncarnationId = Branded<'IncarnationId'>

/**
 * Names the life of a back end.
 *
 * @param id - Its id, which it may have again after a restart.
 * @param bornAt - When the life began; null when it does not tell.
 * @returns The name, the same at all daemons.
 */
export function formatLife (id: NodeId, bornAt: number | null): BackEndLife {
  return brandId<BackEndLife>(bornAt === null ? id : `${id}/${bornAt}`)
}

/** Longest name of a life that another daemon may tell. */
const MAXIMUM_LIFE_LENGTH = 120

/** Whether what another daemon told may name the life of a back end. */
export function isLife (value: unknown): value is BackEndLife {
  return typeof value === 'string' && value.length > 0 && value.length <= MAXIMUM_LIFE_LENGTH
}

/**
 * Brands a string.
 *
 * @param value - The plain string.
 * @returns The same string as the id type that the caller names.
 * @example
 * const node = brandId<NodeId>('cluj-1')
 */
export function brandId<Id extends string> (value: string): Id {
  return value as Id
}
