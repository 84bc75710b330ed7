/** Chooses the upstream for a request, by probability of success, load, speed and availability zone. */
import type { ExpectedFinish } from './expected-finish.ts'
import { FAILING_SHARES } from './failure-estimate.ts'
import { STANDING, type InstanceStanding } from './instance-standing.ts'
import { PREFERRED_UTILIZATION } from './residual-work.ts'
import type { RegisteredUpstream } from './upstream-registry.ts'
import type { UpstreamWork } from './upstream-work.ts'

/** An upstream of a pool, with its tracked state. */
export interface Candidate {
  readonly upstream: RegisteredUpstream
  readonly standing: InstanceStanding
  readonly work: UpstreamWork
}

/** The state of the request and its pool on which the choice depends. */
export interface ChoiceContext {
  readonly now: number
  /** Availability zone of the entry that asks. */
  readonly zone: string
  /** Whether the request may be sent again after a failure, so that it can probe a suspect upstream. */
  readonly mayProbe: boolean
  /** Whether idle upstreams should receive requests. */
  readonly isSpreading: boolean
  /** Whether many requests of the pool are not served. */
  readonly isStressed: boolean
  /** Whether any upstream of the pool, free or not, is sound. */
  readonly hasSound: boolean
  /** Required probability of success; below it, the request waits. */
  readonly minimumSuccess: number
  /** What is expected of the request; undefined where it is not estimated. */
  readonly expected: ExpectedFinish | undefined
}

// Costs are relative to the cost of a lost request, which is 1.

const OTHER_ZONE_COST = 0.02
/** Up to the preferred utilization, busier upstreams are preferred: the fewer upstreams are in use, the fewer failures requests meet. */
const UTILIZATION_BONUS = 0.03
/** Above the preferred utilization, a fuller upstream costs more, since it answers later. */
const NEARLY_FULL_COST = 0.05
const SLOWNESS_COST = 0.05
/** Cost of an upstream that is still warming up and therefore slow. */
const COLD_COST = 0.05
/** After this time, a new upstream may get its first request even if that request may not be repeated. */
const NEW_UPSTREAM_MILLISECONDS = 1_000
/** Minimum interval between probes of a suspect upstream. */
const PROBE_INTERVAL_MILLISECONDS = 2_000
/** An upstream counts as idle when it received no request for this time. */
export const IDLE_MILLISECONDS = 1_600
/** An idle suspect upstream must also have been without failures for this time to get a request. */
const IDLE_SUSPECT_MILLISECONDS = 3_000
/** Interval between requests to an upstream that certainly fails while another one is sound; it shrinks with the square of the probability of failure. */
const SUSPECT_INTERVAL_MILLISECONDS = 200
/** The same interval while no upstream of the pool is sound. */
const SUSPECT_INTERVAL_WITHOUT_SOUND_MILLISECONDS = 60

/** Returns the cost of a candidate, or any value from `limit` on if it is not below that; undefined when the rule does not apply to it. */
type Rule = (candidate: Candidate, context: ChoiceContext, limit: number) => number | undefined

/** Rules by precedence: a candidate of an earlier rule is always preferred to one of a later rule. */
const RULES: readonly Rule[] = [newUpstreamCost, probeCost, idleCost, defaultCost]

/** The chosen upstream. */
export interface UpstreamChoice {
  readonly upstream: RegisteredUpstream
  /** Whether it was chosen only because it was idle. Such requests do not count towards the pool's unserved share, as failures there are expected. */
  readonly isForced: boolean
}

/** Chooses one of the candidates, which all have a free slot; undefined when the request should wait. */
export function chooseUpstream (candidates: readonly Candidate[], context: ChoiceContext): UpstreamChoice | undefined {
  let best: Candidate | undefined
  let bestRule = RULES.length - 1
  let bestCost = Infinity
  for (const candidate of candidates) {
    for (let rule = 0; rule <= bestRule; rule += 1) {
      const cost = (RULES[rule] as Rule)(candidate, context, rule === bestRule ? bestCost : Infinity)
      if (cost === undefined) continue
      if (rule === bestRule && cost >= bestCost) break
      best = candidate
      bestRule = rule
      bestCost = cost
      break
    }
  }
  return best === undefined ? undefined : { upstream: best.upstream, isForced: RULES[bestRule] === idleCost }
}

