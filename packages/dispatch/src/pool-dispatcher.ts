/** Places the requests of one pool on its upstreams, and keeps those that wait in the order of their urgency. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { InstanceStanding, type Standing } from './instance-standing.ts'
import { KindTimes } from './kind-times.ts'
import { RecentFailures } from './recent-failures.ts'
import { SoundShares } from './sound-shares.ts'
import { chooseUpstream, successOf, type Candidate } from './upstream-choice.ts'
import type { HeldUpstream } from './upstream-registry.ts'
import { WaitingLine, type WaitingQuestion } from './waiting-line.ts'

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

/** What a request would do with a free upstream now. */
export interface ChoiceTerms {
  /** Failing costs only a repeat. */
  readonly mayProbe: boolean
  /** How long it can wait and still be answered in time, in milliseconds; below 0 it can only be answered late. */
  readonly slackMilliseconds: number
  /** How long it can wait and still be answered at all. */
  readonly lateSlackMilliseconds: number
}

/** An upstream of which nothing is known is always good enough. */
const HIGHEST_LEAST_HOPE = 0.88
/** What a late answer is worth, in parts of one in time. */
const LATE_VALUE = 0.55

/** Upstreams and queue of one pool. */
export class PoolDispatcher {
  readonly standings = new Map<string, InstanceStanding>()
  readonly times = KindTimes.create()
  readonly failures = RecentFailures.create()
  readonly line = WaitingLine.create()
  private readonly shares = SoundShares.create()
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

  /** Upstreams that may get requests. */
  get serving (): HeldUpstream[] {
    return [...this.upstreams.values()].filter((upstream) => !upstream.announced.draining)
  }

  /** The pool as it is now. */
  view (name: string, now: number): PoolView {
    const standings = { sound: 0, suspect: 0 }
    let inFlight = 0
    for (const { announced } of this.serving) {
      const standing = this.standingOf(announced.instance)
      standings[standing.standing(now)] += 1
      inFlight += standing.inFlight
    }
    return { name, inFlight, waiting: this.line.length, standings }
  }

  standingOf (instance: string): InstanceStanding {
    const known = this.standings.get(instance)
    if (known !== undefined) return known
    const created = InstanceStanding.create(this.clock.monotonicMilliseconds(), this.shares)
    this.standings.set(instance, created)
    return created
  }

  /** Usual duration of requests like this one. */
  usualMilliseconds (question: PlacementQuestion): number {
    return this.times.usualMilliseconds(question.route) || this.times.meanMilliseconds()
  }

  /** An upstream with a free slot, or undefined when the request is better kept waiting. */
  choose (question: PlacementQuestion, asker: Asker, now: number, terms: ChoiceTerms): HeldUpstream | undefined {
    const eligible = this.eligible(question, asker, now)
    const free = eligible.filter(({ upstream, standing }) => !standing.isFull(upstream.announced.slots, now))
    const chosen = chooseUpstream(free, {
      now,
      mayProbe: terms.mayProbe && question.attempt === 0,
      isStressed: this.failures.isStressed(now),
      leastSuccess: this.leastHope(question.priority, terms, now) * Math.max(0, ...eligible.map((candidate) => successOf(candidate, now)))
    })
    return chosen?.upstream
  }

  /** Whether any upstream could ever take the request. */
  hasEligible (question: PlacementQuestion, asker: Asker, now: number): boolean {
    return this.eligible(question, asker, now).length > 0
  }

  /** Milliseconds that a question of this urgency would wait now for an upstream that answers. */
  expectedWait (priority: number, now: number): number {
    const slots = this.serving.reduce((sum, { announced }) => {
      return sum + announced.slots * (1 - this.standingOf(announced.instance).failureProbability(now))
    }, 0)
    return slots === 0 ? 0 : (this.line.ahead(priority) + 1) * this.times.meanMilliseconds() / slots
  }

  /** Places what waits as far as upstreams are free. */
  drainQueue (now: number, termsOf: (waiting: WaitingQuestion) => ChoiceTerms): void {
    for (const waiting of this.line.inOrder()) {
      const upstream = this.choose(waiting.question, waiting.asker, now, termsOf(waiting))
      if (upstream === undefined) continue
      this.line.withdraw(waiting)
      waiting.resolve(upstream)
    }
  }

  /** The longer a better upstream would have to be awaited, the worse a free one may be, in parts of the best one. */
  private leastHope (priority: number, { slackMilliseconds, lateSlackMilliseconds }: ChoiceTerms, now: number): number {
    if (lateSlackMilliseconds <= 0) return 0
    if (slackMilliseconds <= 0) return LATE_VALUE * hopeOf(this.expectedWait(Infinity, now), lateSlackMilliseconds)
    return Math.max(LATE_VALUE, HIGHEST_LEAST_HOPE * hopeOf(this.expectedWait(priority, now), slackMilliseconds))
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

/** Hope that a wait ends before the slack does, from 1 down to 0. */
function hopeOf (waitMilliseconds: number, slackMilliseconds: number): number {
  return Math.max(0, 1 - waitMilliseconds / slackMilliseconds)
}
