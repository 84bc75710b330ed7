/**
 * Tracks which entries know the leader's news: changes of the configuration, and upstreams that leave.
 * News is acknowledged to its sender only when no entry can act on an older view for longer than the time that the
 * acknowledgement promises: every entry has confirmed it, or has been without confirmation of its view for so long
 * that the view expires in time.
 */
import type { Clock } from '@hickoryspoke/runtime/clock'

interface TrackedEntry {
  confirmedRevision: number
  /** When its view was last confirmed at the latest, in monotonic milliseconds. */
  confirmedAt: number
}

interface Waiter {
  readonly revision: number
  readonly newsAt: number
  readonly limitMilliseconds: number
  readonly resolve: (isKnown: boolean) => void
}

/** What `NewsDelivery` waits for; for logs. */
export interface DeliveryProgress {
  readonly revision: number
  /** Entries that have not confirmed the newest revision. */
  readonly unconfirmed: number
  readonly waiting: number
}

/** Confirmations of one leadership. */
export class NewsDelivery {
  private revision = 0
  private readonly newsTimes = new Map<number, number>()
  private readonly entries = new Map<string, TrackedEntry>()
  private waiters: Waiter[] = []

  private constructor (
    private readonly clock: Clock,
    private readonly limitMilliseconds: number,
    /** When views of an earlier leader may still have been confirmed, in monotonic milliseconds. */
    private readonly predecessorAt: number,
    private readonly presumed: (revision: number, entries: number) => void
  ) {}

  /**
   * `limitMilliseconds` is how long after its last confirmation an entry must be waited for. `hasPredecessor` tells that
   * entries may still act on the view of an earlier leader; nothing is acknowledged before those views expire. `presumed` is
   * called when news is known although some entries have not confirmed it, as their views expire in time.
   */
  static create (
    clock: Clock, limitMilliseconds: number, hasPredecessor: boolean, presumed: (revision: number, entries: number) => void = () => {}
  ): NewsDelivery {
    return new NewsDelivery(clock, limitMilliseconds, hasPredecessor ? clock.monotonicMilliseconds() : -Infinity, presumed)
  }

  get newestRevision (): number {
    return this.revision
  }

  get progress (): DeliveryProgress {
    return { revision: this.revision, unconfirmed: this.unconfirmed(this.revision), waiting: this.waiters.length }
  }

  /** Records news and returns its revision. */
  add (): number {
    this.revision += 1
    this.newsTimes.set(this.revision, this.clock.monotonicMilliseconds())
    return this.revision
  }

  /** Starts to wait for an entry that attached. */
  attach (entry: string): void {
    this.entries.set(entry, { confirmedRevision: 0, confirmedAt: this.clock.monotonicMilliseconds() })
  }

  /** The entry's view was confirmed; from now on it expires later. */
  confirmView (entry: string): void {
    const tracked = this.entries.get(entry)
    if (tracked !== undefined) tracked.confirmedAt = this.clock.monotonicMilliseconds()
  }

  /** The entry has applied all news up to a revision. */
  confirmNews (entry: string, revision: number): void {
    const tracked = this.entries.get(entry)
    if (tracked === undefined) return
    tracked.confirmedRevision = Math.max(tracked.confirmedRevision, revision)
    this.check()
  }

  /** The entry stopped and sends no more requests. An entry whose stream was only lost stays tracked until its view expires. */
  forget (entry: string): void {
    this.entries.delete(entry)
    this.check()
  }

  /**
   * Resolves with true once news of the revision may be acknowledged, and with false when the leadership ends before. News whose
   * acknowledgement promises another time has its own limit, and says when it was added, as that is not kept here for as long.
   */
  whenKnown (revision: number, limitMilliseconds = this.limitMilliseconds, newsAt = this.newsTimes.get(revision) ?? -Infinity): Promise<boolean> {
    return new Promise((resolve) => {
      this.waiters.push({ revision, newsAt, limitMilliseconds, resolve })
      this.check()
    })
  }

  /** Resolves what became known, also through the passing of time. */
  check (): void {
    const now = this.clock.monotonicMilliseconds()
    const known = this.waiters.filter((waiter) => this.isKnown(waiter, now))
    this.waiters = this.waiters.filter((waiter) => !known.includes(waiter))
    for (const waiter of known) {
      const unconfirmed = this.unconfirmed(waiter.revision)
      if (unconfirmed > 0) this.presumed(waiter.revision, unconfirmed)
      waiter.resolve(true)
    }
    this.prune(now)
  }

  /** Ends the leadership. */
  close (): void {
    for (const waiter of this.waiters.splice(0)) waiter.resolve(false)
  }

  /** Number of entries that have not confirmed a revision. */
  private unconfirmed (revision: number): number {
    return [...this.entries.values()].filter((entry) => entry.confirmedRevision < revision).length
  }

  private isKnown ({ revision, newsAt, limitMilliseconds }: Waiter, now: number): boolean {
    if (now < this.predecessorAt + limitMilliseconds) return false
    for (const entry of this.entries.values()) {
      const expiresAt = Math.min(newsAt, entry.confirmedAt) + limitMilliseconds
      if (entry.confirmedRevision < revision && now < expiresAt) return false
    }
    return true
  }

  /** Drops times that no waiter needs any more. */
  private prune (now: number): void {
    for (const [revision, at] of this.newsTimes) {
      if (now - at <= this.limitMilliseconds) return
      this.newsTimes.delete(revision)
    }
  }
}
