/** A request that waits for a slot. */
export interface WaitingRequest {
  /** Monotonic time in milliseconds by which it must have finished. */
  readonly deadlineMilliseconds: number
  /** Starts it in a slot. */
  readonly start: () => void
  /** Refuses it because it could no longer finish in time. */
  readonly expire: () => void
  /** Refuses it because another customer needs its place. */
  readonly displace: () => void
}

/** One customer's waiting requests before a pool, first come first served, and the service it has had. */
export class CustomerLine {
  readonly waiting: WaitingRequest[] = []
  inFlight = 0

  private constructor (readonly customer: string, public weight: number, public servedPerWeight: number) {}

  /** `servedPerWeight` is in milliseconds of service per unit of weight. */
  static create (customer: string, weight: number, servedPerWeight: number): CustomerLine {
    return new CustomerLine(customer, weight, servedPerWeight)
  }

  charge (serviceMilliseconds: number): void {
    this.servedPerWeight += serviceMilliseconds / this.weight
  }

  /** Length in proportion to the customer's weight. */
  get weightedLength (): number {
    return this.waiting.length / this.weight
  }

  get idle (): boolean {
    return this.waiting.length === 0 && this.inFlight === 0
  }

  remove (request: WaitingRequest): boolean {
    const index = this.waiting.indexOf(request)
    if (index >= 0) this.waiting.splice(index, 1)
    return index >= 0
  }
}
