/** Splits a stream of server-sent events (text/event-stream) into complete events and tracks the last event id. */

/** Splits the stream of one attempt; a resumed stream has a new splitter that begins with the last event id of the one before. */
export interface EventSplitter {
  /** Adds bytes; returns the bytes up to the end of the last complete event, or null if no event is complete. */
  readonly push: (bytes: Buffer) => Buffer | null
  readonly hasPartial: () => boolean
  /** Size of the event that is not complete yet, which is held. */
  readonly partialBytes: () => number
  /** Id of the last complete event. */
  readonly lastEventId: () => string | null
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const EMPTY = Buffer.alloc(0)
const ID_LINE = /^id:[ ]?(.*?)\r?$/gm

/**
 * Creates a splitter.
 *
 * @param lastSeenEventId - Id of the last event that the caller already has, or null.
 * @returns The splitter.
 * @example
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')) // the bytes of event 1
 */
export function createEventSplitter (lastSeenEventId: string | null): EventSplitter {
  let partial: Buffer = EMPTY
  let lastId = lastSeenEventId

  function push (bytes: Buffer): Buffer | null {
    const all = partial.length === 0 ? bytes : Buffer.concat([partial, bytes])
    const end = findLastEnd(all)
    partial = all.subarray(end)
    if (end === 0) return null
    const whole = all.subarray(0, end)
    for (const match of whole.toString('latin1').matchAll(ID_LINE)) lastId = match[1] ?? lastId
    return whole
  }

  return {
    push,
    hasPartial: () => partial.length > 0,
    partialBytes: () => partial.length,
    lastEventId: () => lastId
  }
}

/** Finds the end of the last complete event, which is an empty line; 0 if there is none. */
function findLastEnd (bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue
    const before = bytes[index - 1]
    if (before === LINE_FEED) return index + 1
    if (before === CARRIAGE_RETURN && index > 1 && bytes[index - 2] === LINE_FEED) return index + 1
  }
  return 0
}
