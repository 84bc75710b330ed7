import type { UpstreamRecord } from './upstream-record.ts'

interface Watch {
  incarnation: number
  heardMilliseconds: number
  askedMilliseconds: number | undefined
}

/** What a home should do about a lease now. */
export const LeaseStep = { None: 'none', Ask: 'ask', Expire: 'expire' } as const
export type LeaseStep = typeof LeaseStep[keyof typeof LeaseStep]

const ANSWER_WAIT_MILLISECONDS = 300
const FORGET_FACTOR = 4

/** When each upstream was last heard of, directly or through others; times are monotonic milliseconds. */
export class LeaseWatch {
  private readonly watches = new Map<string, Watch>()

  static create (): LeaseWatch {
    return new LeaseWatch()
  }

  /** Notes that an upstream was heard at a moment; older hearings change nothing. */
  hear (address: string, incarnation: number, heardMilliseconds: number): void {
    const watch = this.watches.get(address)
    if (watch === undefined || incarnation > watch.incarnation) {
      this.watches.set(address, { incarnation, heardMilliseconds, askedMilliseconds: undefined })
    } else if (incarnation === watch.incarnation && heardMilliseconds > watch.heardMilliseconds) {
      watch.heardMilliseconds = heardMilliseconds
    }
  }

  /** Monotonic time of the last hearing of this incarnation. */
  heardOf (address: string, incarnation: number): number | undefined {
    const watch = this.watches.get(address)
    return watch?.incarnation === incarnation ? watch.heardMilliseconds : undefined
  }

  /** The next step for a lease that this entry watches; a lease not yet known gets its full length. */
  step (record: UpstreamRecord, nowMilliseconds: number): LeaseStep {
    if (this.heardOf(record.address, record.incarnation) === undefined) this.hear(record.address, record.incarnation, nowMilliseconds)
    const watch = this.watches.get(record.address) as Watch
    if (nowMilliseconds < watch.heardMilliseconds + record.leaseMilliseconds) {
      watch.askedMilliseconds = undefined
      return LeaseStep.None
    }
    if (watch.askedMilliseconds === undefined) {
      watch.askedMilliseconds = nowMilliseconds
      return LeaseStep.Ask
    }
    return nowMilliseconds >= watch.askedMilliseconds + ANSWER_WAIT_MILLISECONDS ? LeaseStep.Expire : LeaseStep.None
  }

  /** Drops what was heard long before a lease's length ago. */
  forget (leaseOf: (address: string) => number, nowMilliseconds: number): void {
    for (const [address, watch] of this.watches) {
      if (watch.heardMilliseconds + leaseOf(address) * FORGET_FACTOR < nowMilliseconds) this.watches.delete(address)
    }
  }
}
