/**
 * Returns the value of a key in a map, and creates it on first use.
 *
 * @param map - The map.
 * @param key - The key.
 * @param create - Creates the value if the map has none for the key.
 * @returns The value.
 */
export function getOrCreate<Key, Value> (map: Map<Key, Value>, key: Key, create: () => Value): Value {
  const existing = map.get(key)
  if (existing !== undefined) return existing
  const created = create()
  map.set(key, created)
  return created
}
