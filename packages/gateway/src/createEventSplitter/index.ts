/** Splits a stream of server-sent events (text/event-stream) into complete events and tracks the last event id. */

/** Splits the stream of one attempt; a resumed stream has a new splitter that begins with the last event id of the one before. */
export interface EventSplitter {
  /** Adds bytes; returns the bytes up to the end of the last complete event, or null if no event is complete. They may share the memory of those added. */
  readonly push: (bytes: Buffer) => Buffer | null
  readonly hasPartial: () => boolean
  /** Size of the event that is not complete yet, which is held. */
  readonly partialBytes: () => number
  /** Memory that holds that event. */
  readonly heldBytes: () => number
  /** Id of the last complete event; null if it has none. Comments and other lines that make no event are not counted. */
  readonly lastEventId: () => string | null
}

/** A part of a buffer. */
interface Range {
  readonly start: number
  readonly end: number
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const SPACE = 0x20
const EMPTY = Buffer.alloc(0)
const ID_FIELD = Buffer.from('id:')
const DATA_FIELD = Buffer.from('data')
const COLON = 0x3a
/** The storage of an event begins with so many bytes; larger storage is released once its event is complete. */
const STORAGE_BYTES = 1024

/**
 * Creates a splitter.
 *
 * @param lastSeenEventId - Id of the last event that the caller already has, or null.
 * @returns The splitter.
 * @example
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')) // the bytes of event 1
 */
export function createEventSplitter (lastSeenEventId: string | null): EventSplitter {
  let storage: Buffer = EMPTY
  let storedBytes = 0
  let lastId = lastSeenEventId
  /** Start of the current line, and what the current event has had so far; positions are those after the last complete event. */
  let lineStart = 0
  let idValue: Range | null = null
  let hasData = false

  function push (bytes: Buffer): Buffer | null {
    if (storedBytes === 0) {
      const end = scan(bytes, 0, bytes.length)
      store(bytes.subarray(end))
      return end === 0 ? null : bytes.subarray(0, end)
    }
    const scannedBytes = storedBytes
    store(bytes)
    const end = scan(storage, scannedBytes, storedBytes)
    if (end === 0) return null
    const whole = Buffer.from(storage.subarray(0, end))
    const rest = storage.subarray(end, storedBytes)
    if (storage.length > STORAGE_BYTES) storage = EMPTY
    storedBytes = 0
    store(rest)
    return whole
  }

  /** Copies bytes to the end of the storage, whose size doubles when it is full. */
  function store (bytes: Buffer): void {
    const neededBytes = storedBytes + bytes.length
    if (neededBytes > storage.length) {
      const larger = Buffer.allocUnsafeSlow(Math.max(STORAGE_BYTES, storage.length * 2, neededBytes))
      storage.copy(larger, 0, 0, storedBytes)
      storage = larger
    }
    bytes.copy(storage, storedBytes)
    storedBytes = neededBytes
  }

  /** Reads lines from `start` on; returns the end of the last complete event, which is an empty line, or 0 if there is none. */
  function scan (bytes: Buffer, start: number, length: number): number {
    let lastEnd = 0
    let named: Range | null = null
    let hasNewId = false
    for (let index = start; index < length; index += 1) {
      const byte = bytes[index]
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) continue
      readLine(bytes, index)
      lineStart = index + 1
      if (byte !== LINE_FEED || !isEmptyLineEnd(bytes, index)) continue
      lastEnd = lineStart
      if (idValue !== null || hasData) {
        named = idValue
        hasNewId = true
      }
      idValue = null
      hasData = false
    }
    if (hasNewId) lastId = named === null || named.start === named.end ? null : bytes.toString('latin1', named.start, named.end)
    rebase(lastEnd)
    return lastEnd
  }

  /** Reads the field of the line that ends at `end`. */
  function readLine (bytes: Buffer, end: number): void {
    if (hasPrefix(bytes, lineStart, end, ID_FIELD)) {
      const valueStart = lineStart + ID_FIELD.length
      idValue = { start: valueStart < end && bytes[valueStart] === SPACE ? valueStart + 1 : valueStart, end }
    } else if (hasPrefix(bytes, lineStart, end, DATA_FIELD)) {
      const fieldEnd = lineStart + DATA_FIELD.length
      if (fieldEnd === end || bytes[fieldEnd] === COLON) hasData = true
    }
  }

  /** Makes positions those after the bytes that leave the splitter. */
  function rebase (bytes: number): void {
    lineStart -= bytes
    if (idValue !== null) idValue = { start: idValue.start - bytes, end: idValue.end - bytes }
  }

  return {
    push,
    hasPartial: () => storedBytes > 0,
    partialBytes: () => storedBytes,
    heldBytes: () => storage.length,
    lastEventId: () => lastId
  }
}

function hasPrefix (bytes: Buffer, start: number, end: number, prefix: Buffer): boolean {
  if (end - start < prefix.length) return false
  for (let index = 0; index < prefix.length; index += 1) {
    if (bytes[start + index] !== prefix[index]) return false
  }
  return true
}

/** Whether the line feed at `index` ends an empty line. */
function isEmptyLineEnd (bytes: Buffer, index: number): boolean {
  const before = bytes[index - 1]
  return before === LINE_FEED || (before === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED)
}
