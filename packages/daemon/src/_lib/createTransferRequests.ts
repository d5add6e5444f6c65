/** Requests that a transfer sends to other daemons and to the origin. */
import * as types from '@switchridge/types'
import * as transfer from '@switchridge/transfer'
import type * as createCommonParts from '../createCommonParts/index.js'

const CONTROL_TIMEOUT_MS = 1000
const MANIFEST_TIMEOUT_MS = 5000
/** Number of peers that are asked for a manifest before the origin is. */
const MAXIMUM_MANIFEST_PEERS = 3

/**
 * Creates the requests of a transfer.
 *
 * @param parts - Shared parts of the daemon.
 * @param self - This node.
 * @param backlog - Returns the number of uploads of this node that wait or are being sent.
 * @returns The requests; those that fail resolve with the error, or with `unreachable` if a provider was asked.
 */
export function createTransferRequests (parts: createCommonParts.CommonParts, self: types.NodeId, backlog: () => number): transfer.TransferOptions['requests'] {
  const createFetchOptions = (timeoutMs: number, signal: AbortSignal): transfer.FetchOptions => ({ agents: parts.agents, identity: parts.identity, self, timeoutMs, signal })
  const formatOriginUrl = (source: string): string => `${parts.settings.origin.url}/${source}`

  async function fetchManifest (wanted: transfer.WantedVersion): Promise<types.Outcome<Buffer, types.UnavailableError>> {
    const options = createFetchOptions(MANIFEST_TIMEOUT_MS, new AbortController().signal)
    for (const peer of wanted.peers.slice(0, MAXIMUM_MANIFEST_PEERS)) {
      const fetched = await transfer.fetchManifest(peer.address, wanted.digest, options)
      if (fetched.ok) return fetched
    }
    return await transfer.fetchOriginManifest(formatOriginUrl(wanted.source), options)
  }

  return {
    fetchManifest,
    fetchChunk: async (peer, digest, chunk, have, chunkBytes, timeoutMs, signal) => await transfer.fetchChunk(peer.address, digest, chunk, have, chunkBytes, createFetchOptions(timeoutMs, signal)),
    fetchOrigin: async (source, from, length, timeoutMs, signal) => await transfer.fetchOriginRange(formatOriginUrl(source), from, length, createFetchOptions(timeoutMs, signal)),
    announce: (peer, digest, have) => { void parts.client.call(peer.address, 'transfer.announce', { digest, node: self, have, backlog: backlog() }, CONTROL_TIMEOUT_MS) },
    queryProvider: async (peer, digest, chunk, wouldTakeOver) => {
      const answer = await parts.client.call<transfer.ProviderAnswer>(peer.address, 'transfer.provider', { digest, chunk, successor: wouldTakeOver ? self : null }, CONTROL_TIMEOUT_MS)
      return answer.ok ? answer.value : 'unreachable'
    }
  }
}
