import type { Customer } from '@hickoryspoke/configuration/desired-state'
import { FairQueue, type FairQueueView } from '@hickoryspoke/limits/fair-queue'
import type { QueuePermit, QueueRequest, RequestQueue } from '@hickoryspoke/request/collaborators'
import { type Clock, repeatEvery } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import type { Result } from 'ts-results-es'

const CAPACITY_UPDATE_INTERVAL_MILLISECONDS = 250

/** Weight of requests on open routes in the fair queue, in requests per second. Customers are weighted by their rate. */
const OPEN_ROUTE_WEIGHT = 10

/** One entry may use up to this multiple of its even share of the slots, because callers do not spread evenly over entries. */
const UNEVEN_LOAD_FACTOR = 2

/** Dependencies of `PoolQueues`. */
export interface PoolQueuesOptions {
  readonly clock: Clock
  /** Slots of a pool's upstreams that are in service, by weight. */
  readonly usableSlots: (pool: string) => number
  readonly liveEntries: () => number
}

/** Fair queues of requests, one for each pool. */
export class PoolQueues implements RequestQueue {
  private readonly queues = new Map<string, FairQueue>()
  private weights = new Map<string, number>()

  private constructor (private readonly options: PoolQueuesOptions) {}

  static create (options: PoolQueuesOptions): PoolQueues {
    return new PoolQueues(options)
  }

  /** Applies the customers and pools of a newly accepted configuration. */
  apply (customers: readonly Customer[], pools: readonly { readonly name: string }[]): void {
    this.weights = new Map(customers.map((customer) => [customer.name, customer.rate]))
    for (const { name } of pools) this.queueOf(name)
    this.updateCapacities()
  }

  async enter (question: QueueRequest): Promise<Result<QueuePermit, Failure>> {
    return await this.queueOf(question.pool).enter({
      customer: question.customer,
      weight: this.weights.get(question.customer) ?? OPEN_ROUTE_WEIGHT,
      deadlineMilliseconds: question.deadlineMilliseconds,
      signal: question.signal
    })
  }

  /** Updates the capacities until the signal aborts, then closes the queues. */
  async run (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.options.clock, CAPACITY_UPDATE_INTERVAL_MILLISECONDS, signal, () => this.updateCapacities())
    for (const queue of this.queues.values()) queue.close()
  }

  /** State of each queue for metrics. */
  views (): { readonly pool: string, readonly view: FairQueueView }[] {
    return [...this.queues].map(([pool, queue]) => ({ pool, view: queue.view() }))
  }

  private queueOf (pool: string): FairQueue {
    const known = this.queues.get(pool)
    if (known !== undefined) return known
    const created = FairQueue.create(this.options.clock)
    created.setCapacity(this.capacityOf(pool))
    this.queues.set(pool, created)
    return created
  }

  private updateCapacities (): void {
    for (const [pool, queue] of this.queues) queue.setCapacity(this.capacityOf(pool))
  }

  private capacityOf (pool: string): number {
    const slots = this.options.usableSlots(pool)
    const evenShare = slots / Math.max(1, this.options.liveEntries())
    return Math.min(slots, Math.max(1, evenShare * UNEVEN_LOAD_FACTOR))
  }
}
