/**
 * How often one process may use a cold upstream. The leader grants the rate that the upstream tolerates, in single requests.
 * Entries without a leader share what the allowance leaves beyond that: each may send one request in its turn.
 */
import type { Clock } from '@hickoryspoke/runtime/clock'
import { hashName } from '@hickoryspoke/runtime/hashing'
import type { WarmupAllowance } from './cold-upstreams.ts'
import type { Seat } from './fleet-seat.ts'
import type { UpstreamRegistry } from './upstream-registry.ts'

/** Requests that the leader may send beyond the rate in one second, at the least. */
const MINIMUM_LEADER_BURST = 1
/** Requests that entries without a leader may send beyond their rate in one second, as it touches two turns more than it holds. */
const ENTRY_BURST = 2
/** Waiting requests are offered to an upstream whose token returned after this time at the latest; tokens return on during it. */
const OFFER_MILLISECONDS = 50
/** An entry without a leader looks again whether it has the turn after this time; a turn lasts many times as long. */
const NEXT_LOOK_MILLISECONDS = 10
/** Milliseconds that sums of times may miss. */
const ROUNDING = 1e-6
/** Both bursts stay within this share of the slack. The rest is for requests whose time to arrive differs. */
const BURST_SHARE_OF_SLACK = 0.5

/** Decides when this process may send a request to an upstream that tolerates `rate` requests per second. */
export interface ColdShare {
  /** Returns a time until which none may be sent; `now` or an earlier time if one may be sent now. */
  blockedUntil (rate: number, now: number): number
  take (rate: number, now: number): void
}

/**
 * The leader's share: single requests at the whole rate. A new leader begins without tokens, as its predecessor may just have used them.
 * All upstreams of a pool may be cold and are asked for each request, so the tokens are kept as the time at which all have returned.
 */
export class GrantedShare implements ColdShare {
  /** When all tokens will have returned, in monotonic milliseconds; undefined before the first use. */
  private fullAt: number | undefined

  private constructor (private readonly allowance: WarmupAllowance) {}

  static create (allowance: WarmupAllowance): GrantedShare {
    return new GrantedShare(allowance)
  }

  blockedUntil (rate: number, now: number): number {
    const capacity = this.capacity(rate)
    this.fullAt ??= now + capacity * 1_000 / rate
    return this.fullAt - (capacity - 1) * 1_000 / rate
  }

  take (rate: number, now: number): void {
    const capacityMilliseconds = this.capacity(rate) * 1_000 / rate
    const taken = Math.max(now, this.fullAt ?? now + capacityMilliseconds) + 1_000 / rate
    this.fullAt = Math.min(taken, now + 2 * capacityMilliseconds)
  }

  /** Number of tokens that accumulate. */
  private capacity (rate: number): number {
    const offered = MINIMUM_LEADER_BURST + rate * OFFER_MILLISECONDS / 1_000
    return Math.max(MINIMUM_LEADER_BURST, Math.min(offered, burstsWithin(this.allowance) - ENTRY_BURST))
  }
}

/** What decides on the turns of one entry. */
export interface TurnOptions {
  readonly clock: Clock
  readonly allowance: WarmupAllowance
  /** The place of this entry among all entries; undefined while unknown. */
  readonly seat: () => Seat | undefined
}

/**
 * The share of an entry without a leader. A fleet has far more entries than requests to share, so a token bucket in each would let
 * all of them send at once. Instead, entries take turns by the wall clock, in the order of their seats.
 */
export class TurnShare implements ColdShare {
  private usedAt = -Infinity
  private readonly offset: number

  private constructor (private readonly options: TurnOptions, instance: string) {
    this.offset = hashName(instance)
  }

  /** Turns begin at another entry for each upstream, so that the turns of one entry are spread over time. */
  static create (options: TurnOptions, instance: string): TurnShare {
    return new TurnShare(options, instance)
  }

  blockedUntil (rate: number, now: number): number {
    return this.isTurn(rate, now) ? now : now + NEXT_LOOK_MILLISECONDS
  }

  take (_: number, now: number): void {
    this.usedAt = now
  }

  private isTurn (rate: number, now: number): boolean {
    const seat = this.options.seat()
    const turnMilliseconds = this.turnMilliseconds(rate)
    if (seat === undefined || turnMilliseconds === undefined || now - this.usedAt < turnMilliseconds) return false
    const turn = Math.floor(this.options.clock.wallMilliseconds() / turnMilliseconds) + this.offset % seat.entries
    return turn % seat.entries === seat.position
  }

  /** Undefined where the allowance leaves nothing for entries without a leader. */
  private turnMilliseconds (rate: number): number | undefined {
    const { allowance } = this.options
    const shared = rate * (allowance.overage - 1)
    const isAllowed = shared > 0 && burstsWithin(allowance) >= MINIMUM_LEADER_BURST + ENTRY_BURST
    return isAllowed ? 1_000 / shared : undefined
  }
}

/** The warm-up limit of one upstream as one process keeps it. */
export class ColdLimit {
  /** Version of what is cold at which the upstream was found not to be. */
  private warmAt = -1
  /** Until when no request may be sent, and the version at which that was found. */
  private blockedUntil = -Infinity
  private blockedAt = -1

  private constructor (private readonly registry: UpstreamRegistry, private readonly instance: string, private readonly share: ColdShare) {}

  static create (registry: UpstreamRegistry, instance: string, share: ColdShare): ColdLimit {
    return new ColdLimit(registry, instance, share)
  }

  /** Requests per second from all entries together; undefined while the upstream is not cold. */
  requestsPerSecond (now: number): number | undefined {
    const { version } = this.registry.cold
    if (this.warmAt === version) return undefined
    const rate = this.registry.coldRate(this.instance, now)
    if (rate === undefined) this.warmAt = version
    return rate
  }

  /** Whether this process may send another request now. */
  allows (now: number): boolean {
    const { version } = this.registry.cold
    if (now < this.blockedUntil && this.blockedAt === version) return false
    const rate = this.requestsPerSecond(now)
    if (rate === undefined) return true
    this.blockedUntil = this.share.blockedUntil(rate, now) - ROUNDING
    this.blockedAt = version
    return now >= this.blockedUntil
  }

  /** Counts a request that is sent, whether it was allowed or not. */
  take (now: number): void {
    const rate = this.requestsPerSecond(now)
    if (rate !== undefined) this.share.take(rate, now)
  }
}

function burstsWithin ({ slack }: WarmupAllowance): number {
  return slack * BURST_SHARE_OF_SLACK
}
