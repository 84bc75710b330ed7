/** What is known about one upstream: its load, evidence of failure, and speed. */
import { PlacementOutcome, type UpstreamLoad } from '@hickoryspoke/protocol/generated/dispatch'
import { EVIDENCE, FailureEstimate, type Evidence } from './failure-estimate.ts'
import type { RequestLimit } from './request-limit.ts'
import type { SoundShares } from './sound-shares.ts'
import { StatedAvailability } from './stated-availability.ts'

/** Whether an upstream is trusted. */
export const STANDING = {
  /** It is probably answering requests. */
  sound: 'sound',
  /** It is probably failing; see `SUSPECT_PROBABILITY`. */
  suspect: 'suspect'
} as const

/** One of the values of `STANDING`. */
export type Standing = typeof STANDING[keyof typeof STANDING]

/** An upstream is suspect from this probability of failure on. */
const SUSPECT_PROBABILITY = 0.4
/** An upstream that answered within this time is in use. */
const IN_USE_MILLISECONDS = 10_000
/** How long an upstream counts as full after it refused a request or reported that all its slots are taken. */
const FULL_BACKOFF_MILLISECONDS = 150
/** How long an entry that could not connect to an upstream gets no placements there. */
const UNREACHABLE_MILLISECONDS = 3_000
const SLOWNESS_SMOOTHING = 0.25
/** Bounds the ratio of one answer time to the usual one, so that a single answer says little about the upstream's speed. */
const MAXIMUM_RATIO = 8

/** How a request ended. Times are monotonic milliseconds, durations milliseconds. */
export interface RequestEnd {
  readonly outcome: PlacementOutcome
  readonly entry: string
  readonly placedAt: number
  readonly milliseconds: number
  /** Usual duration of requests on its route; 0 while unknown. */
  readonly usualMilliseconds: number
  /** Whether it was counted as overdue before it ended. */
  readonly wasOverdue: boolean
}

const EVIDENCE_OF_OUTCOME: Readonly<Partial<Record<PlacementOutcome, Evidence>>> = {
  [PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED]: EVIDENCE.answered,
  [PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR]: EVIDENCE.serverError,
  [PlacementOutcome.PLACEMENT_OUTCOME_REFUSED]: EVIDENCE.refused,
  [PlacementOutcome.PLACEMENT_OUTCOME_BROKEN]: EVIDENCE.broken,
  [PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT]: EVIDENCE.overdue,
  [PlacementOutcome.PLACEMENT_OUTCOME_UNREACHABLE]: EVIDENCE.unreachable
}

/** Tracks one upstream for the dispatcher, or for an entry that places requests by itself. */
export class InstanceStanding {
  /** Requests placed on the upstream that have not ended. */
  inFlight = 0
  /** Moving average of the ratio of its answer times to the usual ones; 1 is usual. */
  slowness = 1
  /** Total number of requests placed on the upstream. */
  placed = 0
  /** Whether it wants requests, as it said in its responses. */
  readonly availability = StatedAvailability.create()
  private placedAt = -Infinity
  private failedAt = -Infinity
  private answeredAt = -Infinity
  private fullUntil = -Infinity
  private readonly estimate: FailureEstimate
  /** Entries that could not connect, with the time until which they get no placements here. */
  private readonly unreachableUntil = new Map<string, number>()

  private constructor (readonly firstSeenAt: number, private readonly shares: SoundShares, readonly limit: RequestLimit) {
    this.estimate = FailureEstimate.create(firstSeenAt)
  }

  /** `now` is when the upstream was first seen, in monotonic milliseconds; `shares` belongs to its pool, `limit` to the upstream. */
  static create (now: number, shares: SoundShares, limit: RequestLimit): InstanceStanding {
    return new InstanceStanding(now, shares, limit)
  }

  /** Probability that the upstream is currently failing most requests. */
  failureProbability (now: number): number {
    return this.estimate.probability(now)
  }

