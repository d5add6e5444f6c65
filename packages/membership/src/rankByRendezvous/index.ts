/** Rendezvous hashing: every process ranks the same items for a key in the same order, and the others keep their order when an item is added or removed. */
import createHasher from 'xxhash-wasm'

const hasher = await createHasher()
/** Scores that a ranking caches: more than the members of a large fleet, also while many of them are replaced. */
const MAXIMUM_CACHED_SCORES = 5000

/**
 * Ranks items for a key.
 *
 * @param key - Identifies the ranking; different keys give independent orders.
 * @param items - The items.
 * @param idOf - Returns the unique id of an item.
 * @returns The items, the highest score first.
 * @example
 * const [reader] = rankByRendezvous(`${manifest}/${chunk}`, nodes, (node) => node.id)
 */
export function rankByRendezvous<Item> (key: string, items: readonly Item[], idOf: (item: Item) => string): Item[] {
  return rankByScore(items, idOf, (id) => scoreByRendezvous(key, id))
}

/**
 * Creates a ranking for one key that caches scores, since hashing is most of the cost of a ranking, and some rankings run many times a second.
 *
 * @param key - What items are ranked for.
 * @returns A function that ranks items like {@link rankByRendezvous}.
 */
export function createRendezvousRanking (key: string): <Item>(items: readonly Item[], idOf: (item: Item) => string) => Item[] {
  const cachedScores = new Map<string, number>()

  function scoreOf (id: string): number {
    const cached = cachedScores.get(id)
    if (cached !== undefined) return cached
    if (cachedScores.size >= MAXIMUM_CACHED_SCORES) cachedScores.clear()
    const score = scoreByRendezvous(key, id)
    cachedScores.set(id, score)
    return score
  }

  return (items, idOf) => rankByScore(items, idOf, scoreOf)
}

function rankByScore<Item> (items: readonly Item[], idOf: (item: Item) => string, scoreOf: (id: string) => number): Item[] {
  return items
    .map((item) => ({ item, id: idOf(item), score: scoreOf(idOf(item)) }))
    .sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1))
    .map(({ item }) => item)
}

/**
 * Finds the item with the highest score for a key, without ranking the others.
 *
 * @param key - What the item is chosen for.
 * @param items - The items.
 * @param idOf - Returns the unique id of an item.
 * @returns That item, or undefined if there are no items.
 */
export function pickByRendezvous<Item> (key: string, items: readonly Item[], idOf: (item: Item) => string): Item | undefined {
  let best: Item | undefined
  let bestScore = -1
  for (const item of items) {
    const score = scoreByRendezvous(key, idOf(item))
    const isBetter = score > bestScore || (score === bestScore && best !== undefined && idOf(item) < idOf(best))
    if (isBetter) {
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
