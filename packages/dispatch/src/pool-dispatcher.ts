/** Places the requests of one pool on its upstreams, and keeps those that wait in the order of their urgency. */
import type { PlacementQuestion, Suspicion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { InstanceStanding, STANDING, type Standing } from './instance-standing.ts'
import { KindTimes } from './kind-times.ts'
import { SoundShares } from './sound-shares.ts'
import { UnservedShare } from './unserved-share.ts'
import { chooseUpstream, LEFT_OUT_MILLISECONDS, successOf, type Candidate, type Choice } from './upstream-choice.ts'
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
/** Of the upstreams that the floor lets be without requests only this part is, as not all of the others need be sound. */
const LEFT_OUT_SHARE = 0.5
/** What a late answer is worth, in parts of one in time. */
const LATE_VALUE = 0.55

/** What holds of the whole pool for a short time. */
interface PoolState {
  readonly at: number
  /** Slots of all upstreams, each by its probability of an answer. */
  readonly answeringSlots: number
  readonly hasSound: boolean
  /** Part of the upstreams that got a request lately. */
  readonly usedShare: number
  /** Probability of an answer of the best upstream, free or not. */
  readonly bestSuccess: number
}

const STATE_MILLISECONDS = 10
/** Of each part of the line, this many are tried in vain before the rest waits on. */
const VAIN_TRIES = 4

/** Upstreams and queue of one pool. */
export class PoolDispatcher {
  readonly standings = new Map<string, InstanceStanding>()
  readonly times = KindTimes.create()
  readonly unserved = UnservedShare.create()
  readonly line = WaitingLine.create()
  private readonly shares = SoundShares.create()
  private readonly upstreams = new Map<string, Candidate>()
  /** Upstreams that may get requests. */
  private serving: readonly Candidate[] = []
  private state: PoolState = { at: -Infinity, answeringSlots: 0, hasSound: false, bestSuccess: 0, usedShare: 0 }

  private constructor (private readonly clock: Clock, private readonly leastUsedShare: number) {}

  /** `floorShare` is the part of the sound upstreams that must have requests; 0 for none. */
  static create (clock: Clock, floorShare: number): PoolDispatcher {
    return new PoolDispatcher(clock, floorShare === 0 ? 0 : 1 - (1 - floorShare) * LEFT_OUT_SHARE)
  }

  /** Takes note of an upstream that is new, changed or gone. */
  update (upstream: HeldUpstream): void {
    const { instance, gone } = upstream.announced
    const standing = this.standingOf(instance)
    if (gone) this.upstreams.delete(instance)
    else this.upstreams.set(instance, { upstream, standing })
    this.serving = [...this.upstreams.values()].filter((candidate) => !candidate.upstream.announced.draining)
    this.forgetState()
  }

  /** The pool as it is now. */
  view (name: string, now: number): PoolView {
    const standings = { sound: 0, suspect: 0 }
    let inFlight = 0
    for (const { standing } of this.serving) {
      standings[standing.standing(now)] += 1
      inFlight += standing.inFlight
    }
    return { name, inFlight, waiting: this.line.length, standings }
  }

  /** Upstreams that probably fail now. */
  suspicions (now: number): Suspicion[] {
    const suspects = this.serving.filter(({ standing }) => standing.standing(now) === STANDING.suspect)
    return suspects.map(({ upstream, standing }) => ({ instance: upstream.announced.instance, probability: standing.failureProbability(now) }))
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
  choose (question: PlacementQuestion, asker: Asker, now: number, terms: ChoiceTerms): Choice | undefined {
    const free = this.serving.filter((candidate) => {
      return !candidate.standing.isFull(candidate.upstream.announced.slots, now) && isEligible(candidate, question, asker, now)
    })
    if (free.length === 0) return undefined
    const isStressed = this.unserved.isStressed(now)
    return chooseUpstream(free, {
      now,
      zone: asker.zone,
      mayProbe: terms.mayProbe && question.attempt === 0,
      isSpreading: isStressed || this.stateAt(now).usedShare < this.leastUsedShare,
      isStressed,
      hasSound: this.stateAt(now).hasSound,
      leastSuccess: this.leastHope(question.priority, terms, now) * this.stateAt(now).bestSuccess
    })
  }

  /** What was worked out for the whole pool no longer holds, as after a failure. */
  forgetState (): void {
    this.state = { ...this.state, at: -Infinity }
  }

  /** Whether any upstream could ever take the request. */
  hasEligible (question: PlacementQuestion, asker: Asker, now: number): boolean {
    return this.serving.some((candidate) => isEligible(candidate, question, asker, now))
  }

  /** Milliseconds that a question of this urgency would wait now for an upstream that answers. */
  expectedWait (priority: number, now: number): number {
    const { answeringSlots } = this.stateAt(now)
    return answeringSlots === 0 ? 0 : (this.line.ahead(priority) + 1) * this.times.meanMilliseconds() / answeringSlots
  }

  /** Places what waits as far as upstreams are free. */
  drainQueue (now: number, termsOf: (waiting: WaitingQuestion) => ChoiceTerms): void {
    for (const part of this.line.parts()) this.drainPart(part, now, termsOf)
  }

  private drainPart (part: readonly WaitingQuestion[], now: number, termsOf: (waiting: WaitingQuestion) => ChoiceTerms): void {
    let vain = 0
    for (const waiting of part) {
      const choice = this.choose(waiting.question, waiting.asker, now, termsOf(waiting))
      if (choice === undefined) {
        vain += 1
        if (vain >= VAIN_TRIES) return
        continue
      }
      this.line.withdraw(waiting)
      waiting.resolve(choice)
    }
  }

  /** The longer a better upstream would have to be awaited, the worse a free one may be, in parts of the best one. */
  private leastHope (priority: number, { slackMilliseconds, lateSlackMilliseconds }: ChoiceTerms, now: number): number {
    if (lateSlackMilliseconds <= 0) return 0
    if (slackMilliseconds <= 0) return LATE_VALUE * hopeOf(this.expectedWait(Infinity, now), lateSlackMilliseconds)
    return Math.max(LATE_VALUE, HIGHEST_LEAST_HOPE * hopeOf(this.expectedWait(priority, now), slackMilliseconds))
  }

  private stateAt (now: number): PoolState {
    if (now - this.state.at < STATE_MILLISECONDS) return this.state
    let answeringSlots = 0
    let bestSuccess = 0
    let used = 0
    let hasSound = false
    for (const { upstream, standing } of this.serving) {
      const success = successOf(standing, now)
      answeringSlots += upstream.announced.slots * success
      bestSuccess = Math.max(bestSuccess, success)
      if (standing.standing(now) === STANDING.sound) hasSound = true
      if (standing.sincePlaced(now) < LEFT_OUT_MILLISECONDS) used += 1
    }
    this.state = { at: now, answeringSlots, hasSound, bestSuccess, usedShare: used / Math.max(1, this.serving.length) }
    return this.state
  }
}

function isEligible ({ upstream, standing }: Candidate, question: PlacementQuestion, asker: Asker, now: number): boolean {
  return !question.excluded.includes(upstream.announced.instance) && standing.isReachableFrom(asker.entry, now)
}

/** Hope that a wait ends before the slack does, from 1 down to 0. */
function hopeOf (waitMilliseconds: number, slackMilliseconds: number): number {
  return Math.max(0, 1 - waitMilliseconds / slackMilliseconds)
}
