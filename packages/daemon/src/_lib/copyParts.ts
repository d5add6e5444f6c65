/** Parts of replicated objects: which part of a kind each role keeps a copy of, and the path to request it. */
import * as platform from '@switchridge/platform'
import type * as spread from '@switchridge/spread'
import type * as store from '@switchridge/store'

/** `services` is the configuration without routes, tenants and their keys; `whole` is the unreduced objects. */
export type CopyPart = 'whole' | 'services'

/** Path under which daemons serve copies, followed by kind, part and revision. */
export const COPIES_PATH = '/copies/'

/** Returns the part of a kind that a role keeps. Agents make no decision that needs routes and keys, so they keep only the services. */
export function partForRole (kind: string, role: spread.Heartbeat['role']): CopyPart {
  return role === 'agent' && kind === platform.OBJECT_KINDS.configuration ? 'services' : 'whole'
}

/** Returns whether a daemon that has one part can serve the wanted one. */
export function includesPart (available: CopyPart, wanted: CopyPart): boolean {
  return available === 'whole' || available === wanted
}

/** Extracts the wanted part of objects. */
export function extractPart (objects: readonly store.StoredObject[], wanted: CopyPart): readonly store.StoredObject[] {
  return wanted === 'whole' ? objects : objects.map((object) => ({ ...object, value: platform.omitRoutesAndTenants(object.value) }))
}

/** Formats the path to request the changes since a revision. Names of kinds are plain words and need no escaping. */
export function formatCopyPath (kind: string, part: CopyPart, since: number): string {
  return `${COPIES_PATH}${kind}/${part}/${since}`
}
