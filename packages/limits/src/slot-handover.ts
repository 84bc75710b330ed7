import type { ShareMessage, SlotLease } from '@hickoryspoke/protocol/generated/share'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { LeaseTable } from './lease-table.ts'
import type { SlotMember } from './slot-lease.ts'
import type { ShareLookup } from './slot-shares.ts'

/** What passing slots on works with. */
export interface HandoverParts {
  readonly leases: LeaseTable
  readonly lookup: ShareLookup
  readonly network: PeerNetwork<ShareMessage>
  readonly clock: Clock
}

/** Gives up every lease held here and passes what is known to a live member of each home group. */
export function handOverSlots (parts: HandoverParts): void {
  const now = parts.clock.monotonicMilliseconds()
  for (const member of parts.leases.all()) {
    const successor = member.successor()
    const lease = member.giveUp()
    if (lease === undefined) continue
    release(parts, member, lease)
    if (successor !== undefined) parts.network.send(successor, handoverOf(parts, member, lease, now))
  }
}

/** The voters are told first, so that the successor need not wait for the lease to run out. */
function release (parts: HandoverParts, member: SlotMember, lease: SlotLease): void {
  for (const peer of member.group.members) {
    parts.network.send(peer, { body: { $case: 'release', value: { slot: member.slot, group: member.group.digest, lease } } })
  }
}

function handoverOf (parts: HandoverParts, member: SlotMember, lease: SlotLease, now: number): ShareMessage {
  const value = {
    slot: member.slot,
    group: member.group.digest,
    lease,
    levels: member.shares.levels(parts.lookup, now),
    knownForMilliseconds: member.shares.knownForMilliseconds(now),
    usedUpAfterMilliseconds: member.shares.usedUpAfter(now)
  }
  return { body: { $case: 'handover', value } }
}
