import type { ControlUpdate, EnrolledEntry, EntryReport } from '@hickoryspoke/protocol/generated/distribution'
import type { Clock } from '@hickoryspoke/runtime/clock'

/** Oldest probe whose echo still shows what an entry holds; shorter than the quarantine of a restarted witness. */
export const HOLD_VALIDITY_MILLISECONDS = 2_000

/** What control knows of one entry VM from its stream. */
export interface ConnectedEntry {
  readonly report: EntryReport
  /** Monotonic milliseconds at which the probe left that the last report answers. */
  readonly heldAsOf: number
  /** Sends down the stream of the entry. */
  readonly send: (update: ControlUpdate) => void
}

/** The entry VMs whose streams this replica serves, and when each was last heard. */
export class EntryRegistry {
  private readonly connected = new Map<string, ConnectedEntry>()
  private readonly lastHeard = new Map<string, number>()
  private readonly listeners = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): EntryRegistry {
    return new EntryRegistry(clock)
  }

  /** Takes a report; `heldAsOf` is when the probe left that it answers. */
  update (entry: ConnectedEntry): void {
    this.connected.set(entry.report.name, entry)
    this.lastHeard.set(entry.report.name, this.clock.monotonicMilliseconds())
    for (const listener of [...this.listeners]) listener()
  }

  /** Forgets an entry whose last stream ended. */
  remove (name: string): void {
    this.connected.delete(name)
  }

  clear (): void {
    this.connected.clear()
    this.lastHeard.clear()
  }

  get (name: string): ConnectedEntry | undefined {
    return this.connected.get(name)
  }

  entries (): readonly ConnectedEntry[] {
    return [...this.connected.values()]
  }

  /** Monotonic milliseconds of the last report of an entry. */
  heardAt (name: string): number | undefined {
    return this.lastHeard.get(name)
  }

  /** Calls back after each report; returns how to unsubscribe. */
  onReport (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Whether an entry was shown, by a probe recent enough, to hold a number and an epoch at least. */
  holds (name: string, number: number, epoch: number): boolean {
    const entry = this.connected.get(name)
    if (entry === undefined) return false
    const isRecent = this.clock.monotonicMilliseconds() - entry.heldAsOf <= HOLD_VALIDITY_MILLISECONDS
    return isRecent && (entry.report.held?.number ?? 0) >= number && entry.report.epoch >= epoch
  }
}

/** The entry as the membership names it. */
export function toEnrolled (report: EntryReport): EnrolledEntry {
  const { name, zone, region, peerAddress, incarnation } = report
  return { name, zone, region, peerAddress, incarnation, witness: false }
}
