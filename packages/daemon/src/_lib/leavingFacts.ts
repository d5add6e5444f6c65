/** Facts that gateways share about back ends that have announced in their responses that they are about to end. */
import * as types from '@switchridge/types'

const LEAVING_CODE = 'v'

/** Encodes the announcement of a back end as an array, which is short in JSON. */
export function formatFact (instance: types.BackEndInstanceId): unknown[] {
  return [LEAVING_CODE, instance]
}

/** Decodes a fact; null if it is malformed or about something else. */
export function parseFact (content: unknown): types.BackEndInstanceId | null {
  if (!Array.isArray(content)) return null
  const [code, instance] = content as unknown[]
  return code === LEAVING_CODE && types.isBackEndInstanceId(instance) ? instance : null
}
