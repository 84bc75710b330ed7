/** All pools of a dispatcher, each with its budget for repeats. */
import type { Suspicion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { PoolDispatcher, type PoolView } from './pool-dispatcher.ts'
import { RequestBudget, type BudgetTerms } from './request-budget.ts'
import type { HeldUpstream } from './upstream-registry.ts'

/** Pools by name, made when first asked for. */
export class PoolSet {
  private readonly pools = new Map<string, PoolDispatcher>()
  private readonly budgets = new Map<string, RequestBudget>()

  private constructor (private readonly clock: Clock, private readonly budgetTerms: BudgetTerms, private readonly floorShare: number) {}

  /** `floorShare` is the part of a pool's sound upstreams that must have requests. */
  static create (clock: Clock, budgetTerms: BudgetTerms, floorShare: number): PoolSet {
    return new PoolSet(clock, budgetTerms, floorShare)
  }

  pool (name: string): PoolDispatcher {
    const known = this.pools.get(name)
    if (known !== undefined) return known
    const created = PoolDispatcher.create(this.clock, this.floorShare)
    this.pools.set(name, created)
    return created
  }

  /** What may be sent once more to the pool. */
  budget (name: string): RequestBudget {
    const known = this.budgets.get(name)
    if (known !== undefined) return known
    const created = RequestBudget.create(this.budgetTerms)
    this.budgets.set(name, created)
    return created
  }

  /** Pools in which requests wait. */
  waitingPools (): string[] {
    return [...this.pools].filter(([, pool]) => pool.line.length > 0).map(([name]) => name)
  }

  /** Takes note of an upstream that is new, changed or gone, and takes it out of a pool in which it was before. */
  update (upstream: HeldUpstream): string {
    const { announced } = upstream
    for (const [name, other] of this.pools) {
      if (name !== announced.pool && other.standings.has(announced.instance)) other.update({ ...upstream, announced: { ...announced, gone: true } })
    }
    this.pool(announced.pool).update(upstream)
    return announced.pool
  }

  /** All pools as they are now. */
  views (now: number): PoolView[] {
    return [...this.pools].map(([name, pool]) => pool.view(name, now))
  }

  /** Upstreams that probably fail now. */
  suspicions (now: number): Suspicion[] {
    return [...this.pools.values()].flatMap((pool) => pool.suspicions(now))
  }
}
