import type { LoadHint } from '@hickoryspoke/protocol/generated/gossip'
import type { Clock } from '@hickoryspoke/runtime/clock'

const PERCENT = 100
const CHANGE_PERCENT = 10
const HINTS_PER_HEARTBEAT = 12
const CLOCK_SLACK_MILLISECONDS = 50
const MAXIMUM_AGE_MILLISECONDS = 30_000

interface KnownLoad {
  percent: number
  /** Monotonic time of the report, as far as ages tell. */
  measuredMilliseconds: number
  toldPercent: number
}

/** Loads that upstreams reported, passed on with heartbeats within a fixed budget, the largest changes first. */
export class LoadHints {
  private readonly known = new Map<string, KnownLoad>()
  private readonly changed = new Set<string>()

  private constructor (private readonly clock: Clock, private readonly apply: (address: string, load: number) => void) {}

  static create (clock: Clock, apply: (address: string, load: number) => void): LoadHints {
    return new LoadHints(clock, apply)
  }

  /** Takes a load that was just reported, as a share of capacity. */
  report (address: string, load: number): void {
    this.keep(address, Math.round(Math.min(load, 10) * PERCENT), this.clock.monotonicMilliseconds())
  }

  receive (hints: readonly LoadHint[]): void {
    const now = this.clock.monotonicMilliseconds()
    for (const hint of hints) if (hint.ageMilliseconds < MAXIMUM_AGE_MILLISECONDS) this.keep(hint.address, hint.loadPercent, now - hint.ageMilliseconds)
  }

  loadOf (address: string): number {
    return (this.known.get(address)?.percent ?? 0) / PERCENT
  }

  /** The hints for the next heartbeat. */
  take (): LoadHint[] {
    const now = this.clock.monotonicMilliseconds()
    const chosen = [...this.changed].sort((left, right) => this.changeOf(right) - this.changeOf(left)).slice(0, HINTS_PER_HEARTBEAT)
    return chosen.map((address) => this.tell(address, now))
  }

  private tell (address: string, now: number): LoadHint {
    this.changed.delete(address)
    const known = this.known.get(address) as KnownLoad
    known.toldPercent = known.percent
    return { address, loadPercent: known.percent, ageMilliseconds: Math.round(now - known.measuredMilliseconds) }
  }

  private changeOf (address: string): number {
    const known = this.known.get(address) as KnownLoad
    return Math.abs(known.percent - known.toldPercent)
  }

  private keep (address: string, percent: number, measuredMilliseconds: number): void {
    const known = this.known.get(address) ?? { percent: 0, measuredMilliseconds: -Infinity, toldPercent: 0 }
    if (measuredMilliseconds < known.measuredMilliseconds + CLOCK_SLACK_MILLISECONDS) return
    known.percent = percent
    known.measuredMilliseconds = measuredMilliseconds
    this.known.set(address, known)
    if (Math.abs(percent - known.toldPercent) >= CHANGE_PERCENT) this.changed.add(address)
    this.apply(address, percent / PERCENT)
  }
}
