/** First elements of the facts that gateways share, which say what a fact is about. Each kind of fact has its own, because all of them arrive over the same exchange. */
export const FACT_CODES = {
  backEndLeaving: 'v',
  backoff: 'r',
  rateLimit: 'l',
  backEndEnd: 'e',
  partsOfBackEndEnd: 'p',
  callServed: 's',
  partServed: 'c',
  block: 'b'
} as const
