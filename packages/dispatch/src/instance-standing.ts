/** What the dispatcher knows of one upstream: load, evidence of failure, and speed. */
import { PlacementOutcome, type UpstreamLoad } from '@hickoryspoke/protocol/generated/dispatch'
import { EVIDENCE, FailureBelief, type Evidence } from './failure-belief.ts'
import type { SoundShares } from './sound-shares.ts'

/** How much an upstream is trusted. */
export const STANDING = {
  /** It answers, as far as is known. */
  sound: 'sound',
  /** It probably fails. */
  suspect: 'suspect'
} as const

/** One of the values of `STANDING`. */
export type Standing = typeof STANDING[keyof typeof STANDING]

/** From this probability of failure on an upstream is suspect. */
const SUSPECT_PROBABILITY = 0.4
/** An upstream that answered within this time is in use. */
const IN_USE_MILLISECONDS = 10_000
const FULL_MILLISECONDS = 150
/** An entry that could not connect is kept away for this time. */
const UNREACHABLE_MILLISECONDS = 3_000
const SLOWNESS_WEIGHT = 0.25
/** An early answer of a slow upstream says little, so a ratio is bounded. */
const HIGHEST_RATIO = 8

/** What is known of a request that ended; times are monotonic milliseconds, durations milliseconds. */
export interface EndedRequest {
  readonly outcome: PlacementOutcome
  readonly entry: string
  readonly placedAt: number
  readonly milliseconds: number
  /** Usual duration of requests of its kind; 0 while unknown. */
  readonly usualMilliseconds: number
  /** It was counted as overdue before it ended. */
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

/** Load and evidence of one upstream. */
export class InstanceStanding {
  /** Requests placed here that have not ended. */
  inFlight = 0
  /** Ratio of its answer times to those of its pool; 1 is usual. */
  slowness = 1
  /** Requests ever placed here. */
  placed = 0
  private placedAt = -Infinity
  private failedAt = -Infinity
  private answeredAt = -Infinity
  private fullUntil = -Infinity
  private readonly belief: FailureBelief
  /** Entries that could not connect, with the time until which they are kept away. */
  private readonly unreachableFrom = new Map<string, number>()

  private constructor (readonly firstSeenAt: number, private readonly shares: SoundShares) {
    this.belief = FailureBelief.create(firstSeenAt)
  }

  /** `now` is when the upstream was first seen, in monotonic milliseconds; `shares` are those of its pool. */
  static create (now: number, shares: SoundShares): InstanceStanding {
    return new InstanceStanding(now, shares)
  }

  /** Probability that it fails most requests now. */
  failureProbability (now: number): number {
    return this.belief.probability(now)
  }

  standing (now: number): Standing {
    return this.failureProbability(now) >= SUSPECT_PROBABILITY ? STANDING.suspect : STANDING.sound
  }

  /** Whether it answers requests, so that it is there even when it is not announced. */
  isInUse (now: number): boolean {
    return this.standing(now) === STANDING.sound && now - this.answeredAt < IN_USE_MILLISECONDS
  }

  /** Milliseconds since a request was placed here. */
  sincePlaced (now: number): number {
    return now - this.placedAt
  }

  /** Milliseconds since a request failed here. */
  sinceFailed (now: number): number {
    return now - this.failedAt
  }

  isFull (slots: number, now: number): boolean {
    return this.inFlight >= slots || now < this.fullUntil
  }

  isReachableFrom (entry: string, now: number): boolean {
    return now >= (this.unreachableFrom.get(entry) ?? -Infinity)
  }

  /** Takes note of a request that is placed here. */
  place (now: number): void {
    this.inFlight += 1
    this.placed += 1
    this.placedAt = now
  }

  /** Learns from the end of a request. */
  record (ended: EndedRequest, now: number): void {
    const evidence = EVIDENCE_OF_OUTCOME[ended.outcome]
    if (evidence === undefined) return
    if (evidence === EVIDENCE.unreachable) this.unreachableFrom.set(ended.entry, now + UNREACHABLE_MILLISECONDS)
    if (evidence === EVIDENCE.refused) this.markFull(now)
    if (evidence === EVIDENCE.answered) this.recordAnswer(ended, now)
    // A request from before a failure says nothing about the time after it.
    const isOutdated = evidence === EVIDENCE.answered && ended.placedAt < this.failedAt
    const isCounted = evidence === EVIDENCE.overdue && ended.wasOverdue
    if (!isOutdated && !isCounted) this.observe(evidence, now)
  }

  /** A request here takes several times as long as usual. */
  recordOverdue (now: number): void {
    this.observe(EVIDENCE.overdue, now)
  }

  /** Takes over what the dispatcher believes, unless an answer came since. */
  adopt (probability: number, now: number): void {
    if (this.answeredAt < now) this.belief.adopt(probability, now)
  }

  /** Takes note of the load that the upstream reported. */
  noteLoad (load: UpstreamLoad, now: number): void {
    if (load.slots > 0 && load.running >= load.slots && load.waiting > 0) this.markFull(now)
  }

  private recordAnswer (ended: EndedRequest, now: number): void {
    this.answeredAt = now
    this.unreachableFrom.delete(ended.entry)
    if (ended.usualMilliseconds === 0) return
    const ratio = Math.min(HIGHEST_RATIO, ended.milliseconds / ended.usualMilliseconds)
    this.slowness += SLOWNESS_WEIGHT * (ratio - this.slowness)
  }

  private observe (evidence: Evidence, now: number): void {
    this.shares.count(evidence, 1 - this.belief.probability(now))
    this.belief.observe(evidence, this.shares.shares, now)
    if (evidence !== EVIDENCE.answered) this.failedAt = now
  }

  private markFull (now: number): void {
    this.fullUntil = now + FULL_MILLISECONDS
  }
}
