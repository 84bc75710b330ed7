/** Places the requests of one pool on its upstreams, and keeps those that wait in the order of their urgency. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { InstanceStanding, STANDING, type Standing } from './instance-standing.ts'
import { KindTimes } from './kind-times.ts'
import { RecentFailures } from './recent-failures.ts'
import { chooseLongestQuiet, chooseUpstream, type Candidate } from './upstream-choice.ts'
import type { HeldUpstream } from './upstream-registry.ts'

/** What a pool looks like now. */
export interface PoolView {
  readonly name: string
  readonly inFlight: number
  readonly waiting: number
  /** Upstreams by standing. */
  readonly standings: Readonly<Record<Standing, number>>
}

/** Who asks. */
export interface Asker {
  readonly entry: string
  readonly zone: string
}

/** A question that waits for a free upstream. */
export interface WaitingQuestion {
  readonly question: PlacementQuestion
  readonly asker: Asker
  readonly resolve: (upstream: HeldUpstream | undefined) => void
}

/** Upstreams and queue of one pool. */
export class PoolDispatcher {
  readonly standings = new Map<string, InstanceStanding>()
  readonly times = KindTimes.create()
  readonly failures = RecentFailures.create()
  private readonly queue: WaitingQuestion[] = []
  private upstreams = new Map<string, HeldUpstream>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): PoolDispatcher {
    return new PoolDispatcher(clock)
  }

  /** Takes note of an upstream that is new, changed or gone. */
  update (upstream: HeldUpstream): void {
    const { instance, gone } = upstream.announced
    if (gone) this.upstreams.delete(instance)
    else this.upstreams.set(instance, upstream)
    this.standingOf(instance)
  }

  get waiting (): number {
    return this.queue.length
  }

  /** Upstreams that may get requests. */
  get serving (): HeldUpstream[] {
    return [...this.upstreams.values()].filter((upstream) => !upstream.announced.draining)
  }

  /** The pool as it is now. */
  view (name: string, now: number): PoolView {
    const standings = { good: 0, trial: 0, avoided: 0 }
    let inFlight = 0
    for (const { announced } of this.serving) {
      const standing = this.standingOf(announced.instance)
      standings[standing.standing(now)] += 1
      inFlight += standing.inFlight
    }
    return { name, inFlight, waiting: this.waiting, standings }
  }

  standingOf (instance: string): InstanceStanding {
    const known = this.standings.get(instance)
    if (known !== undefined) return known
    const created = InstanceStanding.create(this.clock.monotonicMilliseconds())
    this.standings.set(instance, created)
    return created
  }

  /** An upstream with a free slot, or undefined when the request must wait. */
  choose (question: PlacementQuestion, asker: Asker, now: number, mayProbe: boolean): HeldUpstream | undefined {
    const eligible = this.eligible(question, asker, now)
    const free = eligible.filter(({ upstream, standing }) => !standing.isFull(upstream.announced.slots, now))
    const chosen = chooseUpstream(free, { now, mayProbe: mayProbe && question.attempt === 0, isStressed: this.failures.isStressed(now) })
    if (chosen !== undefined) return chosen.upstream
    const isHopeless = eligible.every(({ standing }) => standing.standing(now) === STANDING.avoided)
    return isHopeless ? chooseLongestQuiet(free, now)?.upstream : undefined
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

  private eligible (question: PlacementQuestion, asker: Asker, now: number): Candidate[] {
    const candidates: Candidate[] = []
    for (const upstream of this.serving) {
      const standing = this.standingOf(upstream.announced.instance)
      if (question.excluded.includes(upstream.announced.instance) || !standing.isReachableFrom(asker.entry, now)) continue
      candidates.push({ upstream, standing, isNear: upstream.announced.zone === asker.zone })
    }
    return candidates
  }
}