/** Probability that the upstream answers a request. */
export function successProbability (standing: InstanceStanding, now: number): number {
  return 1 - standing.failureProbability(now) * (1 - FAILING_SHARES.answered)
}

function newUpstreamCost ({ standing }: Candidate, { now, mayProbe }: ChoiceContext): number | undefined {
  const isUnused = standing.placed === 0 || isIdleCold(standing, now)
  const isDue = isUnused && (mayProbe || now - standing.firstSeenAt >= NEW_UPSTREAM_MILLISECONDS)
  return isDue ? 0 : undefined
}

/** Whether it is cold and without requests. One that has returned would get none before it is warm, as cold upstreams cost more. */
function isIdleCold (standing: InstanceStanding, now: number): boolean {
  if (standing.millisecondsSincePlacement(now) < IDLE_MILLISECONDS || !standing.limit.isCold(now)) return false
  return standing.standing(now) === STANDING.sound
}

/** Sends requests that may be repeated to suspect upstreams, to detect when they have recovered. */
function probeCost ({ standing }: Candidate, { now, mayProbe }: ChoiceContext): number | undefined {
  if (!mayProbe || standing.inFlight > 0 || standing.standing(now) !== STANDING.suspect) return undefined
  const since = standing.millisecondsSincePlacement(now)
  return since >= PROBE_INTERVAL_MILLISECONDS ? -since : undefined
}

/** Sends requests to idle upstreams; to suspect ones only while many requests are not served, as the suspicion may be wrong. */
function idleCost ({ standing }: Candidate, { now, isSpreading, isStressed }: ChoiceContext): number | undefined {
  if (!isSpreading || standing.millisecondsSincePlacement(now) < IDLE_MILLISECONDS) return undefined
  const isSuspect = standing.standing(now) === STANDING.suspect
  if (isSuspect && (!isStressed || standing.millisecondsSinceFailure(now) < IDLE_SUSPECT_MILLISECONDS)) return undefined
  return standing.failureProbability(now)
}

function defaultCost (candidate: Candidate, context: ChoiceContext, limit: number): number | undefined {
  const { now, minimumSuccess } = context
  const success = successProbability(candidate.standing, now)
  if (success < minimumSuccess || isTriedRecently(candidate, context)) return undefined
  const cost = placementCost(candidate, context, limit - 1 + success)
  return cost === undefined ? undefined : 1 - success + cost
}

/** Whether a suspect upstream was tried so recently that it is skipped. One that fails fast always has free slots and would attract all waiting requests. */
function isTriedRecently ({ standing }: Candidate, { now, hasSound }: ChoiceContext): boolean {
  if (standing.standing(now) !== STANDING.suspect) return false
  const interval = hasSound ? SUSPECT_INTERVAL_MILLISECONDS : SUSPECT_INTERVAL_WITHOUT_SOUND_MILLISECONDS
  return standing.millisecondsSincePlacement(now) < interval * standing.failureProbability(now) ** 2
}

/** Undefined where waiting for another upstream is better. */
function placementCost (candidate: Candidate, { now, zone, expected }: ChoiceContext, limit: number): number | undefined {
  const { upstream, standing } = candidate
  const coldCost = now < upstream.warmupEndsAt ? COLD_COST : 0
  if (expected !== undefined) {
    const finishCost = expected.costOf(candidate, limit - coldCost)
    return finishCost === undefined ? undefined : coldCost + finishCost
  }
  const utilization = (standing.inFlight + 1) / Math.max(1, upstream.announced.slots)
  const utilizationCost = utilization <= PREFERRED_UTILIZATION ? -UTILIZATION_BONUS * utilization : NEARLY_FULL_COST * utilization
  const zoneCost = upstream.announced.zone === zone ? 0 : OTHER_ZONE_COST
  return utilizationCost + coldCost + zoneCost + SLOWNESS_COST * Math.max(0, standing.slowness - 1)
}
