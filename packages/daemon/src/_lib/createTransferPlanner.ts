/** Plans the transfer of a row to this node: its peers, its origin group and the transfer policy. */
import type * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import * as placement from '@switchridge/placement'
import * as transfer from '@switchridge/transfer'

/** Plans the transfer of a row to this node. */
export type TransferPlanner = (row: types.ModelRow, members: readonly membership.Member[]) => transfer.WantedVersion

/** Transfer policies that the settings can name. */
export type PolicyName = 'swarm' | 'random-chunk' | 'chain' | 'tree' | 'origin'

/** Maximum number of peers in the node's own hall. */
const MAXIMUM_HALL_PEERS = 48

/**
 * Creates the function that plans transfers to a node.
 *
 * @param self - The node.
 * @param table - Returns the table in force.
 * @param policyName - The policy to use for all transfers.
 * @returns The function.
 */
export function createTransferPlanner (self: transfer.Peer, table: () => types.Table, policyName: PolicyName): TransferPlanner {
  return (row, members) => {
    const holders = listHolders(row, table(), members)
    const originGroup = findOriginGroup(row, self, holders, members)
    const peers = selectPeers(self, row, holders)
    const placed = holders.filter((holder) => holder.isPlaced).map(({ peer }) => peer)
    const signature = [row.originBytesPerSecond, row.originCopies, row.favour, [...originGroup].join(), ...holders.map(({ peer, isPlaced }) => `${peer.node}/${peer.address.port}/${String(isPlaced)}`).sort()].join(' ')
    return {
      digest: row.manifest,
      source: row.source,
      peers,
      signature,
      createPolicy: (manifest, startedAt) => createPolicy(policyName, { self, row, manifest, startedAt, placed, originGroup })
    }
  }
}

interface Holder {
  readonly peer: transfer.Peer
  /** Whether the table places the row on the peer; otherwise the peer only still holds chunks of it. */
  readonly isPlaced: boolean
}

/** Lists the nodes that the row is placed on or that hold chunks of it. Silent nodes are included only if their hall has no live member. */
function listHolders (row: types.ModelRow, table: types.Table, members: readonly membership.Member[]): Holder[] {
  const placed = new Set(placement.computePlacement(table, members)
    .assignments.filter((assignment) => assignment.row.id === row.id).map((assignment) => assignment.node))
  const liveHalls = new Set(members.filter((member) => member.condition === 'live').map((member) => member.facts.dataHall))
  return members
    .filter((member) => member.condition === 'live' || (member.condition === 'silent' && !liveHalls.has(member.facts.dataHall)))
    .filter((member) => member.facts.role === 'backend')
    .filter((member) => placed.has(member.facts.node) || member.facts.holding.includes(row.manifest))
    .map((member) => ({ peer: toPeer(member), isPlaced: placed.has(member.facts.node) }))
}

function toPeer ({ facts }: membership.Member): transfer.Peer {
  return { node: facts.node, dataHall: facts.dataHall, address: facts.address }
}

function findOriginGroup (row: types.ModelRow, self: transfer.Peer, holders: readonly Holder[], members: readonly membership.Member[]): ReadonlySet<types.DataHallId> {
  const liveHalls = new Set(members.filter((member) => member.condition === 'live').map((member) => member.facts.dataHall))
  const halls = new Set(holders.filter((holder) => holder.isPlaced).map(({ peer }) => peer.dataHall))
  const reachability = [...halls].map((dataHall) => ({ dataHall, isReachable: liveHalls.has(dataHall) }))
  return new Set(placement.computeOriginGroup(row, self.dataHall, reachability))
}

/** Selects the peers of this node: a bounded number in its own hall, and all in other halls, since any of them may be the importer of a chunk there. */
function selectPeers (self: transfer.Peer, row: types.ModelRow, holders: readonly Holder[]): transfer.Peer[] {
  const peers = holders.map(({ peer }) => peer).filter((peer) => peer.node !== self.node)
  const hallPeers = peers.filter((peer) => peer.dataHall === self.dataHall)
  const remotePeers = peers.filter((peer) => peer.dataHall !== self.dataHall)
  return [...membership.rankByRendezvous(`${self.node}/${row.manifest}`, hallPeers, (peer) => peer.node).slice(0, MAXIMUM_HALL_PEERS), ...remotePeers]
}

interface PolicyInput {
  readonly self: transfer.Peer
  readonly row: types.ModelRow
  readonly manifest: transfer.Manifest
  readonly startedAt: number
  readonly placed: readonly transfer.Peer[]
  readonly originGroup: ReadonlySet<types.DataHallId>
}

function createPolicy (name: PolicyName, input: PolicyInput): transfer.TransferPolicy {
  const { self, row, startedAt, placed } = input
  const holders = placed.some((peer) => peer.node === self.node) ? placed : [...placed, self]
  switch (name) {
    case 'origin': return transfer.createOriginPolicy(startedAt)
    case 'chain': return transfer.createTreePolicy({ self, holders, manifestDigest: row.manifest, children: 1, startedAt })
    case 'tree': return transfer.createTreePolicy({ self, holders, manifestDigest: row.manifest, children: 2, startedAt })
    case 'random-chunk': return { ...createSwarmPolicy(input, holders), rarestFirst: false }
    case 'swarm': return createSwarmPolicy(input, holders)
  }
}

function createSwarmPolicy ({ self, row, manifest, startedAt, originGroup }: PolicyInput, holders: readonly transfer.Peer[]): transfer.TransferPolicy {
  const hasSpareOriginCopy = row.favour === 'time' && row.originCopies > 1
  return transfer.createSwarmPolicy({
    self,
    holders,
    originGroup,
    manifestDigest: row.manifest,
    chunkBytes: manifest.chunkBytes,
    originBytesPerSecond: row.originBytesPerSecond,
    startedAt,
    mayRereadOrigin: (provider) => hasSpareOriginCopy || holders.find((peer) => peer.node === provider)?.dataHall === self.dataHall
  })
}
