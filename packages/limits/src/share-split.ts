import { hashName } from '@hickoryspoke/runtime/hashing'

/** A customer's rate in requests per second and burst in requests, for the whole fleet. */
export interface CustomerRate {
  readonly name: string
  readonly rate: number
  readonly burst: number
}

/** The part of a customer's rate and burst that one lease covers. */
export interface Share {
  readonly rate: number
  readonly burst: number
}

/** Number of hash slots in each region. The lease on a slot covers all shares that map to it. */
export const SLOTS_PER_REGION = 128

const MAXIMUM_SHARES = 8
const KEY_DIVISOR = 16
const RATE_PER_SHARE = 250
const BURST_PER_SHARE = 20

/** Hash of a customer's name that identifies the customer in messages; an integer below 2^48. */
export function customerKey (name: string): number {
  return Math.floor(hashName(name) / KEY_DIVISOR)
}

/** Combines a customer's key and the index of one of its shares into a share key. */
export function shareKeyOf (customer: number, index: number): number {
  return customer * MAXIMUM_SHARES + index
}

/** The customer's key contained in a share key. */
export function customerOfShare (shareKey: number): number {
  return Math.floor(shareKey / MAXIMUM_SHARES)
}

/** The index of the share contained in a share key. */
export function indexOfShare (shareKey: number): number {
  return shareKey % MAXIMUM_SHARES
}

/** The slot that a share maps to; the shares of one customer map to slots 37 apart. */
export function slotOfShare (shareKey: number): number {
  const customer = customerOfShare(shareKey)
  return (customer + indexOfShare(shareKey) * 37) % SLOTS_PER_REGION
}

/** Number of shares a customer has in all regions together; at most one per whole token of burst. */
export function shareCount (customer: CustomerRate, regions: number): number {
  const burst = Math.floor(customer.burst)
  const wanted = Math.min(Math.ceil(customer.rate / RATE_PER_SHARE), Math.floor(burst / BURST_PER_SHARE))
  return Math.max(1, Math.min(MAXIMUM_SHARES, Math.max(wanted, Math.min(regions, burst))))
}

/** Share `index` of `count`. The shares add up to at most the customer's rate and burst, with burst in whole tokens. */
export function shareOf (customer: CustomerRate, index: number, count: number): Share {
  const burst = Math.floor(customer.burst)
  const extra = index < burst % count ? 1 : 0
  return { rate: customer.rate / count, burst: Math.floor(burst / count) + extra }
}

/** Index, in the sorted list of regions, of the region whose entries hold a share. */
export function regionOfShare (shareKey: number, regions: number): number {
  return (customerOfShare(shareKey) + indexOfShare(shareKey)) % regions
}
