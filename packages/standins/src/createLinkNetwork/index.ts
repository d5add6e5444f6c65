/** A network with narrow links in memory, on the runtime's timers: fleets of hundreds of daemons fit into one test. */

/** A host of the network. */
export interface NetworkHost {
  readonly host: string
  readonly region: string
  /** Bytes a millisecond that its link carries in each direction. */
  readonly bytesPerMs: number
}

/** Options of {@link createLinkNetwork}. */
export interface LinkNetworkOptions {
  readonly hosts: readonly NetworkHost[]
  /** Bytes a millisecond between two regions in each direction, for all hosts together. */
  readonly regionBytesPerMs: number
  /** Milliseconds one way within a region and between two. */
  readonly nearMs: number
  readonly farMs: number
  /** The clock that the timers run by, in milliseconds. */
  readonly now: () => number
}

/** What crossed the network. */
export interface NetworkCounts {
  datagrams: number
  droppedDatagrams: number
  /** Bytes of datagrams and streams, without those that were dropped. */
  bytes: number
  /** Bytes that crossed from one region to another. */
  regionBytes: number
}

/** A socket for datagrams. */
export interface NetworkSocket {
  readonly send: (host: string, bytes: Buffer) => void
  readonly close: () => void
}

/** When the receiver of a stream ends it, never when absent, and who hears of its bytes. */
export interface StreamLimits {
  /** Milliseconds for the whole stream. */
  readonly wholeMs?: number
  /** Milliseconds without a byte. */
  readonly quietMs?: number
  readonly signal?: AbortSignal
  /** Told of bytes as they arrive. */
  readonly onBytes?: (bytes: number) => void
}

/** The network. */
export interface LinkNetwork {
  /** Opens the one socket of a host. */
  readonly openDatagrams: (host: string, onDatagram: (bytes: Buffer, from: string) => void) => NetworkSocket
  /** Carries a stream of so many bytes; resolves when the last one has arrived, or false when it was cut by its limits. */
  readonly carry: (from: string, to: string, bytes: number, limits?: StreamLimits) => Promise<boolean>
  /** Bytes that a host has received. */
  readonly received: (host: string) => number
  readonly counts: NetworkCounts
  /** From now on nothing that the host sends or is sent arrives, until it is joined again. */
  readonly cut: (host: string) => void
  readonly join: (host: string) => void
  /** From now on the host's link carries so many bytes a millisecond in each direction, also of what already waits for it. */
  readonly setRate: (host: string, bytesPerMs: number) => void
  /** From now on nothing passes between a region and all others, until it is joined again. */
  readonly cutRegion: (region: string) => void
  readonly joinRegion: (region: string) => void
}

/** A packet that waits for a link or crosses it. */
interface QueuedPacket {
  readonly onSent: () => void
  readonly timer: NodeJS.Timeout
  readonly sentAt: number
}

/** One direction of a link; it carries one packet after the other. */
interface Link {
  bytesPerMs: number
  freeAt: number
  readonly queue: Set<QueuedPacket>
}

/** Streams are cut into packets, so that those that share a link take turns. */
const PACKET_BYTES = 8192
/** Packets of one stream that are under way at a time. */
const WINDOW_PACKETS = 4
/** A datagram that would wait longer at a link is dropped, as by a router with a short queue. */
const DATAGRAM_QUEUE_MS = 150
/** Bytes of headers that each datagram costs. */
const HEADER_BYTES = 28

/**
 * Creates a network.
 *
 * @param options - Hosts, the rates of their links and of those between regions.
 * @returns The network.
 */
