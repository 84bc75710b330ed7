/** What the dispatcher knows of one upstream: load, evidence of failure, and speed. */
import { PlacementOutcome, type UpstreamLoad } from '@hickoryspoke/protocol/generated/dispatch'

/** How much an upstream is trusted. */
export const STANDING = {
  /** Answered last time, or never failed. */
  good: 'good',
  /** Failed lately and may be tried with one request. */
  trial: 'trial',
  /** Failed just now. */
  avoided: 'avoided'
} as const

/** One of the values of `STANDING`. */
export type Standing = typeof STANDING[keyof typeof STANDING]

/** After a failure an upstream gets nothing for this time, unless all failed. */
const AVOID_MILLISECONDS = 2_000
/** A server error may be the request's own fault, so it is weaker evidence than a broken connection. */
const AVOID_AFTER_ERROR_MILLISECONDS = 1_000
/** After this time without requests the cause of a failure is probably over. */
const TRUST_AGAIN_MILLISECONDS = 9_000
const TRUST_AGAIN_AFTER_ERROR_MILLISECONDS = 4_000
/** An upstream that answered within this time is known to be good. */
const KNOWN_MILLISECONDS = 6_000
const FULL_MILLISECONDS = 150
/** An upstream that breaks connections lets some requests through, so one answer does not clear it. */
const ANSWERS_AFTER_FAILURE = 2
/** An entry that could not connect is kept away for this time. */
const UNREACHABLE_MILLISECONDS = 3_000
const SLOWNESS_WEIGHT = 0.25

/** What is known of a request that ended; times are monotonic milliseconds, durations milliseconds. */
export interface EndedRequest {
  readonly outcome: PlacementOutcome
  readonly entry: string
  readonly placedAt: number
  readonly milliseconds: number
  /** Usual duration of requests of its kind; 0 while unknown. */
  readonly usualMilliseconds: number
}

type EvidenceRule = (standing: InstanceStanding, now: number, ended: EndedRequest) => void

const EVIDENCE: Readonly<Partial<Record<PlacementOutcome, EvidenceRule>>> = {
  [PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED]: (standing, now, ended) => standing.countAnswer(now, ended.placedAt),
  [PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR]: (standing, now) => standing.countError(now),
  [PlacementOutcome.PLACEMENT_OUTCOME_REFUSED]: (standing, now) => standing.markFull(now),
  [PlacementOutcome.PLACEMENT_OUTCOME_BROKEN]: (standing, now) => standing.countFailure(now),
  [PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT]: (standing, now) => standing.countFailure(now)
}

/** Load and evidence of one upstream. */
export class InstanceStanding {
  /** Requests placed here that have not ended. */
  inFlight = 0
  /** Ratio of its answer times to those of its pool; 1 is usual. */
  slowness = 1
  /** Requests ever placed here. */
  placed = 0
  failures = 0
  private avoidUntil = -Infinity
  private trustAgainAt = -Infinity
  private failedAt = -Infinity
  private answeredAt = -Infinity
  private answersWanted = 0
  private fullUntil = -Infinity
  /** Entries that could not connect, with the time until which they are kept away. */
  private readonly unreachableFrom = new Map<string, number>()

  private constructor (readonly firstSeenAt: number) {}

  /** `now` is when the upstream was first seen, in monotonic milliseconds. */
  static create (now: number): InstanceStanding {
    return new InstanceStanding(now)
  }

  /** Whether it answered a short time ago and has not failed since. */
  isKnownGood (now: number): boolean {
    return this.failures === 0 && now - this.answeredAt < KNOWN_MILLISECONDS
  }

  standing (now: number): Standing {
    if (this.failures === 0) return STANDING.good
    return now < this.avoidUntil || this.inFlight > 0 ? STANDING.avoided : STANDING.trial
  }

  /** Whether the last failure is so long ago that its cause is probably over. */
  isTrustedAgain (now: number): boolean {
    return now >= this.trustAgainAt
  }

  /** Milliseconds since the last failure. */
  sinceFailure (now: number): number {
    return now - this.failedAt
  }

  isFull (slots: number, now: number): boolean {
    return this.inFlight >= slots || now < this.fullUntil
  }

  isReachableFrom (entry: string, now: number): boolean {
    return now >= (this.unreachableFrom.get(entry) ?? -Infinity)
  }

  /** Learns from the end of a request. */
  record (ended: EndedRequest, now: number): void {
    EVIDENCE[ended.outcome]?.(this, now, ended)
    if (ended.outcome === PlacementOutcome.PLACEMENT_OUTCOME_UNREACHABLE) this.unreachableFrom.set(ended.entry, now + UNREACHABLE_MILLISECONDS)
    if (ended.outcome === PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED && ended.usualMilliseconds > 0) {
      this.slowness += SLOWNESS_WEIGHT * (ended.milliseconds / ended.usualMilliseconds - this.slowness)
    }
  }

  /** Takes note of the load that the upstream reported. */
  noteLoad (load: UpstreamLoad, now: number): void {
    if (load.slots > 0 && load.running >= load.slots && load.waiting > 0) this.markFull(now)
  }

  /** An answer to a request from before a failure says nothing about the time after it. */
  countAnswer (now: number, placedAt: number): void {
    if (placedAt < this.failedAt) return
    this.answersWanted -= 1
    if (this.answersWanted > 0) return
    this.failures = 0
    this.answeredAt = now
  }

  markFull (now: number): void {
    this.fullUntil = now + FULL_MILLISECONDS
  }

  countFailure (now: number): void {
    this.answersWanted = ANSWERS_AFTER_FAILURE
    this.fail(now, AVOID_MILLISECONDS, TRUST_AGAIN_MILLISECONDS)
  }

  /** A second error in a row counts like a broken connection. */
  countError (now: number): void {
    if (this.failures > 0) this.countFailure(now)
    else this.fail(now, AVOID_AFTER_ERROR_MILLISECONDS, TRUST_AGAIN_AFTER_ERROR_MILLISECONDS)
  }

  private fail (now: number, avoidMilliseconds: number, trustAgainMilliseconds: number): void {
    this.failures += 1
    this.failedAt = now
    this.avoidUntil = Math.max(this.avoidUntil, now + avoidMilliseconds)
    this.trustAgainAt = Math.max(this.trustAgainAt, now + trustAgainMilliseconds)
  }
}
