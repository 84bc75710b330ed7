/** A request waiting for a slot. */
export interface WaitingRequest {
  /** Monotonic time in milliseconds by which the request must have finished. */
  readonly deadlineMilliseconds: number
  /** Gives the request a slot. */
  readonly start: () => void
  /** Refuses the request because it can no longer finish before its deadline. */
  readonly expire: () => void
  /** Refuses the request to make room for another customer, or because the queue closes. */
  readonly evict: () => void
}

/** FIFO queue of one customer's requests for a pool, with the service time the customer has received. */
export class CustomerQueue {
  readonly waiting: WaitingRequest[] = []
  inFlight = 0

  private constructor (readonly customer: string, public weight: number, public normalizedService: number) {}

  /** `normalizedService` is the service received so far, in milliseconds per unit of weight. */
  static create (customer: string, weight: number, normalizedService: number): CustomerQueue {
    return new CustomerQueue(customer, weight, normalizedService)
  }

  chargeService (serviceMilliseconds: number): void {
    this.normalizedService += serviceMilliseconds / this.weight
  }

  /** Queue length divided by the customer's weight. */
  get weightedLength (): number {
    return this.waiting.length / this.weight
  }

  get isIdle (): boolean {
    return this.waiting.length === 0 && this.inFlight === 0
  }

  remove (request: WaitingRequest): boolean {
    const index = this.waiting.indexOf(request)
    if (index >= 0) this.waiting.splice(index, 1)
    return index >= 0
  }
}
