import type { SlotLease } from '@hickoryspoke/protocol/generated/share'

/** Whether two leases stem from the same acquisition. */
export function sameLease (left: SlotLease | undefined, right: SlotLease | undefined): boolean {
  return left !== undefined && right !== undefined && left.term === right.term && left.nonce === right.nonce
}
