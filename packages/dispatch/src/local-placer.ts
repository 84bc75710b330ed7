/** Places requests with the knowledge of a single entry, while no dispatcher can be reached. */
import {
  PlacementOutcome,
  type PlacementEnd, type PlacementQuestion, type Suspicion, type UpstreamLimit, type UpstreamNotice
} from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { pickOne, type RandomSource } from '@hickoryspoke/runtime/random'
import { ColdLimit, TurnShare } from './cold-limit.ts'
import { CustomerRateLimiter, type AdmissionReport, type RateLimit } from './customer-rate-limiter.ts'
import { FleetSeat } from './fleet-seat.ts'
import { InstanceStanding, STANDING } from './instance-standing.ts'
import { SoundShares } from './sound-shares.ts'
import { RecentAdmissions } from './recent-admissions.ts'
import { UpstreamLimits } from './upstream-limits.ts'
import type { RegisteredUpstream, UpstreamRegistry } from './upstream-registry.ts'
import { NO_EVACUATIONS, type ZoneView } from './zone-view.ts'

/** Dependencies and settings of a `LocalPlacer`. */
export interface LocalPlacerOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly registry: UpstreamRegistry
  readonly entry: string
  readonly zone: string
  /** Window within which admitted requests are remembered, in milliseconds. */
  readonly windowMilliseconds: number
  /** The evacuated zones; none by default. */
  readonly zones?: ZoneView
}

/** An entry's own view of the upstreams and of the rate limits. */
export class LocalPlacer {
  private readonly standings = new Map<string, InstanceStanding>()
  private readonly shares = SoundShares.create()
  private readonly limits: UpstreamLimits
  private readonly seat = FleetSeat.create()
  private rates = CustomerRateLimiter.createWithFullBursts()
  private readonly recentAdmissions: RecentAdmissions
  private limitOf: (customer: string) => RateLimit | undefined = () => undefined
  private readonly zones: ZoneView

  private constructor (private readonly options: LocalPlacerOptions) {
    this.zones = options.zones ?? NO_EVACUATIONS
    const { clock, registry } = options
    const turns = { clock, allowance: registry.cold.allowance, seat: () => this.seat.current }
    this.limits = UpstreamLimits.create(clock, (instance) => ColdLimit.create(registry, instance, TurnShare.create(turns, instance)))
    this.recentAdmissions = RecentAdmissions.create(options.clock.monotonicMilliseconds(), options.windowMilliseconds)
    options.registry.onChange((changed) => this.forgetEarlierStarts(changed))
  }

  static create (options: LocalPlacerOptions): LocalPlacer {
    return new LocalPlacer(options)
  }

  /** Counts a request that the dispatcher admitted and placed. */
  countAdmission (customer: string): void {
    this.recentAdmissions.count(customer, this.options.clock.monotonicMilliseconds())
  }

  /**
   * Starts a period without a dispatcher. This entry gets an equal share of every rate limit, or the rate at which it
   * recently admitted a customer's requests if that is higher. The parts of all entries together exceed the limit
   * only if a customer's requests move to other entries. Bursts are divided equally, and so are the limits of upstreams; cold
   * ones are used in turn.
   * An entry begins with a random part of a request to each limited upstream, so that the entries do not all send at once.
   */
  startStandalone (entries: number, limitOf: (customer: string) => RateLimit | undefined): void {
    const entryCount = Math.max(1, entries)
    const recentRates = this.recentAdmissions.rates(this.options.clock.monotonicMilliseconds())
    this.limitOf = (customer) => {
      const terms = limitOf(customer)
      if (terms === undefined) return undefined
      return { rate: terms.rate === 0 ? 0 : Math.max(terms.rate / entryCount, recentRates.get(customer) ?? 0), burst: terms.burst / entryCount }
    }
    this.rates = CustomerRateLimiter.createWithFullBursts()
    this.rates.setLimits((customer) => this.limitOf(customer))
    this.limits.usePart(() => ({ share: 1 / entryCount, initialTokens: this.options.random.next() }))
  }

  /** Takes over this entry's place among the entries that the leader knows; undefined where none is needed. */
  takeSeat (entries: number, position: number | undefined): void {
    this.seat.receive(entries, position, this.options.clock.monotonicMilliseconds())
  }

  /** Takes one request from this entry's part of the customer's rate limit; false when it is used up. */
  admit (customer: string): boolean {
    if (customer === '') return true
    const now = this.options.clock.monotonicMilliseconds()
    if (!this.rates.tryTake(customer, now)) return false
    this.recentAdmissions.count(customer, now)
    return true
  }

  /** What this entry admitted within the last window, for a new dispatcher; `entries` is the number of entries, 0 while unknown. */
  report (entries: number): AdmissionReport {
    const now = this.options.clock.monotonicMilliseconds()
    return { admitted: this.recentAdmissions.admitted(now), fleetShare: this.recentAdmissions.coversWindow(now) && entries > 0 ? 1 / entries : 0 }
  }

