import type { LoadHint } from '@hickoryspoke/protocol/generated/gossip'
import type { Clock } from '@hickoryspoke/runtime/clock'

const PERCENT = 100
const MINIMUM_CHANGE_PERCENT = 10
const HINTS_PER_HEARTBEAT = 12
/** A report replaces the known one only if it is newer by at least this much, since ages are not exact. */
const AGE_TOLERANCE_MILLISECONDS = 50
const MAXIMUM_AGE_MILLISECONDS = 30_000

interface KnownLoad {
  percent: number
  /** Monotonic time of the report, estimated from the age of the hint. */
  reportedMilliseconds: number
  lastSentPercent: number
}

/** Loads reported by upstreams. Each heartbeat carries a limited number of them, largest changes first. */
export class LoadHints {
  private readonly known = new Map<string, KnownLoad>()
  private readonly changed = new Set<string>()

  private constructor (private readonly clock: Clock, private readonly apply: (address: string, load: number) => void) {}

  static create (clock: Clock, apply: (address: string, load: number) => void): LoadHints {
    return new LoadHints(clock, apply)
  }

  /** Records a load reported just now, as a share of capacity. */
  report (address: string, load: number): void {
    this.update(address, Math.round(Math.min(load, 10) * PERCENT), this.clock.monotonicMilliseconds())
  }

  receive (hints: readonly LoadHint[]): void {
    const now = this.clock.monotonicMilliseconds()
    for (const hint of hints) if (hint.ageMilliseconds < MAXIMUM_AGE_MILLISECONDS) this.update(hint.address, hint.loadPercent, now - hint.ageMilliseconds)
  }

  loadOf (address: string): number {
    return (this.known.get(address)?.percent ?? 0) / PERCENT
  }

  /** Returns the hints for the next heartbeat and marks them as sent. */
  takeForHeartbeat (): LoadHint[] {
    const now = this.clock.monotonicMilliseconds()
    const chosen = [...this.changed].sort((left, right) => this.changeOf(right) - this.changeOf(left)).slice(0, HINTS_PER_HEARTBEAT)
    return chosen.map((address) => this.toHint(address, now))
  }

  private toHint (address: string, now: number): LoadHint {
    this.changed.delete(address)
    const known = this.known.get(address) as KnownLoad
    known.lastSentPercent = known.percent
    return { address, loadPercent: known.percent, ageMilliseconds: Math.round(now - known.reportedMilliseconds) }
  }

  private changeOf (address: string): number {
    const known = this.known.get(address) as KnownLoad
    return Math.abs(known.percent - known.lastSentPercent)
  }

  private update (address: string, percent: number, reportedMilliseconds: number): void {
    const known = this.known.get(address) ?? { percent: 0, reportedMilliseconds: -Infinity, lastSentPercent: 0 }
    if (reportedMilliseconds < known.reportedMilliseconds + AGE_TOLERANCE_MILLISECONDS) return
    known.percent = percent
    known.reportedMilliseconds = reportedMilliseconds
    this.known.set(address, known)
    if (Math.abs(percent - known.lastSentPercent) >= MINIMUM_CHANGE_PERCENT) this.changed.add(address)
    this.apply(address, percent / PERCENT)
  }
}