export function createLinkNetwork (options: LinkNetworkOptions): LinkNetwork {
  const hosts = new Map(options.hosts.map((each) => [each.host, each]))
  const links = new Map<string, Link>()
  const sockets = new Map<string, (bytes: Buffer, from: string) => void>()
  const receivedBytes = new Map<string, number>()
  const disconnectedHosts = new Set<string>()
  const isolatedRegions = new Set<string>()
  const counts: NetworkCounts = { datagrams: 0, droppedDatagrams: 0, bytes: 0, regionBytes: 0 }

  function findOrCreateLink (name: string, bytesPerMs: number): Link {
    const existing = links.get(name)
    if (existing !== undefined) return existing
    const link: Link = { bytesPerMs, freeAt: 0, queue: new Set() }
    links.set(name, link)
    return link
  }

  function findHost (host: string): NetworkHost {
    const found = hosts.get(host)
    if (found === undefined) throw new Error(`no host ${host} in this network`)
    return found
  }

  function isInterRegion (from: string, to: string): boolean {
    return findHost(from).region !== findHost(to).region
  }

  function listLinks (from: string, to: string): Link[] {
    const [sender, receiver] = [findHost(from), findHost(to)]
    const path = [findOrCreateLink(`out ${from}`, sender.bytesPerMs)]
    if (isInterRegion(from, to)) path.push(findOrCreateLink(`${sender.region} to ${receiver.region}`, options.regionBytesPerMs))
    path.push(findOrCreateLink(`in ${to}`, receiver.bytesPerMs))
    return path
  }

  function countReceived (from: string, to: string, bytes: number): void {
    counts.bytes += bytes
    if (isInterRegion(from, to)) counts.regionBytes += bytes
    receivedBytes.set(to, (receivedBytes.get(to) ?? 0) + bytes)
  }

  /** Takes a packet over one link after the other; `onArrival` is called at its end, `onDrop` if a queue is too long. */
  function forward (path: readonly Link[], hop: number, bytes: number, maxQueueMs: number, delayMs: number, onArrival: () => void, onDrop: () => void): void {
    const link = path[hop]
    if (link === undefined) {
      setTimeout(onArrival, delayMs)
      return
    }
    const startsAt = Math.max(options.now(), link.freeAt)
    if (startsAt - options.now() > maxQueueMs) {
      onDrop()
      return
    }
    link.freeAt = startsAt + bytes / link.bytesPerMs
    enqueue(link, link.freeAt, () => { forward(path, hop + 1, bytes, maxQueueMs, delayMs, onArrival, onDrop) })
  }

  function enqueue (link: Link, sentAt: number, onSent: () => void): void {
    const packet: QueuedPacket = { onSent, sentAt, timer: setTimeout(finish, sentAt - options.now()) }
    link.queue.add(packet)

    function finish (): void {
      link.queue.delete(packet)
      onSent()
    }
  }

  /** What is left of all packets that wait takes so much longer, or shorter. */
  function changeRate (link: Link, bytesPerMs: number): void {
    const now = options.now()
    const factor = link.bytesPerMs / bytesPerMs
    const waiting = [...link.queue]
    link.queue.clear()
    link.bytesPerMs = bytesPerMs
    link.freeAt = now + Math.max(0, link.freeAt - now) * factor
    for (const { timer, sentAt, onSent } of waiting) {
      clearTimeout(timer)
      enqueue(link, now + (sentAt - now) * factor, onSent)
    }
  }

  function isDisconnected (from: string, to: string): boolean {
    if (disconnectedHosts.has(from) || disconnectedHosts.has(to)) return true
    return isInterRegion(from, to) && [from, to].some((host) => isolatedRegions.has(hosts.get(host)?.region ?? ''))
  }

  function getDelayMs (from: string, to: string): number {
    return isInterRegion(from, to) ? options.farMs : options.nearMs
  }

  function sendDatagram (from: string, to: string, bytes: Buffer): void {
    counts.datagrams += 1
    if (!hosts.has(to) || isDisconnected(from, to)) return
    const size = bytes.length + HEADER_BYTES
    const drop = (): void => { counts.droppedDatagrams += 1 }
    forward(listLinks(from, to), 0, size, DATAGRAM_QUEUE_MS, getDelayMs(from, to), () => {
      if (isDisconnected(from, to)) return
      countReceived(from, to, size)
      sockets.get(to)?.(bytes, from)
    }, drop)
  }

  async function carry (from: string, to: string, bytes: number, limits: StreamLimits = {}): Promise<boolean> {
    const path = listLinks(from, to)
    let unsent = bytes
    let inFlight = 0
    let isFinished = false
    return await new Promise((resolve) => {
      const totalTimer = limits.wholeMs === undefined ? undefined : setTimeout(() => { end(false) }, limits.wholeMs)
      let idleTimer = startIdleTimer()

      function startIdleTimer (): NodeJS.Timeout | undefined {
        return limits.quietMs === undefined ? undefined : setTimeout(() => { end(false) }, limits.quietMs)
      }

      function end (isComplete: boolean): void {
        isFinished = true
        clearTimeout(totalTimer)
        clearTimeout(idleTimer)
        resolve(isComplete)
      }

      function sendNext (): void {
        if (isFinished) return
        while (unsent > 0 && inFlight < WINDOW_PACKETS) {
          const size = Math.min(PACKET_BYTES, unsent)
          unsent -= size
          inFlight += 1
          forward(path, 0, size, Infinity, getDelayMs(from, to), () => { onPacketArrival(size) }, () => {})
        }
      }

      function onPacketArrival (size: number): void {
        if (isDisconnected(from, to)) return
        countReceived(from, to, size)
        limits.onBytes?.(size)
        inFlight -= 1
        if (isFinished) return
        clearTimeout(idleTimer)
        idleTimer = startIdleTimer()
        if (unsent === 0 && inFlight === 0) end(true)
        else sendNext()
      }

      limits.signal?.addEventListener('abort', () => { end(false) }, { once: true })
      sendNext()
    })
  }

  return {
    carry,
    counts,
    received: (host) => receivedBytes.get(host) ?? 0,
    cut: (host) => { disconnectedHosts.add(host) },
    join: (host) => { disconnectedHosts.delete(host) },
    setRate: (host, bytesPerMs) => {
      for (const name of [`out ${host}`, `in ${host}`]) changeRate(findOrCreateLink(name, bytesPerMs), bytesPerMs)
    },
    cutRegion: (region) => { isolatedRegions.add(region) },
    joinRegion: (region) => { isolatedRegions.delete(region) },
    openDatagrams: (host, onDatagram) => {
      sockets.set(host, onDatagram)
      return { send: (to, bytes) => { sendDatagram(host, to, bytes) }, close: () => { sockets.delete(host) } }
    }
  }
}
