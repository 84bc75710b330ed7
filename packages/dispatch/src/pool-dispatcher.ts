/** Places the requests of one pool on its upstreams, and queues requests that must wait. */
import type { PlacementQuestion, Suspicion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { defaultPolicy, type PolicySource } from './dispatch-policy.ts'
import { expectedFinishOf } from './expected-finish.ts'
import { InstanceStanding, STANDING, type Standing } from './instance-standing.ts'
import { PoolCosts, type StartedWork } from './pool-costs.ts'
import { PoolStateCache } from './pool-state.ts'
import type { CostEstimate } from './request-costs.ts'
import { ResponseTimes } from './response-times.ts'
import { SoundShares } from './sound-shares.ts'
import { UnservedShare } from './unserved-share.ts'
import { chooseUpstream, type Candidate, type ChoiceContext, type UpstreamChoice } from './upstream-choice.ts'
import type { UpstreamLimits } from './upstream-limits.ts'
import type { RegisteredUpstream } from './upstream-registry.ts'
import { WaitingQueue, type WaitingQuestion } from './waiting-queue.ts'
import { NO_EVACUATIONS, type DispatcherZoneView } from './zone-view.ts'

/** The state of a pool at one moment, for logs and metrics. */
export interface PoolSnapshot {
  readonly name: string
  readonly inFlight: number
  readonly waiting: number
  /** When the oldest waiting request began to wait, in monotonic milliseconds; Infinity for none. */
  readonly waitingSince: number
  /** Number of upstreams that state a limit on the requests that they accept. */
  readonly limited: number
  /** Number of upstreams that are cold and whose use is limited for that. */
  readonly cold: number
  /** Number of upstreams by standing. */
  readonly standings: Readonly<Record<Standing, number>>
  /** Refused callers for whose return room is reserved; absent without fair admission. */
  readonly reservations?: number
  /** The longest wait of each priority with waiting requests; absent without fair admission. */
  readonly longestWaits?: readonly { readonly priority: number, readonly milliseconds: number }[]
}

/** The entry that a request came from. */
export interface RequestingEntry {
  readonly entry: string
  readonly zone: string
}

/** Constraints of a request on the choice of its upstream. */
export interface ChoiceConstraints {
  /** Whether the request may be sent again after a failure, so that it can probe a suspect upstream. */
  readonly mayProbe: boolean
  /** How long it can wait and still be answered in time, in milliseconds; below 0 it can only be answered late. */
  readonly slackMilliseconds: number
  /** How long it can wait and still be answered at all, in milliseconds. */
  readonly lateSlackMilliseconds: number
  /** Time left until its target, in milliseconds; below 0 it is late. */
  readonly targetLeftMilliseconds: number
  /** Time left until its deadline, in milliseconds. */
  readonly patienceLeftMilliseconds: number
}

/** Highest required probability of success, relative to the best upstream; low enough that an upstream without evidence always qualifies. */
const MAXIMUM_SUCCESS_THRESHOLD = 0.88
/** Share of the idle upstreams permitted by the floor that may really be idle; a margin, since some of the active ones may be suspect. */
const IDLE_SHARE = 0.5
/** Value of a late answer, relative to one in time. */
const LATE_VALUE = 0.55

/** Free upstreams that a request is offered at once; larger pools are examined in turn. */
const SAMPLE_UPSTREAMS = 32
/** The same in larger pools where the expected end at each is compared, which costs twice as much. */
const SAMPLE_UPSTREAMS_BY_COST = 16
/** A group of waiting requests is no longer drained after this many could not be placed. */
const MAXIMUM_FAILED_TRIES = 4
/** Requests that wait for upstreams of some regions only are passed over without counting, up to this place in their group. */
const MAXIMUM_PASSED_OVER = 32

/** The upstreams and the queue of one pool. */
export class PoolDispatcher {
  readonly standings = new Map<string, InstanceStanding>()
  readonly responseTimes = ResponseTimes.create()
  readonly costs: PoolCosts
  readonly unserved = UnservedShare.create()
  readonly line = WaitingQueue.create()
  private readonly shares = SoundShares.create()
  private readonly upstreams = new Map<string, Candidate>()
  /** Upstreams that accept new requests. */
  private serving: readonly Candidate[] = []
  /** Where the examination of the upstreams stopped last. */
  private nextExamined = -1
  /** The free upstreams among which a request is placed; kept, as it is filled for each request. */
  private readonly sample: Candidate[] = []
  private readonly state: PoolStateCache

  private constructor (
    private readonly clock: Clock,
    private readonly limits: UpstreamLimits,
    private readonly minimumActiveShare: number,
    readonly policy: PolicySource,
    private readonly zones: DispatcherZoneView
  ) {
    this.costs = PoolCosts.create(policy)
    this.state = PoolStateCache.create({ responseTimes: this.responseTimes, costs: this.costs, zones })
  }

  /** `floorShare` is the share of sound upstreams that must receive requests; 0 for none. */
  static create (
    clock: Clock, limits: UpstreamLimits, floorShare: number, policy: PolicySource = defaultPolicy, zones: DispatcherZoneView = NO_EVACUATIONS
  ): PoolDispatcher {
    return new PoolDispatcher(clock, limits, floorShare === 0 ? 0 : 1 - (1 - floorShare) * IDLE_SHARE, policy, zones)
  }

  /** Adds, updates or removes an upstream. */
  update (upstream: RegisteredUpstream): void {
    const { instance, gone, born } = upstream.announced
    const standing = this.standingOf(instance)
    standing.availability.recordStart(born)
    if (gone) {
      this.upstreams.delete(instance)
      this.costs.forget(instance)
    } else {
      this.upstreams.set(instance, { upstream, standing, work: this.costs.upstream(instance) })
    }
    this.updateServing()
  }

  /** Determines again which upstreams accept new requests, as after a change of the evacuated zones. */
  updateServing (): void {
    this.serving = [...this.upstreams.values()].filter((candidate) => this.isServing(candidate))
    this.invalidateState()
  }

  /** Whether all upstreams that would accept requests are in evacuated zones. */
  get isEvacuated (): boolean {
    return this.serving.length === 0 && [...this.upstreams.values()].some((candidate) => !isLeaving(candidate))
  }

  /** The current state of the pool. */
  snapshot (name: string, now: number): PoolSnapshot {
    const standings = { sound: 0, suspect: 0 }
    let inFlight = 0
    let limited = 0
    let cold = 0
    for (const { standing } of this.serving) {
      standings[standing.standing(now)] += 1
      inFlight += standing.inFlight
      if (standing.limit.requestsPerSecond !== undefined) limited += 1
      if (standing.limit.isCold(now)) cold += 1
    }
    return { name, inFlight, limited, cold, waiting: this.line.length, waitingSince: this.line.oldest, standings }
  }

  /** Suspect upstreams, with their probability of failure. */
  suspicions (now: number): Suspicion[] {
    const suspects = this.serving.filter(({ standing }) => standing.standing(now) === STANDING.suspect)
    return suspects.map(({ upstream, standing }) => ({ instance: upstream.announced.instance, probability: standing.failureProbability(now) }))
  }

  /** Returns the tracked state of an upstream, and creates it on first use. */
  standingOf (instance: string): InstanceStanding {
    const known = this.standings.get(instance)
    if (known !== undefined) return known
    const created = InstanceStanding.create(this.clock.monotonicMilliseconds(), this.shares, this.limits.of(instance))
    this.standings.set(instance, created)
    return created
  }

  /** The estimated cost of a request; undefined without the policy or while nothing is known. */
  estimate (question: PlacementQuestion): CostEstimate | undefined {
    return this.costs.estimate(question, this.clock.monotonicMilliseconds())
  }

  /** Tracks the work of a request that was placed on an upstream. */
  startWork (question: PlacementQuestion, instance: string, now: number): StartedWork | undefined {
    const slots = this.upstreams.get(instance)?.upstream.announced.slots ?? 0
    return this.costs.start(question, instance, this.standingOf(instance).inFlight, slots, now)
  }

  /** Mean duration of requests on the same route, or of all requests of the pool while that is unknown; that of requests like this one where it is longer. */
  usualMilliseconds (question: PlacementQuestion): number {
    const known = this.responseTimes.usualMilliseconds(question.route) || this.responseTimes.meanMilliseconds()
    return Math.max(known, this.estimate(question)?.mean ?? 0)
  }

  /** Chooses an upstream with a free slot; undefined when the request should wait. Looks at some of a large pool only, unless none of them will do. */
  choose (question: PlacementQuestion, requester: RequestingEntry, now: number, terms: ChoiceConstraints): UpstreamChoice | undefined {
    let context: ChoiceContext | undefined
    if (this.isSmall) this.nextExamined = -1
    for (let examined = 0; examined < this.serving.length;) {
      examined += this.sampleFree(question, requester, now, this.serving.length - examined)
      if (this.sample.length === 0) continue
      context ??= this.contextOf(question, requester, now, terms)
      const choice = chooseUpstream(this.sample, context)
      if (choice !== undefined) return choice
    }
    return undefined
  }

  /** Whether all upstreams fit into one sample. */
  private get isSmall (): boolean {
    return this.serving.length <= SAMPLE_UPSTREAMS
  }

  /** Chooses one upstream, which may just have become free, for a waiting request; undefined when the request should wait on. */
  private chooseOnly (candidate: Candidate, { question, requester }: WaitingQuestion, now: number, terms: ChoiceConstraints): UpstreamChoice | undefined {
    if (!this.isFree(candidate, question, requester, now)) return undefined
    return chooseUpstream([candidate], this.contextOf(question, requester, now, terms))
  }

  /** Fills `sample` with the next free upstreams after those of the previous call, out of at most `limit`; returns how many were examined. */
  private sampleFree (question: PlacementQuestion, requester: RequestingEntry, now: number, limit: number): number {
    this.sample.length = 0
    let examined = 0
    const wanted = this.costs.isEnabled && !this.isSmall ? SAMPLE_UPSTREAMS_BY_COST : SAMPLE_UPSTREAMS
    while (examined < limit && this.sample.length < wanted) {
      this.nextExamined = (this.nextExamined + 1) % this.serving.length
      examined += 1
      const candidate = this.serving[this.nextExamined] as Candidate
      if (this.isFree(candidate, question, requester, now)) this.sample.push(candidate)
    }
    return examined
  }

  private contextOf (question: PlacementQuestion, requester: RequestingEntry, now: number, terms: ChoiceConstraints): ChoiceContext {
    const isStressed = this.unserved.isStressed(now)
    const { activeShare, hasSound, bestSuccess, outlook } = this.state.at(this.serving, now)
    const estimate = this.costs.estimate(question, now)
    return {
      now,
      zone: requester.zone,
      mayProbe: terms.mayProbe && question.attempt === 0,
      isSpreading: isStressed || activeShare < this.minimumActiveShare,
      isStressed,
      hasSound,
      expected: expectedFinishOf({ estimate, outlook, question, zone: requester.zone, terms, waiting: this.line.length, now }),
      minimumSuccess: this.successThreshold(question.priority, terms, now) * bestSuccess
    }
  }

  /** Discards the cached pool state, as after a failure. */
  invalidateState (): void {
    this.state.invalidate()
  }

  /** Whether any upstream, full or not, may take the request. */
  hasEligibleUpstream (question: PlacementQuestion, requester: RequestingEntry, now: number): boolean {
    return this.serving.some((candidate) => this.isEligible(candidate, question, requester, now))
  }

  /** Slots of all upstreams, weighted by their probability of success. */
  effectiveSlots (now: number): number {
    return this.state.at(this.serving, now).effectiveSlots
  }

  /** Expected wait of a new request with this priority, in milliseconds. */
  expectedWait (priority: number, now: number): number {
    const { effectiveSlots, outlook } = this.state.at(this.serving, now)
    if (outlook !== undefined) return outlook.waitMilliseconds(outlook.workOf(this.line.ahead(priority), priority, now))
    return effectiveSlots === 0 ? 0 : (this.line.ahead(priority) + 1) * this.responseTimes.meanMilliseconds() / effectiveSlots
  }

  /** Places waiting requests while suitable upstreams are free. */
  drainQueue (now: number, constraintsOf: (waiting: WaitingQuestion) => ChoiceConstraints): void {
    const hasRoom = (): boolean => this.serving.some((candidate) => this.hasFreeSlot(candidate, now))
    this.drainWith(hasRoom, (waiting) => this.choose(waiting.question, waiting.requester, now, constraintsOf(waiting)))
  }

  /** Places a waiting request whose time is running out, if a suitable upstream is free. In a small pool, the requests before it go first. */
  tryPlace (waiting: WaitingQuestion, now: number, constraintsOf: (waiting: WaitingQuestion) => ChoiceConstraints): void {
    if (this.isSmall) return this.drainQueue(now, constraintsOf)
    const choice = this.choose(waiting.question, waiting.requester, now, constraintsOf(waiting))
    if (choice !== undefined) this.placeWaiting(waiting, choice)
  }

  /** Places waiting requests after one upstream may have become free. In a large pool, only that one is offered. */
  drainTo (instance: string, now: number, constraintsOf: (waiting: WaitingQuestion) => ChoiceConstraints): void {
    if (this.isSmall) return this.drainQueue(now, constraintsOf)
    const candidate = this.upstreams.get(instance)
    if (candidate === undefined || !this.isServing(candidate)) return
    this.drainWith(() => this.hasFreeSlot(candidate, now), (waiting) => this.chooseOnly(candidate, waiting, now, constraintsOf(waiting)))
  }

  /** Offers upstreams to the first waiting requests, as long as any of them has room. */
  private drainWith (hasRoom: () => boolean, choose: (waiting: WaitingQuestion) => UpstreamChoice | undefined): void {
    for (const group of this.line.groups()) {
      let failedTries = 0
      let place = 0
      while (failedTries < MAXIMUM_FAILED_TRIES && place < MAXIMUM_PASSED_OVER) {
        const waiting = group.at(place)
        if (waiting === undefined) break
        if (!hasRoom()) return
        const choice = choose(waiting)
        if (choice !== undefined) {
          this.placeWaiting(waiting, choice)
          continue
        }
        place += 1
        if (waiting.question.allowedRegions.length === 0) failedTries += 1
      }
    }
  }

  private placeWaiting (waiting: WaitingQuestion, choice: UpstreamChoice): void {
    this.line.serve(waiting)
    waiting.resolve(choice)
  }

  /** Required probability of success, relative to the best upstream; it falls as waiting for a better one uses up the request's slack. */
  private successThreshold (priority: number, { slackMilliseconds, lateSlackMilliseconds }: ChoiceConstraints, now: number): number {
    if (lateSlackMilliseconds <= 0) return 0
    if (slackMilliseconds <= 0) return LATE_VALUE * remainingSlackShare(this.expectedWait(Infinity, now), lateSlackMilliseconds)
    return Math.max(LATE_VALUE, MAXIMUM_SUCCESS_THRESHOLD * remainingSlackShare(this.expectedWait(priority, now), slackMilliseconds))
  }

  private isServing (candidate: Candidate): boolean {
    return !isLeaving(candidate) && !this.zones.isEvacuated(candidate.upstream.announced.zone)
  }

  private isFree (candidate: Candidate, question: PlacementQuestion, requester: RequestingEntry, now: number): boolean {
    return this.hasFreeSlot(candidate, now) && this.isEligible(candidate, question, requester, now)
  }

  private isEligible ({ upstream, standing }: Candidate, question: PlacementQuestion, requester: RequestingEntry, now: number): boolean {
    const { instance, zone } = upstream.announced
    return !question.excluded.includes(instance) && this.zones.isAllowed(zone, question.allowedRegions) && standing.isReachableFrom(requester.entry, now)
  }

  private hasFreeSlot ({ upstream, standing }: Candidate, now: number): boolean {
    return !standing.isFull(this.zones.usableSlots(upstream.announced.zone, upstream.announced.slots, now), now)
  }
}

/** Whether it announced that it leaves, or said so in a response. */
function isLeaving ({ upstream, standing }: Candidate): boolean {
  return upstream.announced.draining || standing.availability.isLeaving
}

/** Share of the slack that is left after a wait, from 1 down to 0. */
function remainingSlackShare (waitMilliseconds: number, slackMilliseconds: number): number {
  return Math.max(0, 1 - waitMilliseconds / slackMilliseconds)
}
