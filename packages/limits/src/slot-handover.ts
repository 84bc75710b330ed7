import type { ShareMessage, SlotLease, SlotLevels } from '@hickoryspoke/protocol/generated/share'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { LeaseTable } from './lease-table.ts'
import type { SlotMember } from './slot-lease.ts'

/** What passing slots on works with. */
export interface HandoverParts {
  readonly leases: LeaseTable
  readonly network: PeerNetwork<ShareMessage>
  readonly clock: Clock
}

/** Gives up every lease held here and passes what is known to a live member of each home group. */
export function handOverSlots (parts: HandoverParts): void {
  const now = parts.clock.monotonicMilliseconds()
  for (const peer of peersOf(parts.leases)) parts.network.send(peer, { body: { $case: 'leaving', value: {} } })
  for (const member of parts.leases.all()) {
    const successor = member.successor()
    const levels = member.heldLevels(now)
    member.giveUp()
    if (levels?.lease === undefined) continue
    release(parts, member, levels.lease)
    if (successor !== undefined) parts.network.send(successor, handoverOf(member, levels))
  }
}

function peersOf (leases: LeaseTable): Set<string> {
  return new Set([...leases.all()].flatMap((member) => member.group.members))
}

/** The voters are told first, so that the successor need not wait for the lease to run out. */
function release (parts: HandoverParts, member: SlotMember, lease: SlotLease): void {
  for (const peer of member.group.members) {
    parts.network.send(peer, { body: { $case: 'release', value: { slot: member.slot, group: member.group.digest, lease } } })
  }
}

function handoverOf (member: SlotMember, levels: SlotLevels): ShareMessage {
  return { body: { $case: 'handover', value: { slot: member.slot, group: member.group.digest, levels } } }
}
