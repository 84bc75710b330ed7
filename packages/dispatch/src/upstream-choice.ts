/** Which upstream a request goes to: known good ones packed by zone while all is well, all of them spread when many requests fail. */
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
}

/** Fill up to which a known good upstream gets requests before others are tried. */
const PACKED_FILL = 0.7
/** Extra cost of another zone, in parts of an upstream's slots. */
const OTHER_ZONE_COST = 0.34
/** Extra cost of an upstream that started just now. */
const COLD_COST = 0.6
/** An upstream this much slower than its pool is used last. */
const SLOW_RATIO = 1.8
/** A new upstream gets its first request at the latest after this time. */
const NEWCOMER_MILLISECONDS = 1_000

type Rule = (candidates: readonly Candidate[], context: ChoiceContext) => Candidate | undefined

/** Rules in the order in which they are asked while all is well. */
const CALM_RULES: readonly Rule[] = [chooseNewcomer, chooseProbe, choosePacked, chooseUnknown, chooseLeastLoaded]
/** Rules while many requests fail: all sound upstreams get their part. */
const STRESSED_RULES: readonly Rule[] = [chooseNewcomer, chooseProbe, chooseLeastLoaded, chooseUnknown]

/** One of the candidates; undefined when only upstreams that failed just now are free. */
export function chooseUpstream (candidates: readonly Candidate[], context: ChoiceContext): Candidate | undefined {
  const usable = candidates.filter(({ standing }) => standing.standing(context.now) !== STANDING.avoided)
  for (const rule of context.isStressed ? STRESSED_RULES : CALM_RULES) {
    const chosen = rule(usable, context)
    if (chosen !== undefined) return chosen
  }
  return undefined
}

/** The candidate whose last failure is longest ago. */
export function chooseLongestQuiet (candidates: readonly Candidate[], now: number): Candidate | undefined {
  return lowest(candidates, ({ standing }) => -standing.sinceFailure(now))
}

function chooseNewcomer (candidates: readonly Candidate[], { now, mayProbe }: ChoiceContext): Candidate | undefined {
  return candidates.find(({ upstream, standing }) => {
    return standing.placed === 0 && standing.failures === 0 && (mayProbe || now - standing.firstSeenAt >= NEWCOMER_MILLISECONDS)
  })
}

/** An upstream that failed lately, for a request that may be repeated. */
function chooseProbe (candidates: readonly Candidate[], { now, mayProbe }: ChoiceContext): Candidate | undefined {
  if (!mayProbe) return undefined
  return lowest(candidates.filter(({ standing }) => standing.standing(now) === STANDING.trial), ({ standing }) => -standing.sinceFailure(now))
}

/** The fullest known good upstream that still has room, near ones first. */
function choosePacked (candidates: readonly Candidate[], { now }: ChoiceContext): Candidate | undefined {
  const known = candidates.filter((candidate) => {
    return candidate.standing.isKnownGood(now) && candidate.standing.slowness < SLOW_RATIO && fillAfter(candidate) <= PACKED_FILL
  })
  return lowest(known, (candidate) => (candidate.isNear ? 0 : 1) - fillAfter(candidate) / 2)
}

/** An upstream of which nothing new is known, good ones before those that failed. */
function chooseUnknown (candidates: readonly Candidate[], { now }: ChoiceContext): Candidate | undefined {
  const unknown = candidates.filter(({ standing }) => !standing.isKnownGood(now) && standing.inFlight === 0 && standing.isTrustedAgain(now))
  return lowest(unknown, (candidate) => costOf(candidate, now))
}

function chooseLeastLoaded (candidates: readonly Candidate[], { now }: ChoiceContext): Candidate | undefined {
  const good = candidates.filter(({ standing }) => standing.standing(now) === STANDING.good)
  return lowest(good, (candidate) => costOf(candidate, now)) ?? lowest(candidates, (candidate) => costOf(candidate, now))
}

function costOf (candidate: Candidate, now: number): number {
  const { upstream, standing, isNear } = candidate
  const cold = now < upstream.warmUntil ? COLD_COST : 0
  return fillAfter(candidate) * Math.max(1, standing.slowness) + (isNear ? 0 : OTHER_ZONE_COST) + cold
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
