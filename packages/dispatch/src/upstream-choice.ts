/** Which upstream a request goes to: the one where it most probably succeeds, in time and near. */
import { FAILING_SHARES } from './failure-belief.ts'
import { STANDING, type InstanceStanding } from './instance-standing.ts'
import type { HeldUpstream } from './upstream-registry.ts'

/** An upstream of a pool with what is known of it. */
export interface Candidate {
  readonly upstream: HeldUpstream
  readonly standing: InstanceStanding
}

/** What the choice depends on beside the candidates. */
export interface ChoiceContext {
  readonly now: number
  /** Availability zone of the entry that asks. */
  readonly zone: string
  /** A failure of this request costs only a repeat. */
  readonly mayProbe: boolean
  /** Upstreams without requests are to get some. */
  readonly isSpreading: boolean
  /** Many requests of the pool are not served. */
  readonly isStressed: boolean
  /** Some upstream of the pool, free or not, is not suspect. */
  readonly hasSound: boolean
  /** Least probability of an answer for which the request is sent now rather than kept waiting. */
  readonly leastSuccess: number
}

/** Costs are in parts of a lost request. */
const OTHER_ZONE_COST = 0.02
/** Fewer upstreams in use meet fewer failures, so a free slot of a used one is better up to this fill. */
const PACKED_FILL = 0.75
const PACKED_GAIN = 0.03
/** A nearly full upstream answers later. */
const FULL_COST = 0.05
const SLOWNESS_COST = 0.05
/** An upstream that started just now is slow. */
const COLD_COST = 0.05
/** A new upstream gets its first request at the latest after this time. */
const NEWCOMER_MILLISECONDS = 1_000
/** A suspect upstream is probed this often. */
const PROBE_MILLISECONDS = 2_000
/** An upstream counts as left out when it got nothing for this time. */
export const LEFT_OUT_MILLISECONDS = 1_600
/** As long after its last failure for a suspect one. */
const LEFT_OUT_SUSPECT_MILLISECONDS = 3_000
/** Between two requests to an upstream that certainly fails, when nothing better is free. */
const RETRIAL_MILLISECONDS = 200
/** The same where there is no better upstream to wait for. */
const RETRIAL_WITHOUT_SOUND_MILLISECONDS = 60

/** The cost of a candidate under a rule; undefined when the rule does not take it. */
type Rule = (candidate: Candidate, context: ChoiceContext) => number | undefined

/** Rules in their order; a candidate of an earlier one is always taken before one of a later. */
const RULES: readonly Rule[] = [newcomerCost, probeCost, leftOutCost, usualCost]

/** What was chosen. */
export interface Choice {
  readonly upstream: HeldUpstream
  /** Only so that it is not left out; a failure there is no sign of more trouble. */
  readonly isForced: boolean
}

/** One of the candidates, all with a free slot; undefined when the request is better kept waiting. */
export function chooseUpstream (candidates: readonly Candidate[], context: ChoiceContext): Choice | undefined {
  let best: Candidate | undefined
  let bestRule = RULES.length - 1
  let bestCost = Infinity
  for (const candidate of candidates) {
    for (let rule = 0; rule <= bestRule; rule += 1) {
      const cost = (RULES[rule] as Rule)(candidate, context)
      if (cost === undefined) continue
      if (rule === bestRule && cost >= bestCost) break
      best = candidate
      bestRule = rule
      bestCost = cost
      break
    }
  }
  return best === undefined ? undefined : { upstream: best.upstream, isForced: RULES[bestRule] === leftOutCost }
}

/** Probability that the upstream answers. */
export function successOf (standing: InstanceStanding, now: number): number {
  return 1 - standing.failureProbability(now) * (1 - FAILING_SHARES.answered)
}

function newcomerCost ({ standing }: Candidate, { now, mayProbe }: ChoiceContext): number | undefined {
  const isDue = standing.placed === 0 && (mayProbe || now - standing.firstSeenAt >= NEWCOMER_MILLISECONDS)
  return isDue ? 0 : undefined
}

/** A suspect upstream is found to be well again by requests that may be repeated. */
function probeCost ({ standing }: Candidate, { now, mayProbe }: ChoiceContext): number | undefined {
  if (!mayProbe || standing.standing(now) !== STANDING.suspect || standing.inFlight > 0) return undefined
  const since = standing.sincePlaced(now)
  return since >= PROBE_MILLISECONDS ? -since : undefined
}

/** Few sound upstreams may be without requests; none at all while many requests are not served, as suspicion may be wrong. */
function leftOutCost ({ standing }: Candidate, { now, isSpreading, isStressed }: ChoiceContext): number | undefined {
  if (!isSpreading || standing.sincePlaced(now) < LEFT_OUT_MILLISECONDS) return undefined
  const isSuspect = standing.standing(now) === STANDING.suspect
  if (isSuspect && (!isStressed || standing.sinceFailed(now) < LEFT_OUT_SUSPECT_MILLISECONDS)) return undefined
  return standing.failureProbability(now)
}

function usualCost (candidate: Candidate, context: ChoiceContext): number | undefined {
  const { now, leastSuccess } = context
  const success = successOf(candidate.standing, now)
  if (success < leastSuccess || isTriedEnough(candidate, context)) return undefined
  return 1 - success + placeCost(candidate, context)
}

/** A suspect upstream fails fast and so always has free slots; it must not draw all that waits. */
function isTriedEnough ({ standing }: Candidate, { now, hasSound }: ChoiceContext): boolean {
  if (standing.standing(now) !== STANDING.suspect) return false
  const longest = hasSound ? RETRIAL_MILLISECONDS : RETRIAL_WITHOUT_SOUND_MILLISECONDS
  return standing.sincePlaced(now) < longest * standing.failureProbability(now) ** 2
}

function placeCost ({ upstream, standing }: Candidate, { now, zone }: ChoiceContext): number {
  const fill = (standing.inFlight + 1) / Math.max(1, upstream.announced.slots)
  const fillCost = fill <= PACKED_FILL ? -PACKED_GAIN * fill : FULL_COST * fill
  const coldCost = now < upstream.warmUntil ? COLD_COST : 0
  const zoneCost = upstream.announced.zone === zone ? 0 : OTHER_ZONE_COST
  return fillCost + coldCost + zoneCost + SLOWNESS_COST * Math.max(0, standing.slowness - 1)
}
