/** Facts that gateways share about back ends that have announced in their responses that they are about to end. */
import * as types from '@switchridge/types'
import * as factCodes from './factCodes.js'

/** Encodes the announcement of a back end as an array, which is short in JSON. */
export function formatFact (instance: types.BackEndInstanceId): unknown[] {
  return [factCodes.FACT_CODES.backEndLeaving, instance]
}

/** Decodes a fact; null if it is malformed or about something else. */
export function parseFact (content: unknown): types.BackEndInstanceId | null {
  if (!Array.isArray(content)) return null
  const [code, instance] = content as unknown[]
  return code === factCodes.FACT_CODES.backEndLeaving && types.isBackEndInstanceId(instance) ? instance : null
}
