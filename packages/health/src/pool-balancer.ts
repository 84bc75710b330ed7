import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import { Failure } from '@hickoryspoke/runtime/failure'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { Err, Ok, type Result } from 'ts-results-es'
import { AttemptKind, type AttemptOutcome } from './attempt-outcome.ts'
import { overdueOutcome } from './evidence-collector.ts'
import { MeanLatency } from './mean-latency.ts'
import { Standing, type UpstreamStanding } from './pool-standing.ts'
import { pickIndex } from './power-of-two-choices.ts'
import type { UpstreamHealth } from './upstream-health.ts'
import { UpstreamLoad } from './upstream-load.ts'
import { chooseSubset, subsetSize } from './upstream-subset.ts'
import { zonePreference } from './zone-preference.ts'

const OVERDUE_SWEEP_MILLISECONDS = 50
const OVERDUE_FACTOR = 8
const NON_IDEMPOTENT_MINIMUM_SCORE = 0.5

/** No upstream of the pool can take the request. */
export class NoHealthyUpstream extends Failure {
  readonly code = 'no_healthy_upstream'

  private constructor (readonly pool: string) {
    super(`pool ${pool} has no healthy upstream`)
  }

  static create (pool: string): NoHealthyUpstream {
    return new NoHealthyUpstream(pool)
  }
}

/** A request that needs an upstream. Addresses in `exclude` are used only if no other upstream is available. */
export interface PickRequest {
  readonly pool: string
  readonly idempotent: boolean
  readonly exclude: Iterable<string>
  readonly customer?: string
  /** Identifies the route, so that failures caused by the route are not counted against upstreams. */
  readonly route?: string
}

/** An upstream picked for one attempt; call `finish` once when the attempt ends. */
export interface UpstreamLease {
  /** `IP:PORT`. */
  readonly address: string
  finish (outcome: AttemptOutcome): void
}

interface InFlightAttempt {
  readonly pool: string
  readonly address: string
  readonly customer: string
  readonly route: string
  readonly startMilliseconds: number
  isOverdue: boolean
}

interface Candidate {
  readonly standing: UpstreamStanding
  readonly load: UpstreamLoad
  readonly weight: number
}

interface PoolState {
  readonly loads: Map<string, UpstreamLoad>
  readonly meanLatency: MeanLatency
  readonly members: WeakMap<readonly UpstreamStanding[], { readonly standings: readonly UpstreamStanding[], readonly preference: number }>
}

/** Dependencies of `PoolBalancer`. */
export interface PoolBalancerOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly health: UpstreamHealth
  /** Name and zone of this entry. */
  readonly self: string
  readonly zone: string
  /** Zones of all live entries, this one included. */
  readonly entryZones: () => readonly string[]
}

/** Picks an upstream for each attempt and records the outcome. */
export class PoolBalancer {
  private readonly pools = new Map<string, PoolState>()
  private readonly open = new Set<InFlightAttempt>()

  private constructor (private readonly options: PoolBalancerOptions) {}

  static create (options: PoolBalancerOptions): PoolBalancer {
    return new PoolBalancer(options)
  }

  /** Picks the better of two random upstreams and counts the attempt as in flight until it is finished. */
  pick (question: PickRequest): Result<UpstreamLease, NoHealthyUpstream> {
    const candidates = this.candidates(question)
    const weights = candidates.map((candidate) => candidate.weight)
    const index = pickIndex(this.options.random, weights, (place) => this.cost(question, candidates[place] as Candidate))
    const chosen = candidates[index]
    return chosen === undefined ? Err(NoHealthyUpstream.create(question.pool)) : Ok(this.lease(question, chosen))
  }

  /** Maximum number of connections that this entry may hold to one upstream of a pool. */
  connectionsPerUpstream (pool: string): number {
    const { health, entryZones } = this.options
    return subsetSize(health.standing(pool).length, entryZones().length, health.policyOf(pool).connection_limit).connectionsEach
  }

  /** Number of attempts of this entry in flight. */
  inFlight (): number {
    return this.open.size
  }

