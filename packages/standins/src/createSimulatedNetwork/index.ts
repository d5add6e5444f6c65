/** In-memory network simulation with bandwidth-limited links, driven by the runtime's timers, so that one test can run hundreds of daemons. */

/** A host in the network. */
export interface NetworkHost {
  readonly host: string
  readonly region: string
  /** Bandwidth of the host's link in bytes per millisecond, in each direction. */
  readonly bytesPerMs: number
}

/** Options of a simulated network. */
export interface SimulatedNetworkOptions {
  readonly hosts: readonly NetworkHost[]
  /** Bandwidth between two regions in bytes per millisecond, in each direction, shared by all hosts. */
  readonly interRegionBytesPerMs: number
  /** One-way latency within a region, in milliseconds. */
  readonly intraRegionDelayMs: number
  /** One-way latency between two regions, in milliseconds. */
  readonly interRegionDelayMs: number
  /** Reads the clock that the timers follow, in milliseconds. */
  readonly now: () => number
}

/** Traffic counters of the network. */
export interface NetworkCounts {
  /** Datagrams sent, including those that do not arrive. */
  datagrams: number
  /** Datagrams dropped at a link with too long a queue. */
  droppedDatagrams: number
  /** Delivered bytes of datagrams and streams; dropped datagrams don't count. */
  bytes: number
  /** Delivered bytes that crossed between regions. */
  interRegionBytes: number
}

/** A datagram socket. */
export interface NetworkSocket {
  readonly send: (host: string, bytes: Buffer) => void
  readonly close: () => void
}

/** Timeouts, cancellation and progress callback of a stream; a timeout that is absent doesn't apply. */
export interface StreamOptions {
  /** Timeout of the whole stream in milliseconds. */
  readonly totalTimeoutMs?: number
  /** Timeout in milliseconds without a received byte. */
  readonly idleTimeoutMs?: number
  readonly signal?: AbortSignal
  /** Called with the number of bytes of each packet that arrives. */
  readonly onBytes?: (bytes: number) => void
}

/** A simulated network. */
export interface SimulatedNetwork {
  /** Opens the datagram socket of a host; each host has one. */
  readonly openDatagrams: (host: string, onDatagram: (bytes: Buffer, from: string) => void) => NetworkSocket
  /** Transfers a stream of `bytes` bytes; resolves to true when the last one has arrived, or to false on a timeout or abort. */
  readonly sendStream: (from: string, to: string, bytes: number, limits?: StreamOptions) => Promise<boolean>
  /** Number of bytes that a host has received. */
  readonly getReceivedBytes: (host: string) => number
  readonly counts: NetworkCounts
  /** Disconnects a host: nothing that it sends or is sent arrives until it is reconnected. */
  readonly disconnectHost: (host: string) => void
  readonly reconnectHost: (host: string) => void
  /** Sets the bandwidth of a host's link in each direction; it also applies to packets that are already queued. */
  readonly setBandwidth: (host: string, bytesPerMs: number) => void
  /** Disconnects a region from all others until it is reconnected. */
  readonly isolateRegion: (region: string) => void
  readonly reconnectRegion: (region: string) => void
}

/** A packet that is queued at a link or being sent over it. */
interface QueuedPacket {
  readonly onSent: () => void
  readonly timer: NodeJS.Timeout
  readonly sentAt: number
}

/** One direction of a link; it sends one packet at a time, in order. */
interface Link {
  bytesPerMs: number
  freeAt: number
  readonly queue: Set<QueuedPacket>
}

/** Size of a stream's packets. Streams are split into packets so that streams on the same link share its bandwidth. */
const PACKET_BYTES = 8192
/** Maximum number of packets in flight for one stream. */
const WINDOW_PACKETS = 4
/** A datagram that would queue longer than this at a link is dropped, as a router with a short queue does. */
const DATAGRAM_QUEUE_MS = 150
/** Size of the IP and UDP headers of a datagram. */
const HEADER_BYTES = 28

