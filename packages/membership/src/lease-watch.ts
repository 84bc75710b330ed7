import type { UpstreamRecord } from './upstream-record.ts'

interface WatchedLease {
  incarnation: number
  heardMilliseconds: number
  askedMilliseconds: number | undefined
}

/** What a home entry should do about a lease: nothing, ask the other home entries, or expire it. */
export const LeaseAction = { None: 'none', Ask: 'ask', Expire: 'expire' } as const
export type LeaseAction = typeof LeaseAction[keyof typeof LeaseAction]

const ANSWER_TIMEOUT_MILLISECONDS = 300
const RETENTION_FACTOR = 4

/** Watches leases: records when each upstream was last heard from, directly or through other entries. Times are monotonic milliseconds. */
export class LeaseWatch {
  private readonly leases = new Map<string, WatchedLease>()

  static create (): LeaseWatch {
    return new LeaseWatch()
  }

  /** Records that an upstream was heard from. Older times and incarnations are ignored. */
  recordHeard (address: string, incarnation: number, heardMilliseconds: number): void {
    const lease = this.leases.get(address)
    if (lease === undefined || incarnation > lease.incarnation) {
      this.leases.set(address, { incarnation, heardMilliseconds, askedMilliseconds: undefined })
    } else if (incarnation === lease.incarnation && heardMilliseconds > lease.heardMilliseconds) {
      lease.heardMilliseconds = heardMilliseconds
    }
  }

  /** Time at which this incarnation was last heard from. */
  lastHeard (address: string, incarnation: number): number | undefined {
    const lease = this.leases.get(address)
    return lease?.incarnation === incarnation ? lease.heardMilliseconds : undefined
  }

  /** Next action for a lease. A lease that is not watched yet starts with its full length. */
  nextAction (record: UpstreamRecord, nowMilliseconds: number): LeaseAction {
    if (this.lastHeard(record.address, record.incarnation) === undefined) this.recordHeard(record.address, record.incarnation, nowMilliseconds)
    const lease = this.leases.get(record.address) as WatchedLease
    if (nowMilliseconds < lease.heardMilliseconds + record.leaseMilliseconds) {
      lease.askedMilliseconds = undefined
      return LeaseAction.None
    }
    if (lease.askedMilliseconds === undefined) {
      lease.askedMilliseconds = nowMilliseconds
      return LeaseAction.Ask
    }
    return nowMilliseconds >= lease.askedMilliseconds + ANSWER_TIMEOUT_MILLISECONDS ? LeaseAction.Expire : LeaseAction.None
  }

  /** Removes leases that ended long ago. */
  prune (leaseMillisecondsOf: (address: string) => number, nowMilliseconds: number): void {
    for (const [address, lease] of this.leases) {
      if (lease.heardMilliseconds + leaseMillisecondsOf(address) * RETENTION_FACTOR < nowMilliseconds) this.leases.delete(address)
    }
  }
}
