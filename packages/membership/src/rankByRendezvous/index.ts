/** Rendezvous hashing: every process ranks the same items for a key in the same order, and few ranks change when an item comes or goes. */
import createHasher from 'xxhash-wasm'

const hasher = await createHasher()
/** Scores that a ranking remembers: more than the members of a large fleet, also while many are replaced. */
const MAXIMUM_SCORES = 5000

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
  return rankByScore(items, idOf, (id) => scoreByRendezvous(key, id))
}

/**
 * Creates a ranking for one key that remembers scores: hashing is most of what a ranking costs, and some are made many times a second.
 *
 * @param key - What items are ranked for.
 * @returns Ranks items like {@link rankByRendezvous}.
 */
export function createRendezvousRanking (key: string): <Item>(items: readonly Item[], idOf: (item: Item) => string) => Item[] {
  const scores = new Map<string, number>()

  function scoreOf (id: string): number {
    const known = scores.get(id)
    if (known !== undefined) return known
    if (scores.size >= MAXIMUM_SCORES) scores.clear()
    const score = scoreByRendezvous(key, id)
    scores.set(id, score)
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
