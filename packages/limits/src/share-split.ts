import { hashName } from '@hickoryspoke/runtime/hashing'

/** Rate in requests per second and burst in requests of one customer, over the whole fleet. */
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

/** Hash slots in each region. A slot's lease covers all shares that fall into it. */
export const SLOTS_PER_REGION = 128

const MOST_SHARES = 8
const KEY_DIVISOR = 16
const RATE_PER_SHARE = 250
const BURST_PER_SHARE = 20

/** A whole number below 2^48 that stands for a customer in messages. */
export function customerKey (name: string): number {
  return Math.floor(hashName(name) / KEY_DIVISOR)
}

/** One number for a customer and the number of one of its shares. */
export function shareKeyOf (customer: number, index: number): number {
  return customer * MOST_SHARES + index
}

/** The customer's key within a share key. */
export function customerOfShare (shareKey: number): number {
  return Math.floor(shareKey / MOST_SHARES)
}

/** The number of the share within a share key. */
export function indexOfShare (shareKey: number): number {
  return shareKey % MOST_SHARES
}

/** The slot that a share falls into; shares of one customer fall into neighbouring slots. */
export function slotOfShare (shareKey: number): number {
  const customer = customerOfShare(shareKey)
  return (customer + indexOfShare(shareKey) * 37) % SLOTS_PER_REGION
}

/** How many shares a customer has in all regions together; never more than whole tokens of burst. */
export function shareCount (customer: CustomerRate, regions: number): number {
  const burst = Math.floor(customer.burst)
  const wanted = Math.min(Math.ceil(customer.rate / RATE_PER_SHARE), Math.floor(burst / BURST_PER_SHARE))
  return Math.max(1, Math.min(MOST_SHARES, Math.max(wanted, Math.min(regions, burst))))
}

/** Part number `index` of `count`: the parts add up to at most the whole, in whole tokens of burst. */
export function shareOf (customer: CustomerRate, index: number, count: number): Share {
  const burst = Math.floor(customer.burst)
  const extra = index < burst % count ? 1 : 0
  return { rate: customer.rate / count, burst: Math.floor(burst / count) + extra }
}

/** The region, by its place in the sorted list, whose entries hold a share. */
export function regionOfShare (shareKey: number, regions: number): number {
  return (customerOfShare(shareKey) + indexOfShare(shareKey)) % regions
}
