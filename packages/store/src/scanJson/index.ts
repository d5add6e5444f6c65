/** Finds the members and elements of JSON without parsing their values, whose memory or depth may be without bound. */

/** Where a value stands, and what it takes. */
export interface Extent {
  readonly start: number
  /** Exclusive. */
  readonly end: number
  /** Levels of nesting; 0 for a value that is neither an object nor an array. */
  readonly depth: number
  /** Number of objects and arrays, itself and those within it. */
  readonly containers: number
  /** Number of other values, the keys of objects included. */
  readonly scalars: number
}

const QUOTE = '"'.charCodeAt(0)
const BACKSLASH = '\\'.charCodeAt(0)
const COMMA = ','.charCodeAt(0)
const COLON = ':'.charCodeAt(0)
const LONGEST_KEY_BYTES = 256

/** Classes of bytes; those of numbers and literals have none. */
const OPENING = 1
const CLOSING = 2
const SPACE = 3
const SEPARATOR = 4
const STRING = 5
const CLASSES = createClasses({ '[{': OPENING, ']}': CLOSING, ' \t\n\r': SPACE, ',:': SEPARATOR, '"': STRING })

function createClasses (classes: Readonly<Record<string, number>>): Uint8Array {
  const table = new Uint8Array(256)
  for (const [characters, byteClass] of Object.entries(classes)) for (const character of characters) table[character.charCodeAt(0)] = byteClass
  return table
}

function classOf (json: Buffer, index: number): number {
  return CLASSES[json[index] ?? 0] as number
}

/**
 * Measures the value that begins at an offset. Its syntax is not checked beyond its brackets and strings.
 *
 * @param json - JSON text in UTF-8.
 * @param offset - Offset of the value, or of white space before it.
 * @returns Its extent; null if the text ends within it or no value begins there.
 */
export function measureValue (json: Buffer, offset: number): Extent | null {
  const start = skipSpaces(json, offset)
  let depth = 0
  let deepest = 0
  let containers = 0
  let scalars = 0
  let index = start
  while (index < json.length) {
    switch (classOf(json, index)) {
      case STRING:
        index = skipString(json, index)
        scalars += 1
        break
      case OPENING:
        depth += 1
        if (depth > deepest) deepest = depth
        containers += 1
        index += 1
        break
      case CLOSING:
        if (depth === 0) return null
        depth -= 1
        index += 1
        break
      case SPACE:
      case SEPARATOR:
        if (depth === 0) return null
        index += 1
        continue
      default:
        index = skipPrimitive(json, index)
        scalars += 1
    }
    if (depth === 0) return { start, end: index, depth: deepest, containers, scalars }
  }
  return null
}

/**
 * Finds the members of an object; those with very long keys are left out.
 *
 * @param json - JSON text in UTF-8.
 * @param offset - Offset of the object, or of white space before it.
 * @returns The extents of the values by key, or null if there is no object.
 */
export function findMembers (json: Buffer, offset: number): Map<string, Extent> | null {
  const members = new Map<string, Extent>()
  const isObject = forEachEntry(json, offset, '{', (start) => {
    const key = measureValue(json, start)
    if (key === null || json[key.start] !== QUOTE) return null
    const colon = skipSpaces(json, key.end)
    const value = json[colon] === COLON ? measureValue(json, colon + 1) : null
    if (value !== null && key.end - key.start <= LONGEST_KEY_BYTES) members.set(String(parseExtent(json, key)), value)
    return value
  })
  return isObject ? members : null
}

/**
 * Finds the elements of an array.
 *
 * @param json - JSON text in UTF-8.
 * @param offset - Offset of the array, or of white space before it.
 * @returns The extents of the elements, or null if there is no array.
 */
export function findElements (json: Buffer, offset: number): Extent[] | null {
  const elements: Extent[] = []
  const isArray = forEachEntry(json, offset, '[', (start) => {
    const element = measureValue(json, start)
    if (element !== null) elements.push(element)
    return element
  })
  return isArray ? elements : null
}

/** Parses the value of an extent; throws a SyntaxError if it is no JSON. */
export function parseExtent (json: Buffer, { start, end }: Extent): unknown {
  return JSON.parse(json.toString('utf8', start, end))
}

/** Calls `readEntry` with the offset of each entry of an object or array; returns whether there is a whole one. */
function forEachEntry (json: Buffer, offset: number, opening: '{' | '[', readEntry: (start: number) => Extent | null): boolean {
  const start = skipSpaces(json, offset)
  if (json[start] !== opening.charCodeAt(0)) return false
  let index = skipSpaces(json, start + 1)
  if (classOf(json, index) === CLOSING) return true
  for (;;) {
    const entry = readEntry(index)
    if (entry === null) return false
    index = skipSpaces(json, entry.end)
    if (classOf(json, index) === CLOSING) return true
    if (json[index] !== COMMA) return false
    index += 1
  }
}

function skipSpaces (json: Buffer, offset: number): number {
  let index = offset
  while (classOf(json, index) === SPACE) index += 1
  return index
}

/** Returns the offset behind a string; the end of the text if the string has none. */
function skipString (json: Buffer, offset: number): number {
  let index = offset + 1
  while (index < json.length && json[index] !== QUOTE) index += json[index] === BACKSLASH ? 2 : 1
  return Math.min(index + 1, json.length)
}

/** Returns the offset behind a number, a literal or bytes that are neither. */
function skipPrimitive (json: Buffer, offset: number): number {
  let index = offset + 1
  while (index < json.length && classOf(json, index) === 0) index += 1
  return index
}
