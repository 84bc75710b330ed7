/** Clients that make no progress, so that the one that has stalled longest can give way to others. */
import type { Clock } from './clock.ts'

/** A request that holds memory or a place although its client does not go on. */
export interface StallingRequest {
  /** Closes the connection of the client. */
  dropStalled (): void
}

export class StallList {
  /** Time of the last progress; the one that has stalled longest comes first. */
  private readonly progress = new Map<StallingRequest, number>()

  private constructor (private readonly clock: Clock, private readonly patienceMilliseconds: number) {}

  /** Requests count as stalled after `patienceMilliseconds` without progress. */
  static create (clock: Clock, patienceMilliseconds: number): StallList {
    return new StallList(clock, patienceMilliseconds)
  }

  /** Records that a request waits for its client from now on, or that the client has made progress. */
  record (request: StallingRequest): void {
    this.progress.delete(request)
    this.progress.set(request, this.clock.monotonicMilliseconds())
  }

  /** The request does not wait for its client any more. */
  remove (request: StallingRequest): void {
    this.progress.delete(request)
  }

  /** Drops the request that has stalled longest; false if none has stalled. */
  dropOldest (): boolean {
    const [oldest] = this.progress
    if (oldest === undefined) return false
    const [request, since] = oldest
    if (this.clock.monotonicMilliseconds() - since < this.patienceMilliseconds) return false
    this.progress.delete(request)
    request.dropStalled()
    return true
  }
}
