/** Whether an upstream wants requests, as it said in its responses. */
import type { UpstreamNotice } from '@hickoryspoke/protocol/generated/dispatch'

/** What one upstream said. Statements of an earlier start of the upstream do not count. */
export class StatedAvailability {
  /** Start of the instance that the statements are about, in Unix milliseconds; undefined while unknown. */
  private born: number | undefined
  private leaving = false
  /** Entries from which it wants no requests, with the time until which it wants none, in monotonic milliseconds. */
  private readonly unavailableUntil = new Map<string, number>()

  private constructor () {}

  static create (): StatedAvailability {
    return new StatedAvailability()
  }

  /** Whether it said that it leaves, so that it wants no requests from any entry. */
  get isLeaving (): boolean {
    return this.leaving
  }

  /** How long it wants no requests from an entry; 0 if it accepts them. */
  unavailableMilliseconds (entry: string, now: number): number {
    return Math.max(0, (this.unavailableUntil.get(entry) ?? -Infinity) - now)
  }

  /** Records that the upstream started, in Unix milliseconds, and forgets what earlier starts of it said. */
  recordStart (born: number): void {
    const isRestarted = this.born !== undefined && born > this.born
    if (this.born === undefined || isRestarted) this.born = born
    if (!isRestarted) return
    this.leaving = false
    this.unavailableUntil.clear()
  }

  /** Records what it told an entry; true if it had not said so before. */
  record ({ leaving, unavailableMilliseconds, born }: UpstreamNotice, entry: string, now: number): boolean {
    if (born !== undefined) this.recordStart(born)
    if (born !== undefined && born !== this.born) return false
    const wasUnavailable = this.unavailableMilliseconds(entry, now) > 0
    const isNews = (leaving && !this.leaving) || (unavailableMilliseconds > 0 && !wasUnavailable)
    this.leaving ||= leaving
    if (unavailableMilliseconds > 0) this.extendPause(entry, now + unavailableMilliseconds, now)
    return isNews
  }

  /** What it told an entry, for the dispatcher; undefined if it accepts requests. */
  noticeFor (entry: string, now: number): UpstreamNotice | undefined {
    const unavailableMilliseconds = Math.ceil(this.unavailableMilliseconds(entry, now))
    if (!this.leaving && unavailableMilliseconds === 0) return undefined
    return { leaving: this.leaving, unavailableMilliseconds, born: this.born }
  }

  private extendPause (entry: string, until: number, now: number): void {
    for (const [other, end] of this.unavailableUntil) {
      if (end <= now) this.unavailableUntil.delete(other)
    }
    this.unavailableUntil.set(entry, Math.max(until, this.unavailableUntil.get(entry) ?? -Infinity))
  }
}
