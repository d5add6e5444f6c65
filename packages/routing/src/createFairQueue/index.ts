/** Bounded weighted fair queue: serves interactive calls before batch calls and client accounts in proportion to their shares; when full, it evicts the call that would be served last. */
import type * as types from '@switchridge/types'

/** Properties of a call that determine its place in the queue. */
export interface QueuedCall {
  readonly account: types.AccountId
  /** Weight of the account, above 0. */
  readonly share: number
  readonly priority: 'interactive' | 'batch'
}

/** A queue of items, each with the call that determines its place. */
export interface FairQueue<Item> {
  /** Adds an item; returns the item evicted if the queue was full, which may be the added one. */
  readonly push: (item: Item, call: QueuedCall) => Item | undefined
  readonly pop: () => Item | undefined
  /** Returns the item that `pop` would take. */
  readonly peek: () => Item | undefined
  /** Removes an item; returns false when it is not in the queue. */
  readonly remove: (item: Item) => boolean
  readonly size: () => number
  readonly setCapacity: (capacity: number) => void
}

interface QueueEntry<Item> {
  readonly item: Item
  readonly call: QueuedCall
  /** Virtual finish time: when the call would end if its account were served at exactly its share. */
  readonly finish: number
}

/**
 * Creates an empty queue.
 *
 * @param capacity - Maximum number of waiting items.
 * @returns The queue.
 */
export function createFairQueue<Item> (capacity: number): FairQueue<Item> {
  const waiting: Array<QueueEntry<Item>> = []
  const lastFinishByAccount = new Map<types.AccountId, number>()
  let limit = capacity
  let virtualTime = 0

  function push (item: Item, call: QueuedCall): Item | undefined {
    const start = Math.max(virtualTime, lastFinishByAccount.get(call.account) ?? 0)
    const entry = { item, call, finish: start + 1 / call.share }
    lastFinishByAccount.set(call.account, entry.finish)
    insert(entry)
    if (waiting.length <= limit) return undefined
    return evictLast()
  }

  function insert (entry: QueueEntry<Item>): void {
    let low = 0
    let high = waiting.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (isServedBefore(entry, waiting[middle] as QueueEntry<Item>)) high = middle
      else low = middle + 1
    }
    waiting.splice(low, 0, entry)
  }

  /** Removes the item that would be served last and refunds its account the virtual time charged for it. */
  function evictLast (): Item | undefined {
    const last = waiting.pop()
    if (last === undefined) return undefined
    refund(last)
    return last.item
  }

  function refund (entry: QueueEntry<Item>): void {
    const accountFinish = lastFinishByAccount.get(entry.call.account) ?? 0
    lastFinishByAccount.set(entry.call.account, accountFinish - 1 / entry.call.share)
  }

  function pop (): Item | undefined {
    const first = waiting.shift()
    if (first === undefined) return undefined
    virtualTime = Math.max(virtualTime, first.finish - 1 / first.call.share)
    if (waiting.length === 0) forgetIdleAccounts()
    return first.item
  }

  function forgetIdleAccounts (): void {
    for (const [account, finish] of lastFinishByAccount) if (finish <= virtualTime) lastFinishByAccount.delete(account)
  }

  function remove (item: Item): boolean {
    const index = waiting.findIndex((entry) => entry.item === item)
    const entry = waiting[index]
    if (entry === undefined) return false
    waiting.splice(index, 1)
    refund(entry)
    return true
  }

  return { push, pop, remove, peek: () => waiting[0]?.item, size: () => waiting.length, setCapacity: (next) => { limit = next } }
}

function isServedBefore<Item> (left: QueueEntry<Item>, right: QueueEntry<Item>): boolean {
  if (left.call.priority !== right.call.priority) return left.call.priority === 'interactive'
  return left.finish < right.finish
}
