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

const AVOID_MILLISECONDS = 3_000
const LONGEST_AVOID_MILLISECONDS = 12_000
/** A server error may be the request's own fault, so it is weaker evidence than a broken connection. */
const AVOID_AFTER_ERROR_MILLISECONDS = 1_000
/** An upstream that answered within this time is known to be good. */
const KNOWN_MILLISECONDS = 6_000
const FULL_MILLISECONDS = 150
const SLOWNESS_WEIGHT = 0.25
/** An upstream that was avoided is tried at the latest after this time, if only with one request. */
const TRUST_AGAIN_MILLISECONDS = 9_000

type EvidenceRule = (standing: InstanceStanding, now: number) => void

const EVIDENCE: Readonly<Partial<Record<PlacementOutcome, EvidenceRule>>> = {
  [PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED]: (standing, now) => standing.countAnswer(now),
  [PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR]: (standing, now) => standing.countFailure(now, AVOID_AFTER_ERROR_MILLISECONDS),
  [PlacementOutcome.PLACEMENT_OUTCOME_REFUSED]: (standing, now) => standing.markFull(now),
  [PlacementOutcome.PLACEMENT_OUTCOME_BROKEN]: (standing, now) => standing.countFailure(now, AVOID_MILLISECONDS),
  [PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT]: (standing, now) => standing.countFailure(now, AVOID_MILLISECONDS)
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
  private failedAt = -Infinity
  private answeredAt = -Infinity
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
    return now - this.failedAt >= TRUST_AGAIN_MILLISECONDS
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

  /** Learns from the end of a request. `usualMilliseconds` is the pool's usual time for requests of this kind. */
  record (outcome: PlacementOutcome, entry: string, now: number, timing: { milliseconds: number, usualMilliseconds: number }): void {
    EVIDENCE[outcome]?.(this, now)
    if (outcome === PlacementOutcome.PLACEMENT_OUTCOME_UNREACHABLE) this.unreachableFrom.set(entry, now + AVOID_MILLISECONDS)
    if (outcome === PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED && timing.usualMilliseconds > 0) {
      this.slowness += SLOWNESS_WEIGHT * (timing.milliseconds / timing.usualMilliseconds - this.slowness)
    }
  }

  /** Takes note of the load that the upstream reported. */
  noteLoad (load: UpstreamLoad, now: number): void {
    if (load.slots > 0 && load.running >= load.slots && load.waiting > 0) this.markFull(now)
  }

  countAnswer (now: number): void {
    this.failures = 0
    this.answeredAt = now
  }

  markFull (now: number): void {
    this.fullUntil = now + FULL_MILLISECONDS
  }

  countFailure (now: number, avoidMilliseconds: number): void {
    this.failures += 1
    this.failedAt = now
    const wait = Math.min(LONGEST_AVOID_MILLISECONDS, avoidMilliseconds * 2 ** (this.failures - 1))
    this.avoidUntil = Math.max(this.avoidUntil, now + wait)
  }
}
