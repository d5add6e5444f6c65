/** Splits a stream of server-sent events (text/event-stream) into complete events and tracks the last event id. */

/** Splits the stream of one attempt; a resumed stream has a new splitter that begins with the last event id of the one before. */
export interface EventSplitter {
  /** Adds bytes; returns the bytes up to the end of the last complete event, or null if no event is complete. */
  readonly push: (bytes: Buffer) => Buffer | null
  readonly hasPartial: () => boolean
  /** Size of the event that is not complete yet, which is held. */
  readonly partialBytes: () => number
  /** Id of the last complete event; null if it has none. Comments and other lines that make no event are not counted. */
  readonly lastEventId: () => string | null
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const EMPTY = Buffer.alloc(0)
const EVENT_END = /\r?\n\r?\n/
const ID_LINE = /^id:[ ]?(.*?)\r?$/gm
const DATA_LINE = /^data(:|\r?$)/m

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
    lastId = findLastId(whole.toString('latin1'), lastId)
    return whole
  }

  return {
    push,
    hasPartial: () => partial.length > 0,
    partialBytes: () => partial.length,
    lastEventId: () => lastId
  }
}

/** Finds the id of the last event of a text that ends with one; a text without any leaves the one before. */
function findLastId (text: string, before: string | null): string | null {
  for (const event of text.split(EVENT_END).reverse()) {
    const id = [...event.matchAll(ID_LINE)].at(-1)?.[1]
    if (id !== undefined) return id === '' ? null : id
    if (DATA_LINE.test(event)) return null
  }
  return before
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
