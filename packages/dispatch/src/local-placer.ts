/** Chooses upstreams with what one entry knows by itself, while no dispatcher can be reached. */
import { PlacementOutcome, type PlacementEnd, type PlacementQuestion, type Suspicion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { pickOne, type RandomSource } from '@hickoryspoke/runtime/random'
import { CustomerRates, type AdmissionReport, type RateTerms } from './customer-rates.ts'
import { InstanceStanding, STANDING } from './instance-standing.ts'
import { SoundShares } from './sound-shares.ts'
import { RecentRates } from './recent-rates.ts'
import type { HeldUpstream, UpstreamRegistry } from './upstream-registry.ts'

/** What the placer works with. */
export interface LocalPlacerParts {
  readonly clock: Clock
  readonly random: RandomSource
  readonly registry: UpstreamRegistry
  readonly entry: string
  readonly zone: string
  /** Window within which admitted requests are remembered, in milliseconds. */
  readonly windowMilliseconds: number
}

/** One entry's own view of the upstreams. */
export class LocalPlacer {
  private readonly standings = new Map<string, InstanceStanding>()
  private readonly shares = SoundShares.create()
  private rates = CustomerRates.createUnspent()
  private readonly recent: RecentRates
  private termsOf: (customer: string) => RateTerms | undefined = () => undefined

  private constructor (private readonly parts: LocalPlacerParts) {
    this.recent = RecentRates.create(parts.clock.monotonicMilliseconds(), parts.windowMilliseconds)
  }

  static create (parts: LocalPlacerParts): LocalPlacer {
    return new LocalPlacer(parts)
  }

  /** Takes note of a request that the dispatcher placed. */
  countPlaced (customer: string): void {
    this.recent.count(customer, this.parts.clock.monotonicMilliseconds())
  }

  /**
   * Begins a time without a dispatcher. This entry has an equal part of every rate, or the part that the dispatcher
   * gave it lately where that is more; the parts of all entries together stay within the rate.
   */
  begin (entries: number, termsOf: (customer: string) => RateTerms | undefined): void {
    const parts = Math.max(1, entries)
    const lately = this.recent.rates(this.parts.clock.monotonicMilliseconds())
    this.termsOf = (customer) => {
      const terms = termsOf(customer)
      if (terms === undefined) return undefined
      return { rate: terms.rate === 0 ? 0 : Math.max(terms.rate / parts, lately.get(customer) ?? 0), burst: terms.burst / parts }
    }
    this.rates = CustomerRates.createUnspent()
    this.rates.setTerms((customer) => this.termsOf(customer))
  }

  /** Takes one request from this entry's part of the customer's rate. */
  admit (customer: string): boolean {
    if (customer === '') return true
    const now = this.parts.clock.monotonicMilliseconds()
    if (!this.rates.take(customer, now)) return false
    this.recent.count(customer, now)
    return true
  }

  /** What this entry, one of so many, admitted lately, for a new dispatcher. */
  report (entries: number): AdmissionReport {
    const now = this.parts.clock.monotonicMilliseconds()
    return { admitted: this.recent.admitted(now), fleetShare: this.recent.isWhole(now) && entries > 0 ? 1 / entries : 0 }
  }

  /** The less busy of two upstreams, those that failed lately last. */
  choose (question: PlacementQuestion): HeldUpstream | undefined {
    const now = this.parts.clock.monotonicMilliseconds()
    const all = this.parts.registry.present().filter(({ announced }) => {
      return announced.pool === question.pool && !announced.draining && !question.excluded.includes(announced.instance) &&
        this.standingOf(announced.instance).isReachableFrom(this.parts.entry, now)
    })
    const sound = all.filter(({ announced }) => this.standingOf(announced.instance).standing(now) === STANDING.sound)
    const usable = sound.length > 0 ? sound : all
    if (usable.length === 0) return undefined
    const near = usable.filter(({ announced }) => announced.zone === this.parts.zone)
    const first = pickOne(this.parts.random, near.length > 1 ? near : usable)
    const second = pickOne(this.parts.random, usable)
    const chosen = this.load(second) < this.load(first) ? second : first
    this.standingOf(chosen.announced.instance).place(now)
    return chosen
  }

  /** Takes over which upstreams the dispatcher suspects. */
  takeSuspicions (suspicions: readonly Suspicion[]): void {
    const now = this.parts.clock.monotonicMilliseconds()
    for (const { instance, probability } of suspicions) this.standingOf(instance).adopt(probability, now)
  }

  /** Learns from the end of any request of this entry. `local` says that it was placed here. */
  learn (instance: string, end: PlacementEnd, local: boolean): void {
    const standing = this.standingOf(instance)
    if (local) standing.inFlight = Math.max(0, standing.inFlight - 1)
    if (end.outcome === PlacementOutcome.PLACEMENT_OUTCOME_MISDIRECTED) this.parts.registry.leave(instance, undefined)
    const now = this.parts.clock.monotonicMilliseconds()
    const { outcome, milliseconds } = end
    standing.record({ outcome, entry: this.parts.entry, placedAt: now - milliseconds, milliseconds, usualMilliseconds: 0, wasOverdue: false }, now)
  }

  private load ({ announced }: HeldUpstream): number {
    return this.standingOf(announced.instance).inFlight / Math.max(1, announced.slots)
  }

  private standingOf (instance: string): InstanceStanding {
    const known = this.standings.get(instance)
    if (known !== undefined) return known
    const created = InstanceStanding.create(this.parts.clock.monotonicMilliseconds(), this.shares)
    this.standings.set(instance, created)
    return created
  }
}
