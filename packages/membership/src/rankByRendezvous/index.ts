/** Rendezvous hashing: every process ranks the same items for a key in the same order, and few ranks change when an item comes or goes. */
import createHasher from 'xxhash-wasm'

const hasher = await createHasher()

/**
 * Ranks items for a key.
 *
 * @param key - What the items are ranked for.
 * @param items - The items.
 * @param idOf - Gives the id of an item; ids are unique.
 * @returns The items, the best first.
 * @example
 * const [reader] = rankByRendezvous(`${manifest}/${chunk}`, nodes, (node) => node.id)
 */
export function rankByRendezvous<Item> (key: string, items: readonly Item[], idOf: (item: Item) => string): Item[] {
  return items
    .map((item) => ({ item, id: idOf(item), score: scoreByRendezvous(key, idOf(item)) }))
    .sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1))
    .map(({ item }) => item)
}

/**
 * Finds the best item for a key without ranking the rest.
 *
 * @param key - What the item is chosen for.
 * @param items - The items.
 * @param idOf - Gives the id of an item; ids are unique.
 * @returns The best item, or undefined when there is none.
 */
export function pickByRendezvous<Item> (key: string, items: readonly Item[], idOf: (item: Item) => string): Item | undefined {
  let best: Item | undefined
  let bestScore = -1
  for (const item of items) {
    const score = scoreByRendezvous(key, idOf(item))
    const wins = score > bestScore || (score === bestScore && best !== undefined && idOf(item) < idOf(best))
    if (wins) {
      best = item
      bestScore = score
    }
  }
  return best
}

/**
 * Scores one id for a key.
 *
 * @param key - What the id is scored for.
 * @param id - The id.
 * @returns A number from 0 to 2^32 - 1, the same in every process.
 */
export function scoreByRendezvous (key: string, id: string): number {
  return hasher.h32(`${key}\n${id}`)
}