  /** Reports attempts that are overdue, until the signal aborts. */
  async start (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.options.clock, OVERDUE_SWEEP_MILLISECONDS, signal, () => this.sweepOverdue())
  }

  private candidates (question: PickRequest): Candidate[] {
    const now = this.now()
    const state = this.stateOf(question.pool)
    const { standings, preference } = this.members(question.pool, state)
    const excluded = new Set(question.exclude)
    const all = standings
      .filter((standing) => standing.weight > 0 && (question.idempotent || standing.standing !== Standing.Trial))
      .map((standing) => this.candidate(standing, state, preference, now))
    const others = all.filter((candidate) => !excluded.has(candidate.standing.record.address))
    const remaining = others.length > 0 ? others : all
    if (question.idempotent) return remaining
    const preferred = remaining.filter((candidate) => candidate.standing.standing !== Standing.Avoided &&
      candidate.load.healthScore(now) >= NON_IDEMPOTENT_MINIMUM_SCORE)
    return preferred.length > 0 ? preferred : remaining
  }

  private candidate (standing: UpstreamStanding, state: PoolState, preference: number, now: number): Candidate {
    const load = this.loadOf(state, standing.record.address)
    const zoneWeight = standing.record.zone === this.options.zone ? preference : 1
    return { standing, load, weight: standing.weight * load.healthScore(now) * zoneWeight * standing.record.slots }
  }

  private cost (question: PickRequest, candidate: Candidate): number {
    const { record } = candidate.standing
    const poolMilliseconds = this.stateOf(question.pool).meanLatency.forRoute('')
    return candidate.load.cost(poolMilliseconds, record.load, this.now()) / record.slots
  }

  private members (pool: string, state: PoolState): { readonly standings: readonly UpstreamStanding[], readonly preference: number } {
    const { health, self, entryZones } = this.options
    const all = health.standing(pool)
    const known = state.members.get(all)
    if (known !== undefined) return known
    const { connection_limit: limit, same_zone_preference: wanted } = health.policyOf(pool)
    const zones = entryZones()
    const chosen = new Set(chooseSubset(self, all.map((standing) => standing.record), subsetSize(all.length, zones.length, limit).upstreams))
    const standings = all.filter((standing) => chosen.has(standing.record))
    const usable = standings.some((standing) => standing.weight > 0) ? standings : all
    const created = { standings: usable, preference: zonePreference(wanted, zones, all.map((standing) => standing.record)) }
    state.members.set(all, created)
    return created
  }

  private lease (question: PickRequest, chosen: Candidate): UpstreamLease {
    const { pool, customer = '', route = '' } = question
    const { address } = chosen.standing.record
    const attempt: InFlightAttempt = { pool, address, customer, route, startMilliseconds: this.now(), isOverdue: false }
    chosen.load.inFlight += 1
    this.open.add(attempt)
    return { address, finish: (outcome) => this.finish(attempt, outcome, chosen.load) }
  }

  private finish (attempt: InFlightAttempt, outcome: AttemptOutcome, load: UpstreamLoad): void {
    if (!this.open.delete(attempt)) return
    load.inFlight -= 1
    load.record(outcome, this.now())
    if (outcome.kind === AttemptKind.Answered) this.stateOf(attempt.pool).meanLatency.record(attempt.route, outcome.milliseconds)
    if (!attempt.isOverdue) this.options.health.observe({ ...attempt, outcome })
  }

  private sweepOverdue (): void {
    const now = this.now()
    for (const attempt of this.open) {
      const waited = now - attempt.startMilliseconds
      if (attempt.isOverdue || waited < this.overdueMilliseconds(attempt)) continue
      attempt.isOverdue = true
      const outcome = overdueOutcome(waited)
      this.loadOf(this.stateOf(attempt.pool), attempt.address).record(outcome, now)
      this.options.health.observe({ ...attempt, outcome })
    }
  }

  private overdueMilliseconds (attempt: InFlightAttempt): number {
    const minimum = this.options.health.policyOf(attempt.pool).overdue_milliseconds
    return Math.max(minimum, this.stateOf(attempt.pool).meanLatency.forRoute(attempt.route) * OVERDUE_FACTOR)
  }

  private loadOf (state: PoolState, address: string): UpstreamLoad {
    const known = state.loads.get(address)
    if (known !== undefined) return known
    const created = UpstreamLoad.create()
    state.loads.set(address, created)
    return created
  }

  private stateOf (pool: string): PoolState {
    const known = this.pools.get(pool)
    if (known !== undefined) return known
    const created: PoolState = { loads: new Map(), meanLatency: MeanLatency.create(), members: new WeakMap() }
    this.pools.set(pool, created)
    return created
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }
}
