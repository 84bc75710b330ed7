import type { ControlUpdate, EnrolledEntry, EntryReport } from '@hickoryspoke/protocol/generated/distribution'
import type { Clock } from '@hickoryspoke/runtime/clock'

/** How long a report is valid after the probe that it answers was sent; shorter than the quarantine of a restarted witness. */
export const HOLD_VALIDITY_MILLISECONDS = 2_000

/** An entry VM with an open stream. */
export interface ConnectedEntry {
  readonly report: EntryReport
  /** When the probe that the last report answers was sent, in monotonic milliseconds. */
  readonly heldAsOf: number
  /** Sends an update on the entry's stream. */
  readonly send: (update: ControlUpdate) => void
}

/** The entry VMs whose streams this replica serves, and when each of them last reported. */
export class EntryRegistry {
  private readonly connected = new Map<string, ConnectedEntry>()
  private readonly lastHeard = new Map<string, number>()
  private readonly listeners = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): EntryRegistry {
    return new EntryRegistry(clock)
  }

  /** Stores an entry's latest report. */
  update (entry: ConnectedEntry): void {
    this.connected.set(entry.report.name, entry)
    this.lastHeard.set(entry.report.name, this.clock.monotonicMilliseconds())
    for (const listener of [...this.listeners]) listener()
  }

  /** Removes an entry whose last stream ended. */
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

  /** When an entry last reported, in monotonic milliseconds; undefined if it never did. */
  heardAt (name: string): number | undefined {
    return this.lastHeard.get(name)
  }

  /** Calls the listener after each report; returns a function that unsubscribes it. */
  onReport (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Whether a recent probe showed that the entry holds at least this file number and this epoch. */
  holds (name: string, number: number, epoch: number): boolean {
    const entry = this.connected.get(name)
    if (entry === undefined) return false
    const isRecent = this.clock.monotonicMilliseconds() - entry.heldAsOf <= HOLD_VALIDITY_MILLISECONDS
    return isRecent && (entry.report.held?.number ?? 0) >= number && entry.report.epoch >= epoch
  }
}

/** Converts a report to an enrolled entry. Whether it is a witness is decided when it is enrolled. */
export function toEnrolled (report: EntryReport): EnrolledEntry {
  const { name, zone, region, peerAddress, incarnation } = report
  return { name, zone, region, peerAddress, incarnation, witness: false }
}
