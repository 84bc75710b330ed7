/** Places the requests of one pool on its upstreams, and keeps those that wait in the order of their urgency. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { InstanceStanding, STANDING } from './instance-standing.ts'
import { KindTimes } from './kind-times.ts'
import type { HeldUpstream } from './upstream-registry.ts'

/** Extra cost of an upstream in another zone, in parts of its slots. */
const OTHER_ZONE_COST = 0.34
/** Extra cost of an upstream that started just now. */
const COLD_COST = 0.6
/** Above this cost of the best good upstream, one that failed lately may be tried with any request. */
const CROWDED_COST = 1.2
/** A new upstream gets its first request before those of equal load. */
const NEWCOMER_GAIN = 0.5
const SLOWEST_COUNTED = 8

/** Who asks. */
export interface Asker {
  readonly entry: string
  readonly zone: string
}

/** A question that waits for a free upstream. */
export interface WaitingQuestion {
  readonly question: PlacementQuestion
  readonly asker: Asker
  readonly arrivedAt: number
  readonly resolve: (upstream: HeldUpstream | undefined) => void
}

interface Candidate {
  readonly upstream: HeldUpstream
  readonly standing: InstanceStanding
  readonly cost: number
}

/** Upstreams and queue of one pool. */
export class PoolDispatcher {
  readonly standings = new Map<string, InstanceStanding>()
  readonly times = KindTimes.create()
  private readonly queue: WaitingQuestion[] = []
  private upstreams = new Map<string, HeldUpstream>()

  static create (): PoolDispatcher {
    return new PoolDispatcher()
  }

  /** Takes note of an upstream that is new, changed or gone. */
  update (upstream: HeldUpstream): void {
    const { instance, gone } = upstream.announced
    if (gone) this.upstreams.delete(instance)
    else this.upstreams.set(instance, upstream)
  }

  get waiting (): number {
    return this.queue.length
  }

  /** Upstreams that may get requests. */
  get serving (): HeldUpstream[] {
    return [...this.upstreams.values()].filter((upstream) => !upstream.announced.draining)
  }

  standingOf (instance: string): InstanceStanding {
    const known = this.standings.get(instance)
    if (known !== undefined) return known
    const created = InstanceStanding.create()
    this.standings.set(instance, created)
    return created
  }

  /** An upstream with a free slot, or undefined when the request must wait. */
  choose (question: PlacementQuestion, asker: Asker, now: number, mayProbe: boolean): HeldUpstream | undefined {
    const eligible = this.eligible(question, asker, now)
    const free = eligible.filter(({ upstream, standing }) => !standing.isFull(upstream.announced.slots, now))
    const good = lowest(free.filter(({ standing }) => standing.standing(now) === STANDING.good))
    const trial = this.chooseTrial(free, question, now, mayProbe, good)
    if (trial !== undefined) return trial.upstream
    if (good !== undefined) return good.upstream
    const usable = eligible.some(({ standing }) => standing.standing(now) !== STANDING.avoided)
    return usable ? undefined : longestQuiet(free, now)?.upstream
  }

  /** Whether any upstream could ever take the request. */
  hasEligible (question: PlacementQuestion, asker: Asker, now: number): boolean {
    return this.eligible(question, asker, now).length > 0
  }

  /** Milliseconds that a question of this urgency would wait now. */
  expectedWait (priority: number, now: number): number {
    const ahead = this.queue.filter((waiting) => waiting.question.priority <= priority).length
    const slots = this.serving.reduce((sum, { announced }) => {
      return sum + (this.standingOf(announced.instance).standing(now) === STANDING.good ? announced.slots : 0)
    }, 0)
    return slots === 0 ? 0 : ahead * this.times.meanMilliseconds() / slots
  }

  enqueue (waiting: WaitingQuestion): void {
    const place = this.queue.findIndex((other) => other.question.priority > waiting.question.priority)
    if (place < 0) this.queue.push(waiting)
    else this.queue.splice(place, 0, waiting)
  }

  /** Takes a question back; false when it no longer waits. */
  withdraw (waiting: WaitingQuestion): boolean {
    const place = this.queue.indexOf(waiting)
    if (place < 0) return false
    this.queue.splice(place, 1)
    return true
  }

  /** Places what waits as far as upstreams are free. */
  drainQueue (now: number, mayProbe: (question: PlacementQuestion) => boolean): void {
    for (const waiting of [...this.queue]) {
      const upstream = this.choose(waiting.question, waiting.asker, now, mayProbe(waiting.question))
      if (upstream === undefined) continue
      this.withdraw(waiting)
      waiting.resolve(upstream)
    }
  }

  /** A failed upstream is tried with what may be repeated, or when the good ones are crowded or the failure is long ago. */
  private chooseTrial (
    free: readonly Candidate[], question: PlacementQuestion, now: number, mayProbe: boolean, good: Candidate | undefined
  ): Candidate | undefined {
    const trial = lowest(free.filter(({ standing }) => standing.standing(now) === STANDING.trial))
    if (trial === undefined) return undefined
    if (question.mayRepeat && question.attempt === 0 && mayProbe) return trial
    if (good === undefined || good.cost > CROWDED_COST) return trial
    return trial.standing.isTrustedAgain(now) && trial.cost < good.cost ? trial : undefined
  }

  private eligible (question: PlacementQuestion, asker: Asker, now: number): Candidate[] {
    const candidates: Candidate[] = []
    for (const upstream of this.serving) {
      const standing = this.standingOf(upstream.announced.instance)
      if (question.excluded.includes(upstream.announced.instance) || !standing.isReachableFrom(asker.entry, now)) continue
      candidates.push({ upstream, standing, cost: costOf(upstream, standing, asker, now) })
    }
    return candidates
  }
}

function costOf (upstream: HeldUpstream, standing: InstanceStanding, asker: Asker, now: number): number {
  const { slots, zone } = upstream.announced
  const load = (standing.inFlight + 1) / Math.max(1, slots) * Math.min(SLOWEST_COUNTED, Math.max(1, standing.slowness))
  const distance = zone === asker.zone ? 0 : OTHER_ZONE_COST
  const cold = now < upstream.warmUntil ? COLD_COST : 0
  const newcomer = standing.placed === 0 ? NEWCOMER_GAIN : 0
  return load + distance + cold - newcomer
}

function lowest (candidates: readonly Candidate[]): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>((best, candidate) => {
    return best === undefined || candidate.cost < best.cost ? candidate : best
  }, undefined)
}

function longestQuiet (candidates: readonly Candidate[], now: number): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>((best, candidate) => {
    return best === undefined || candidate.standing.sinceFailure(now) > best.standing.sinceFailure(now) ? candidate : best
  }, undefined)
}
