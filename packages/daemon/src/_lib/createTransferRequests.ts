/** Requests of a transfer to other daemons and to the origin. */
import * as types from '@switchridge/types'
import * as transfer from '@switchridge/transfer'
import type * as createCommonParts from '../createCommonParts/index.js'

const CONTROL_CALL_MS = 1000
const MANIFEST_CALL_MS = 5000
const MANIFEST_PEERS = 3

export function createTransferRequests (parts: createCommonParts.CommonParts, self: types.NodeId, backlog: () => number): transfer.TransferOptions['requests'] {
  const fetchOptions = (timeoutMs: number, signal: AbortSignal): transfer.FetchOptions => ({ agents: parts.agents, identity: parts.identity, self, timeoutMs, signal })
  const formatSource = (source: string): string => `${parts.settings.origin.url}/${source}`

  async function fetchManifest (wanted: transfer.WantedVersion): Promise<types.Outcome<Buffer, types.UnavailableError>> {
    const options = fetchOptions(MANIFEST_CALL_MS, new AbortController().signal)
    for (const peer of wanted.peers.slice(0, MANIFEST_PEERS)) {
      const fetched = await transfer.fetchManifest(peer.address, wanted.digest, options)
      if (fetched.ok) return fetched
    }
    return await transfer.fetchOriginManifest(formatSource(wanted.source), options)
  }

  return {
    fetchManifest,
    fetchChunk: async (peer, digest, chunk, have, timeoutMs, signal) => await transfer.fetchChunk(peer.address, digest, chunk, have, fetchOptions(timeoutMs, signal)),
    fetchOrigin: async (source, from, length, timeoutMs, signal) => await transfer.fetchOriginRange(formatSource(source), from, length, fetchOptions(timeoutMs, signal)),
    announce: (peer, digest, have) => { void parts.client.call(peer.address, 'transfer.announce', { digest, node: self, have, backlog: backlog() }, CONTROL_CALL_MS) },
    askProvider: async (peer, digest, chunk, wouldTakeOver) => {
      const asked = await parts.client.call<transfer.ProviderAnswer>(peer.address, 'transfer.provider', { digest, chunk, successor: wouldTakeOver ? self : null }, CONTROL_CALL_MS)
      return asked.ok ? asked.value : 'unreachable'
    }
  }
}