/**
 * Creates a simulated network.
 *
 * @param options - Hosts, bandwidths, latencies and the clock.
 * @returns The network.
 */
export function createSimulatedNetwork (options: SimulatedNetworkOptions): SimulatedNetwork {
  const hosts = new Map(options.hosts.map((each) => [each.host, each]))
  const links = new Map<string, Link>()
  const sockets = new Map<string, (bytes: Buffer, from: string) => void>()
  const receivedBytes = new Map<string, number>()
  const disconnectedHosts = new Set<string>()
  const isolatedRegions = new Set<string>()
  const counts: NetworkCounts = { datagrams: 0, droppedDatagrams: 0, bytes: 0, interRegionBytes: 0 }

  function findOrCreateLink (name: string, bytesPerMs: number): Link {
    const existing = links.get(name)
    if (existing !== undefined) return existing
    const link: Link = { bytesPerMs, freeAt: 0, queue: new Set() }
    links.set(name, link)
    return link
  }

  function findHost (host: string): NetworkHost {
    const found = hosts.get(host)
    if (found === undefined) throw new Error(`unknown host ${host}`)
    return found
  }

  function isInterRegion (from: string, to: string): boolean {
    return findHost(from).region !== findHost(to).region
  }

  function listLinks (from: string, to: string): Link[] {
    const [sender, receiver] = [findHost(from), findHost(to)]
    const path = [findOrCreateLink(`out ${from}`, sender.bytesPerMs)]
    if (isInterRegion(from, to)) path.push(findOrCreateLink(`${sender.region} to ${receiver.region}`, options.interRegionBytesPerMs))
    path.push(findOrCreateLink(`in ${to}`, receiver.bytesPerMs))
    return path
  }

  function countReceived (from: string, to: string, bytes: number): void {
    counts.bytes += bytes
    if (isInterRegion(from, to)) counts.interRegionBytes += bytes
    receivedBytes.set(to, (receivedBytes.get(to) ?? 0) + bytes)
  }

  /** Sends a packet over each link of the path in turn. Calls `onArrival` after the last one, or `onDrop` if the wait at a link exceeds `maxQueueMs`. */
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

  /** Changes the bandwidth of a link and reschedules its queued packets: their remaining times scale with the change. */
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
    return isInterRegion(from, to) ? options.interRegionDelayMs : options.intraRegionDelayMs
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

  async function sendStream (from: string, to: string, bytes: number, limits: StreamOptions = {}): Promise<boolean> {
    const path = listLinks(from, to)
    let unsent = bytes
    let inFlight = 0
    let isFinished = false
    return await new Promise((resolve) => {
      const totalTimer = limits.totalTimeoutMs === undefined ? undefined : setTimeout(() => { end(false) }, limits.totalTimeoutMs)
      let idleTimer = startIdleTimer()

      function startIdleTimer (): NodeJS.Timeout | undefined {
        return limits.idleTimeoutMs === undefined ? undefined : setTimeout(() => { end(false) }, limits.idleTimeoutMs)
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
    sendStream,
    counts,
    getReceivedBytes: (host) => receivedBytes.get(host) ?? 0,
    disconnectHost: (host) => { disconnectedHosts.add(host) },
    reconnectHost: (host) => { disconnectedHosts.delete(host) },
    setBandwidth: (host, bytesPerMs) => {
      for (const name of [`out ${host}`, `in ${host}`]) changeRate(findOrCreateLink(name, bytesPerMs), bytesPerMs)
    },
    isolateRegion: (region) => { isolatedRegions.add(region) },
    reconnectRegion: (region) => { isolatedRegions.delete(region) },
    openDatagrams: (host, onDatagram) => {
      sockets.set(host, onDatagram)
      return { send: (to, bytes) => { sendDatagram(host, to, bytes) }, close: () => { sockets.delete(host) } }
    }
  }
}