  standing (now: number): Standing {
    return this.failureProbability(now) >= SUSPECT_PROBABILITY ? STANDING.suspect : STANDING.sound
  }

  /** Whether it is sound and answered recently, so that it is still there even if its announcements are missing. */
  isInUse (now: number): boolean {
    return this.standing(now) === STANDING.sound && now - this.answeredAt < IN_USE_MILLISECONDS
  }

  /** Milliseconds since the last request was placed here; Infinity for none. */
  millisecondsSincePlacement (now: number): number {
    return now - this.placedAt
  }

  /** Milliseconds since the last evidence of failure; Infinity for none. */
  millisecondsSinceFailure (now: number): number {
    return now - this.failedAt
  }

  /** Whether no request may be placed here now, as its slots or its limit are used up. */
  isFull (slots: number, now: number): boolean {
    return this.inFlight >= slots || now < this.fullUntil || !this.limit.allows(now)
  }

  /** Whether the entry can connect to it, and was not asked for a pause. */
  isReachableFrom (entry: string, now: number): boolean {
    return now >= (this.unreachableUntil.get(entry) ?? -Infinity) && this.availability.unavailableMilliseconds(entry, now) === 0
  }

  /** Counts a request that is placed here. */
  place (now: number): void {
    this.inFlight += 1
    this.placed += 1
    this.placedAt = now
    this.limit.take(now)
  }

  /** Updates the state with the outcome of a request. */
  record (ended: RequestEnd, now: number): void {
    const evidence = EVIDENCE_OF_OUTCOME[ended.outcome]
    if (evidence === undefined) return
    if (evidence === EVIDENCE.unreachable) this.unreachableUntil.set(ended.entry, now + UNREACHABLE_MILLISECONDS)
    if (evidence === EVIDENCE.refused) this.markFull(now)
    if (evidence === EVIDENCE.answered) this.recordAnswer(ended, now)
    // An answer to a request that was placed before the last failure does not show that the upstream recovered.
    const isOutdated = evidence === EVIDENCE.answered && ended.placedAt < this.failedAt
    const isCounted = evidence === EVIDENCE.overdue && ended.wasOverdue
    if (!isOutdated && !isCounted) this.observe(evidence, now)
  }

  /** Records that a running request takes several times as long as usual. */
  recordOverdue (now: number): void {
    this.observe(EVIDENCE.overdue, now)
  }

  /** Takes over another process's probability of failure as of `now`, unless an answer arrived since. */
  adoptProbability (probability: number, now: number): void {
    if (this.answeredAt < now) this.estimate.adopt(probability, now)
  }

  /** Marks the upstream as full when it reports requests waiting for its slots. */
  recordLoad (load: UpstreamLoad, now: number): void {
    if (load.slots > 0 && load.running >= load.slots && load.waiting > 0) this.markFull(now)
  }

  private recordAnswer (ended: RequestEnd, now: number): void {
    this.answeredAt = now
    this.unreachableUntil.delete(ended.entry)
    if (ended.usualMilliseconds === 0) return
    const ratio = Math.min(MAXIMUM_RATIO, ended.milliseconds / ended.usualMilliseconds)
    this.slowness += SLOWNESS_SMOOTHING * (ratio - this.slowness)
  }

  private observe (evidence: Evidence, now: number): void {
    const probabilityBefore = this.estimate.probability(now)
    // A broken connection says itself that the upstream was hardly sound; what comes late may be due to the load on all of them.
    const isOwnSign = evidence === EVIDENCE.broken
    if (!isOwnSign) this.shares.count(evidence, 1 - probabilityBefore)
    this.estimate.observe(evidence, this.shares.shares, now)
    if (isOwnSign) this.shares.count(evidence, 1 - this.estimate.probability(now))
    if (evidence !== EVIDENCE.answered) this.failedAt = now
  }

  private markFull (now: number): void {
    this.fullUntil = now + FULL_BACKOFF_MILLISECONDS
  }
}
