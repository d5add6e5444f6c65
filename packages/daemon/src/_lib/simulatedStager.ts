/** Runs the stager of one agent beside a simulated engine, over a simulated network. */
import * as crypto from 'node:crypto'
import type * as standins from '@switchridge/standins'
import * as staging from '@switchridge/staging'
import * as types from '@switchridge/types'
import type * as simulatedVersionEngine from './simulatedVersionEngine.js'

/** What the gateways are told about an engine. */
export interface StagerStatus {
  readonly isPaused: boolean
  readonly changesInMs: number | null
}

/** Options of {@link createSimulatedStager}. */
export interface SimulatedStagerOptions {
  readonly network: standins.SimulatedNetwork
  readonly self: staging.StagingPeer
  readonly all: readonly staging.StagingPeer[]
  /** The stagers of all agents by host, to which this one is added. */
  readonly stagers: Map<string, staging.Stager>
  /** Nodes that any agent suspects, with the end of the suspicion. */
  readonly suspectUntil: Map<types.NodeId, number>
  readonly engine: simulatedVersionEngine.SimulatedVersionEngine
  readonly model: string
  readonly named: () => readonly staging.NamedVersion[]
  /** Host of the origin, and whether it refuses requests now. */
  readonly origin: string
  readonly isOriginDown: () => boolean
  readonly linkBytesPerMs: number
  /** Called when the gateways are to be told of a pause at once. */
  readonly onPause: () => void
  readonly now: () => number
  readonly random: () => number
}

/** A running stager. */
export interface SimulatedStager {
  readonly stager: staging.Stager
  readonly status: () => StagerStatus
  /** Pieces that have arrived. */
  readonly pieces: ReadonlySet<number>
}

const PIECES = 96
const PIECE_BYTES = 24_576
const DIGEST_BYTES = 65
const REQUEST_BYTES = 400
const HEAD_BYTES = 200
const SILENCE_MS = 2500
const SUSPECT_MS = 6000
const LINK_SHARE = 0.75
const RAMP_UP_MS = 500
const PIECE_BODIES = Array.from({ length: PIECES }, (_, piece) => Buffer.from(`piece ${piece}`))
const SENT_PIECE = Buffer.alloc(PIECE_BYTES)
const DIGESTS = PIECE_BODIES.map((body) => types.brandId<types.Digest>(crypto.createHash('sha256').update(body).digest('hex')))

type Fetched<Value> = types.Outcome<Value, types.UnavailableError>

/**
 * Starts a stager.
 *
 * @param options - Network, engine, versions and peers.
 * @returns The stager; it runs until it is stopped.
 */
export function createSimulatedStager (options: SimulatedStagerOptions): SimulatedStager {
  const { network, self, engine, now } = options
  const host = self.address.host
  const stage = new Map<number, Buffer>()
  const pieces = new Set<number>()
  const uplink = staging.createPieceUplink(options.linkBytesPerMs * types.MILLISECONDS_IN_SECOND, () => LINK_SHARE * (options.stagers.get(host)?.linkFraction() ?? 1), now)
  let isPaused = false
  let changesInMs: number | null = null

  function fail<Value> (): Fetched<Value> {
    return types.fail(new types.UnavailableError('cut'))
  }

  async function readOrigin<Value> (value: Value, bytes: number): Promise<Fetched<Value>> {
    await network.sendStream(host, options.origin, REQUEST_BYTES)
    if (options.isOriginDown() || !await network.sendStream(options.origin, host, bytes)) return fail()
    return types.succeed(value)
  }

  /** Sends a request to another agent; its answer is given up after a time without a byte. */
  async function ask (peer: staging.StagingPeer): Promise<staging.Stager | null> {
    const isDelivered = await network.sendStream(host, peer.address.host, REQUEST_BYTES, { idleTimeoutMs: SILENCE_MS })
    return isDelivered ? options.stagers.get(peer.address.host) ?? null : null
  }

  async function carry (peer: staging.StagingPeer, bytes: number, onBytes: (bytes: number) => void = () => {}): Promise<boolean> {
    return await network.sendStream(peer.address.host, host, bytes, { idleTimeoutMs: SILENCE_MS, onBytes })
  }

  async function carrySlices (peer: staging.StagingPeer, provided: staging.ProvidedPiece, onHeaders: () => void, onBytes: (bytes: number) => void): Promise<boolean> {
    const carried = [carry(peer, HEAD_BYTES, onHeaders)]
    for await (const slice of provided.slices) carried.push(carry(peer, slice.length, onBytes))
    return (await Promise.all(carried)).every(Boolean)
  }

  const stager = staging.createStager({
    self,
    model: options.model,
    named: options.named,
    readEngine: async () => engine.readState(),
    engine: {
      putPiece: async (_model, piece, bytes) => {
        stage.set(piece, bytes)
        return types.succeed(null)
      },
      getPiece: async (_model, piece) => types.succeed(stage.get(piece) ?? null),
      start: engine.start,
      unload: engine.unload
    },
    origin: {
      readManifest: async () => await readOrigin(DIGESTS, PIECES * DIGEST_BYTES),
      readPiece: async (_id, piece) => {
        const read = await readOrigin(PIECE_BODIES[piece] as Buffer, PIECE_BYTES)
        if (read.ok) pieces.add(piece)
        return read
      }
    },
    agents: () => {
      const suspects = [...options.suspectUntil].filter(([, until]) => until > now()).map(([node]) => node)
      return staging.listReliableAgents(self, options.all.filter(({ node }) => node !== self.node), [suspects], suspects)
    },
    expectedZones: () => [],
    fetchFromPeer: async (peer, id, wanted, mayRefer, { onHeaders, onBytes }) => {
      const other = await ask(peer)
      const answer = await other?.providePiece(id, wanted, { node: self.node, mayRefer, waitMs: staging.PIECE_WAIT_MS }) ?? null
      if (other === null) return fail()
      if (answer === null || 'holder' in answer) return await carry(peer, REQUEST_BYTES) ? types.succeed(answer) : fail()
      if (!await carrySlices(peer, answer, () => { onHeaders?.() }, (bytes) => { onBytes?.(bytes) })) return fail()
      other.recordSent(id, answer.piece, self.node)
      pieces.add(answer.piece)
      return types.succeed({ piece: answer.piece, bytes: PIECE_BODIES[answer.piece] as Buffer })
    },
    fetchManifest: async (peer, id) => {
      const other = await ask(peer)
      if (other === null) return fail()
      const digests = await other.provideManifest(id, staging.MANIFEST_WAIT_MS)
      return await carry(peer, digests === null ? REQUEST_BYTES : PIECES * DIGEST_BYTES) ? types.succeed(digests) : fail()
    },
    onSuspect: (node) => { options.suspectUntil.set(node, now() + SUSPECT_MS) },
    onTurn: (inMs) => { changesInMs = inMs },
    onPause: (next) => {
      isPaused = next
      options.onPause()
    },
    onEvent: () => {},
    observe: () => {},
    pausedMsSince: () => 0,
    uplink: { backlogMs: uplink.backlogMs, send: () => uplink.send(SENT_PIECE) },
    fullFetchMs: PIECES * PIECE_BYTES / (options.linkBytesPerMs * LINK_SHARE) + RAMP_UP_MS,
    pieceBytes: PIECE_BYTES,
    linkBytesPerSecond: options.linkBytesPerMs * types.MILLISECONDS_IN_SECOND,
    now,
    random: options.random
  })
  options.stagers.set(host, stager)
  return { stager, pieces, status: () => ({ isPaused, changesInMs }) }
}
