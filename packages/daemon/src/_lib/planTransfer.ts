/** Turns a row into a wanted version: peers, origin group and the policy of this node. */
import type * as types from '@switchridge/types'
import * as membership from '@switchridge/membership'
import * as placement from '@switchridge/placement'
import * as transfer from '@switchridge/transfer'

/** Plans the transfer of one row for this node. */
export type PlanTransfer = (row: types.ModelRow, members: readonly membership.Member[]) => transfer.WantedVersion

export type PolicyName = 'swarm' | 'random-chunk' | 'chain' | 'tree' | 'origin'

/** Peers of the own hall that a node keeps in view at most. */
const MAXIMUM_NEIGHBOURS = 48

/** Creates the plan function of a node. */
export function createPlanTransfer (self: transfer.Peer, table: () => types.Table, policyName: PolicyName): PlanTransfer {
  return (row, members) => {
    const holders = listHolders(row, table(), members)
    const group = findGroup(row, self, holders, members)
    const peers = selectPeers(self, row, holders)
    const placed = holders.filter((holder) => holder.isPlaced).map(({ peer }) => peer)
    const signature = [row.originBytesPerSecond, row.originCopies, row.favour, [...group].join(), ...holders.map(({ peer, isPlaced }) => `${peer.node}/${peer.address.port}/${String(isPlaced)}`).sort()].join(' ')
    return {
      digest: row.manifest,
      source: row.source,
      peers,
      signature,
      createPolicy: (manifest, startedAt) => createPolicy(policyName, { self, row, manifest, startedAt, placed, group })
    }
  }
}

interface Holder {
  readonly peer: transfer.Peer
  /** Placed by the table; others only still hold chunks. */
  readonly isPlaced: boolean
}

/** Nodes that are placed for the row or hold chunks of it; dead ones of a living hall are left out. */
function listHolders (row: types.ModelRow, table: types.Table, members: readonly membership.Member[]): Holder[] {
  const placed = new Set(placement.computePlacement(table, members)
    .assignments.filter((assignment) => assignment.row.id === row.id).map((assignment) => assignment.node))
  const livingHalls = new Set(members.filter((member) => member.condition === 'live').map((member) => member.facts.dataHall))
  return members
    .filter((member) => member.condition === 'live' || (member.condition === 'silent' && !livingHalls.has(member.facts.dataHall)))
    .filter((member) => member.facts.role === 'backend')
    .filter((member) => placed.has(member.facts.node) || member.facts.holding.includes(row.manifest))
    .map((member) => ({ peer: toPeer(member), isPlaced: placed.has(member.facts.node) }))
}

function toPeer ({ facts }: membership.Member): transfer.Peer {
  return { node: facts.node, dataHall: facts.dataHall, address: facts.address }
}

function findGroup (row: types.ModelRow, self: transfer.Peer, holders: readonly Holder[], members: readonly membership.Member[]): ReadonlySet<types.DataHallId> {
  const living = new Set(members.filter((member) => member.condition === 'live').map((member) => member.facts.dataHall))
  const halls = new Set(holders.filter((holder) => holder.isPlaced).map(({ peer }) => peer.dataHall))
  const reach = [...halls].map((dataHall) => ({ dataHall, isReachable: living.has(dataHall) }))
  return new Set(placement.computeOriginGroup(row, self.dataHall, reach))
}

/** All holders of other halls' importers may be needed; of the own hall a bounded number is enough. */
function selectPeers (self: transfer.Peer, row: types.ModelRow, holders: readonly Holder[]): transfer.Peer[] {
  const others = holders.map(({ peer }) => peer).filter((peer) => peer.node !== self.node)
  const near = others.filter((peer) => peer.dataHall === self.dataHall)
  const far = others.filter((peer) => peer.dataHall !== self.dataHall)
  return [...membership.rankByRendezvous(`${self.node}/${row.manifest}`, near, (peer) => peer.node).slice(0, MAXIMUM_NEIGHBOURS), ...far]
}

interface PolicyInput {
  readonly self: transfer.Peer
  readonly row: types.ModelRow
  readonly manifest: transfer.Manifest
  readonly startedAt: number
  readonly placed: readonly transfer.Peer[]
  readonly group: ReadonlySet<types.DataHallId>
}

function createPolicy (name: PolicyName, input: PolicyInput): transfer.TransferPolicy {
  const { self, row, startedAt, placed } = input
  const holders = placed.some((peer) => peer.node === self.node) ? placed : [...placed, self]
  switch (name) {
    case 'origin': return transfer.createOriginPolicy(startedAt)
    case 'chain': return transfer.createTreePolicy({ self, holders, manifestDigest: row.manifest, children: 1, startedAt })
    case 'tree': return transfer.createTreePolicy({ self, holders, manifestDigest: row.manifest, children: 2, startedAt })
    case 'random-chunk': return { ...createSwarm(input, holders), prefersRare: false }
    case 'swarm': return createSwarm(input, holders)
  }
}

function createSwarm ({ self, row, manifest, startedAt, group }: PolicyInput, holders: readonly transfer.Peer[]): transfer.TransferPolicy {
  const hasSpareCopy = row.favour === 'time' && row.originCopies > 1
  return transfer.createSwarmPolicy({
    self,
    holders,
    group,
    manifestDigest: row.manifest,
    chunkBytes: manifest.chunkBytes,
    originBytesPerSecond: row.originBytesPerSecond,
    startedAt,
    mayReadAgain: (provider) => hasSpareCopy || holders.find((peer) => peer.node === provider)?.dataHall === self.dataHall
  })
}
