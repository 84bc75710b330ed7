import type { Customer } from '@hickoryspoke/configuration/desired-state'
import { FairQueue, type FairQueueView } from '@hickoryspoke/limits/fair-queue'
import type { QueuePermit, QueueOptions, RequestQueue } from '@hickoryspoke/request/collaborators'
import { type Clock, repeatEvery } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import type { Result } from 'ts-results-es'

const CAPACITY_INTERVAL_MILLISECONDS = 250

/** Share of requests on open routes against those of customers, in requests per second. */
const OPEN_ROUTE_WEIGHT = 10

/** Slots that one entry may fill beyond its even part, since callers do not spread evenly. */
const UNEVEN_LOAD_ALLOWANCE = 2

/** What the queues need to know of the fleet. */
export interface PoolQueuesParts {
  readonly clock: Clock
  /** Slots of the upstreams of a pool that are in use, by weight. */
  readonly usableSlots: (pool: string) => number
  readonly liveEntries: () => number
}

/** One fair queue before each pool. */
export class PoolQueues implements RequestQueue {
  private readonly queues = new Map<string, FairQueue>()
  private weights = new Map<string, number>()

  private constructor (private readonly parts: PoolQueuesParts) {}

  static create (parts: PoolQueuesParts): PoolQueues {
    return new PoolQueues(parts)
  }

  /** Takes the customers and pools of a newly accepted configuration. */
  apply (customers: readonly Customer[], pools: readonly { readonly name: string }[]): void {
    this.weights = new Map(customers.map((customer) => [customer.name, customer.rate]))
    for (const { name } of pools) this.queueOf(name)
    this.setCapacities()
  }

  async enter (question: QueueOptions): Promise<Result<QueuePermit, Failure>> {
    return await this.queueOf(question.pool).enter({
      customer: question.customer,
      weight: this.weights.get(question.customer) ?? OPEN_ROUTE_WEIGHT,
      deadlineMilliseconds: question.deadlineMilliseconds,
      signal: question.signal
    })
  }

  /** Keeps the capacities up to date until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.parts.clock, CAPACITY_INTERVAL_MILLISECONDS, signal, () => this.setCapacities())
    for (const queue of this.queues.values()) queue.close()
  }

  /** State of each queue for metrics. */
  views (): { readonly pool: string, readonly view: FairQueueView }[] {
    return [...this.queues].map(([pool, queue]) => ({ pool, view: queue.view() }))
  }

  private queueOf (pool: string): FairQueue {
    const known = this.queues.get(pool)
    if (known !== undefined) return known
    const created = FairQueue.create(this.parts.clock)
    created.setCapacity(this.capacityOf(pool))
    this.queues.set(pool, created)
    return created
  }

  private setCapacities (): void {
    for (const [pool, queue] of this.queues) queue.setCapacity(this.capacityOf(pool))
  }

  private capacityOf (pool: string): number {
    const slots = this.parts.usableSlots(pool)
    const even = slots / Math.max(1, this.parts.liveEntries())
    return Math.min(slots, Math.max(1, even * UNEVEN_LOAD_ALLOWANCE))
  }
}
