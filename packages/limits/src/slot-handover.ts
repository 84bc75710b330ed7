import type { ShareMessage, SlotLease, SlotLevels } from '@hickoryspoke/protocol/generated/share'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { LeaseTable } from './lease-table.ts'
import type { SlotMember } from './slot-member.ts'

/** Dependencies of `handOverSlots`. */
export interface HandoverOptions {
  readonly leases: LeaseTable
  readonly network: PeerNetwork<ShareMessage>
  readonly clock: Clock
}

/** Relinquishes every lease held here and sends the token usage of each slot to a live member of its lease group. */
export function handOverSlots (options: HandoverOptions): void {
  const now = options.clock.monotonicMilliseconds()
  for (const peer of peersOf(options.leases)) options.network.send(peer, { body: { $case: 'leaving', value: {} } })
  for (const member of options.leases.all()) {
    const successor = member.successor()
    const levels = member.heldLevels(now)
    member.relinquish()
    if (levels?.lease === undefined) continue
    release(options, member, levels.lease)
    if (successor !== undefined) options.network.send(successor, handoverOf(member, levels))
  }
}

function peersOf (leases: LeaseTable): Set<string> {
  return new Set([...leases.all()].flatMap((member) => member.group.members))
}

/** Releases the lease at every voter, so that the successor need not wait for it to expire. */
function release (options: HandoverOptions, member: SlotMember, lease: SlotLease): void {
  for (const peer of member.group.members) {
    options.network.send(peer, { body: { $case: 'release', value: { slot: member.slot, group: member.group.digest, lease } } })
  }
}

function handoverOf (member: SlotMember, levels: SlotLevels): ShareMessage {
  return { body: { $case: 'handover', value: { slot: member.slot, group: member.group.digest, levels } } }
}
