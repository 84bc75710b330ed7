/** The recent demand for a pool, in slots that would be busy if all of it were served, by priority and customer. */

/** Older demand loses weight with this time constant. */
const MEMORY_MILLISECONDS = 1_000
/** A customer with less demand than this, in slots, is forgotten. */
const NEGLIGIBLE_SLOTS = 0.001

/** A sum whose older parts lose weight. */
class DecayingSum {
  private value = 0
  private at = 0

  add (amount: number, now: number): void {
    this.value = this.read(now) + amount
    this.at = now
  }

  read (now: number): number {
    return this.value === 0 ? 0 : this.value * Math.exp((this.at - now) / MEMORY_MILLISECONDS)
  }
}

interface PriorityDemand {
  readonly priority: number
  readonly total: DecayingSum
  readonly customers: Map<string, DecayingSum>
}

/** Measures the demand for one pool, whether it is served or not. */
export class DemandMeter {
  private readonly priorities: PriorityDemand[] = []
  private sweptAt = 0

  static create (): DemandMeter {
    return new DemandMeter()
  }

  /** Counts a request that is expected to use a slot for some time. */
  count (priority: number, customer: string, milliseconds: number, now: number): void {
    this.sweep(now)
    const demand = this.demandOf(priority)
    const known = demand.customers.get(customer) ?? new DecayingSum()
    demand.customers.set(customer, known)
    known.add(milliseconds, now)
    demand.total.add(milliseconds, now)
  }

  /** Demand of all more urgent priorities. */
  moreUrgent (priority: number, now: number): number {
    let sum = 0
    for (const other of this.priorities) {
      if (other.priority < priority) sum += other.total.read(now)
    }
    return sum / MEMORY_MILLISECONDS
  }

  /** Demand of one priority. */
  of (priority: number, now: number): number {
    return (this.priorities.find((other) => other.priority === priority)?.total.read(now) ?? 0) / MEMORY_MILLISECONDS
  }

  /** Demand of one customer with one priority. */
  ofCustomer (priority: number, customer: string, now: number): number {
    const demand = this.priorities.find((other) => other.priority === priority)
    return (demand?.customers.get(customer)?.read(now) ?? 0) / MEMORY_MILLISECONDS
  }

  private demandOf (priority: number): PriorityDemand {
    const known = this.priorities.find((other) => other.priority === priority)
    if (known !== undefined) return known
    const created: PriorityDemand = { priority, total: new DecayingSum(), customers: new Map() }
    this.priorities.push(created)
    return created
  }

  /** Forgets customers without recent demand, so that their number stays bounded. */
  private sweep (now: number): void {
    if (now - this.sweptAt < 10 * MEMORY_MILLISECONDS) return
    this.sweptAt = now
    for (const { customers } of this.priorities) {
      for (const [customer, sum] of customers) {
        if (sum.read(now) < NEGLIGIBLE_SLOTS * MEMORY_MILLISECONDS) customers.delete(customer)
      }
    }
  }
}
