/** Tells whether JSON is nested too deeply to be walked through by functions that recurse, such as JSON.stringify. */

const QUOTE = '"'.charCodeAt(0)
const BACKSLASH = '\\'.charCodeAt(0)
const LIST_START = '['.charCodeAt(0)
const LIST_END = ']'.charCodeAt(0)
const OBJECT_START = '{'.charCodeAt(0)
const OBJECT_END = '}'.charCodeAt(0)

/**
 * Measures the nesting of JSON without parsing it.
 *
 * @param json - The text; it need not be valid.
 * @param levels - Levels of objects and arrays that are allowed.
 * @returns Whether there are more levels.
 * @example
 * isNestedDeeper('[[1], {"a": "[["}]', 2) // false
 */
export function isNestedDeeper (json: string, levels: number): boolean {
  let depth = 0
  let isInString = false
  for (let index = 0; index < json.length; index += 1) {
    const code = json.charCodeAt(index)
    if (code === QUOTE) isInString = !isInString
    else if (isInString) index += code === BACKSLASH ? 1 : 0
    else if (code === LIST_START || code === OBJECT_START) depth += 1
    else if (code === LIST_END || code === OBJECT_END) depth -= 1
    if (depth > levels) return true
  }
  return false
}
