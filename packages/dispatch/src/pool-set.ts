/** All pools of a dispatcher, each with its retry budget. */
import type { Suspicion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { defaultPolicy, type PolicySource } from './dispatch-policy.ts'
import type { PoolCostSummary } from './pool-costs.ts'
import { PoolDispatcher, type PoolSnapshot } from './pool-dispatcher.ts'
import { FleetRetryBudget, type FleetRetryBudgetSettings } from './fleet-retry-budget.ts'
import type { UpstreamLimits } from './upstream-limits.ts'
import type { RegisteredUpstream } from './upstream-registry.ts'
import { NO_EVACUATIONS, type DispatcherZoneView } from './zone-view.ts'

/** Pools by name, created on first use. */
export class PoolSet {
  private readonly pools = new Map<string, PoolDispatcher>()
  private readonly budgets = new Map<string, FleetRetryBudget>()

  private constructor (
    private readonly clock: Clock,
    private readonly limits: UpstreamLimits,
    private readonly budgetSettings: FleetRetryBudgetSettings,
    private readonly floorShare: number,
    private readonly policy: PolicySource,
    private readonly zones: DispatcherZoneView
  ) {}

  /** `floorShare` is the share of a pool's sound upstreams that must receive requests; 0 for none. */
  static create (
    clock: Clock, limits: UpstreamLimits, budgetSettings: FleetRetryBudgetSettings, floorShare: number, policy: PolicySource = defaultPolicy,
    zones: DispatcherZoneView = NO_EVACUATIONS
  ): PoolSet {
    return new PoolSet(clock, limits, budgetSettings, floorShare, policy, zones)
  }

  pool (name: string): PoolDispatcher {
    const known = this.pools.get(name)
    if (known !== undefined) return known
    const created = PoolDispatcher.create(this.clock, this.limits, this.floorShare, this.policy, this.zones)
    this.pools.set(name, created)
    return created
  }

  /** Retry budget of a pool. */
  budget (name: string): FleetRetryBudget {
    const known = this.budgets.get(name)
    if (known !== undefined) return known
    const created = FleetRetryBudget.create(this.budgetSettings)
    this.budgets.set(name, created)
    return created
  }

  /** Names of the pools with waiting requests. */
  waitingPools (): string[] {
    return [...this.pools].filter(([, pool]) => pool.line.length > 0).map(([name]) => name)
  }

  /** Adds, updates or removes an upstream, and removes it from any other pool it was in. Returns the name of its pool. */
  update (upstream: RegisteredUpstream): string {
    const { announced } = upstream
    for (const [name, other] of this.pools) {
      if (name !== announced.pool && other.standings.has(announced.instance)) other.update({ ...upstream, announced: { ...announced, gone: true } })
    }
    this.pool(announced.pool).update(upstream)
    return announced.pool
  }

  /** Applies a change of the evacuated zones to all pools. */
  updateZones (): void {
    for (const pool of this.pools.values()) pool.updateServing()
  }

  /** The current state of every pool. */
  snapshots (now: number): PoolSnapshot[] {
    return [...this.pools].map(([name, pool]) => pool.snapshot(name, now))
  }

  /** What is learned of the costs of each pool's requests; empty without the policy. */
  costs (now: number): PoolCostSummary[] {
    return [...this.pools].flatMap(([name, pool]) => pool.costs.summary(name, now) ?? [])
  }

  /** Suspect upstreams of all pools, with their probability of failure. */
  suspicions (now: number): Suspicion[] {
    return [...this.pools.values()].flatMap((pool) => pool.suspicions(now))
  }
}
