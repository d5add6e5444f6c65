/**
 * Gets a value of a map, which is created when it is asked for first.
 *
 * @param map - The map.
 * @param key - The key.
 * @param create - Creates the value of a key that has none.
 * @returns The value.
 */
export function getOrCreate<Key, Value> (map: Map<Key, Value>, key: Key, create: () => Value): Value {
  const known = map.get(key)
  if (known !== undefined) return known
  const created = create()
  map.set(key, created)
  return created
}
