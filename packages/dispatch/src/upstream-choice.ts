/** Which upstream a request goes to: the one where it most probably succeeds, in time and near. */
import { FAILING_SHARES } from './failure-belief.ts'
import { STANDING, type InstanceStanding } from './instance-standing.ts'
import type { HeldUpstream } from './upstream-registry.ts'

/** An upstream with a free slot, as the choice sees it. */
export interface Candidate {
  readonly upstream: HeldUpstream
  readonly standing: InstanceStanding
  readonly isNear: boolean
}

/** What the choice depends on beside the candidates. */
export interface ChoiceContext {
  readonly now: number
  /** A failure of this request costs only a repeat. */
  readonly mayProbe: boolean
  /** Many requests of the pool fail. */
  readonly isStressed: boolean
  /** Least probability of an answer for which the request is sent now rather than kept waiting. */
  readonly leastSuccess: number
}

/** Costs are in parts of a lost request. */
const OTHER_ZONE_COST = 0.02
/** A longer answer time is now and then too late. */
const FILL_COST = 0.03
const SLOWNESS_COST = 0.05
/** An upstream that started just now is slow. */
const COLD_COST = 0.05
/** A new upstream gets its first request at the latest after this time. */
const NEWCOMER_MILLISECONDS = 1_000
/** A suspect upstream is probed this often, and an upstream left out under stress gets a request. */
const PROBE_MILLISECONDS = 2_000
const SPREAD_MILLISECONDS = 1_200
/** Between two requests to a suspect upstream when nothing better is free. */
const RETRIAL_MILLISECONDS = 200

type Rule = (candidates: readonly Candidate[], context: ChoiceContext) => Candidate | undefined

const CALM_RULES: readonly Rule[] = [chooseNewcomer, chooseProbe, chooseBest]
/** While many requests fail, all sound upstreams get their part. */
const STRESSED_RULES: readonly Rule[] = [chooseNewcomer, chooseProbe, chooseLeftOut, chooseBest]

/** One of the candidates; undefined when the request is better kept waiting. */
export function chooseUpstream (candidates: readonly Candidate[], context: ChoiceContext): Candidate | undefined {
  for (const rule of context.isStressed ? STRESSED_RULES : CALM_RULES) {
    const chosen = rule(candidates, context)
    if (chosen !== undefined) return chosen
  }
  return undefined
}

/** Probability that the upstream answers. */
export function successOf ({ standing }: Candidate, now: number): number {
  return 1 - standing.failureProbability(now) * (1 - FAILING_SHARES.answered)
}

function chooseNewcomer (candidates: readonly Candidate[], { now, mayProbe }: ChoiceContext): Candidate | undefined {
  return candidates.find(({ standing }) => standing.placed === 0 && (mayProbe || now - standing.firstSeenAt >= NEWCOMER_MILLISECONDS))
}

/** A suspect upstream, for a request that may be repeated. */
function chooseProbe (candidates: readonly Candidate[], { now, mayProbe }: ChoiceContext): Candidate | undefined {
  if (!mayProbe) return undefined
  const suspects = candidates.filter(({ standing }) => {
    return standing.standing(now) === STANDING.suspect && standing.inFlight === 0 && standing.sincePlaced(now) >= PROBE_MILLISECONDS
  })
  return lowest(suspects, ({ standing }) => -standing.sincePlaced(now))
}

/** A sound upstream that got nothing lately. */
function chooseLeftOut (candidates: readonly Candidate[], { now }: ChoiceContext): Candidate | undefined {
  const leftOut = candidates.filter(({ standing }) => {
    return standing.standing(now) === STANDING.sound && standing.sincePlaced(now) >= SPREAD_MILLISECONDS
  })
  return lowest(leftOut, (candidate) => costOf(candidate, now))
}

function chooseBest (candidates: readonly Candidate[], { now, leastSuccess }: ChoiceContext): Candidate | undefined {
  const acceptable = candidates.filter((candidate) => successOf(candidate, now) >= leastSuccess && !isTriedEnough(candidate, now))
  return lowest(acceptable, (candidate) => costOf(candidate, now))
}

/** A suspect upstream fails fast and so always has free slots; it must not draw all that waits. */
function isTriedEnough ({ standing }: Candidate, now: number): boolean {
  return standing.standing(now) === STANDING.suspect && standing.sincePlaced(now) < RETRIAL_MILLISECONDS
}

function costOf (candidate: Candidate, now: number): number {
  const { upstream, standing, isNear } = candidate
  const cold = now < upstream.warmUntil ? COLD_COST : 0
  const slow = SLOWNESS_COST * Math.max(0, standing.slowness - 1)
  return 1 - successOf(candidate, now) + FILL_COST * fillAfter(candidate) + slow + (isNear ? 0 : OTHER_ZONE_COST) + cold
}

/** Part of the slots in use once one more request is placed. */
function fillAfter ({ upstream, standing }: Candidate): number {
  return (standing.inFlight + 1) / Math.max(1, upstream.announced.slots)
}

function lowest (candidates: readonly Candidate[], costOfCandidate: (candidate: Candidate) => number): Candidate | undefined {
  let best: Candidate | undefined
  let bestCost = Infinity
  for (const candidate of candidates) {
    const cost = costOfCandidate(candidate)
    if (cost >= bestCost) continue
    best = candidate
    bestCost = cost
  }
  return best
}