  /** Chooses the less loaded of two random upstreams, sound ones if there are any; the first is from the own zone if several are there. */
  choose (question: PlacementQuestion): RegisteredUpstream | undefined {
    const now = this.options.clock.monotonicMilliseconds()
    const eligible = this.options.registry.present().filter(({ announced }) => {
      return announced.pool === question.pool && !announced.draining && !question.excluded.includes(announced.instance) &&
        this.zones.isAllowed(announced.zone, question.allowedRegions) &&
        !this.isUnwanted(announced.instance) && this.standingOf(announced.instance).isReachableFrom(this.options.entry, now) &&
        this.limits.of(announced.instance).allows(now)
    })
    const sound = eligible.filter(({ announced }) => this.standingOf(announced.instance).standing(now) === STANDING.sound)
    const usable = sound.length > 0 ? sound : eligible
    if (usable.length === 0) return undefined
    const sameZone = usable.filter(({ announced }) => announced.zone === this.options.zone)
    const first = pickOne(this.options.random, sameZone.length > 1 ? sameZone : usable)
    const second = pickOne(this.options.random, usable)
    const chosen = this.load(second) < this.load(first) ? second : first
    this.standingOf(chosen.announced.instance).place(now)
    return chosen
  }

  /** Takes over the dispatcher's suspicions. */
  adoptSuspicions (suspicions: readonly Suspicion[]): void {
    const now = this.options.clock.monotonicMilliseconds()
    for (const { instance, probability } of suspicions) this.standingOf(instance).adoptProbability(probability, now)
  }

  /** Limits of upstreams that this entry knows of. */
  statedLimits (): UpstreamLimit[] {
    return this.limits.stated()
  }

  /** Takes over the limits known to the dispatcher. */
  adoptLimits (limits: readonly UpstreamLimit[]): void {
    this.limits.replace(limits)
  }

  /** Records that an upstream told this entry that it wants no requests. */
  recordNotice (instance: string, notice: UpstreamNotice): void {
    const born = notice.born ?? this.options.registry.find(instance)?.announced.born
    this.standingOf(instance).availability.record({ ...notice, born }, this.options.entry, this.options.clock.monotonicMilliseconds())
  }

  /** What an upstream told this entry; undefined if it accepts requests as far as this entry knows. */
  noticeOf (instance: string): UpstreamNotice | undefined {
    return this.standings.get(instance)?.availability.noticeFor(this.options.entry, this.options.clock.monotonicMilliseconds())
  }

  /** Whether an upstream told this entry that it leaves, or asked it for a pause that is not over, or its zone is evacuated. */
  isUnwanted (instance: string): boolean {
    return this.noticeOf(instance) !== undefined || this.zones.isEvacuated(this.options.registry.find(instance)?.announced.zone ?? '')
  }

  /** Whether a request that may go only to these regions may go to the upstream; an empty list is no restriction. */
  isAllowed (instance: string, allowedRegions: readonly string[]): boolean {
    return this.zones.isAllowed(this.options.registry.find(instance)?.announced.zone ?? '', allowedRegions)
  }

  /** Records the outcome of any request of this entry; `local` means that this placer chose its upstream. */
  recordEnd (instance: string, end: Omit<PlacementEnd, 'notice'>, local: boolean): void {
    const standing = this.standingOf(instance)
    if (local) standing.inFlight = Math.max(0, standing.inFlight - 1)
    if (end.outcome === PlacementOutcome.PLACEMENT_OUTCOME_MISDIRECTED) this.options.registry.takeOut(instance)
    const now = this.options.clock.monotonicMilliseconds()
    const { outcome, milliseconds, statedLimit } = end
    if (statedLimit !== undefined) standing.limit.record(statedLimit, now - milliseconds, now)
    standing.record({ outcome, entry: this.options.entry, placedAt: now - milliseconds, milliseconds, usualMilliseconds: 0, wasOverdue: false }, now)
  }

  /** An upstream that has started again accepts requests, whatever it said before. */
  private forgetEarlierStarts (changed: readonly RegisteredUpstream[]): void {
    for (const { announced } of changed) this.standings.get(announced.instance)?.availability.recordStart(announced.born)
  }

  private load ({ announced }: RegisteredUpstream): number {
    return this.standingOf(announced.instance).inFlight / Math.max(1, announced.slots)
  }

  private standingOf (instance: string): InstanceStanding {
    const known = this.standings.get(instance)
    if (known !== undefined) return known
    const created = InstanceStanding.create(this.options.clock.monotonicMilliseconds(), this.shares, this.limits.of(instance))
    this.standings.set(instance, created)
    return created
  }
}
