import type { Clock } from '@hickoryspoke/runtime/clock'
import type { ConnectedEntry, EntryRegistry } from './entry-registry.ts'

/** Time that entries have to send their view, in milliseconds. */
const VIEW_TIMEOUT_MILLISECONDS = 1_000

/** Entries asked in each zone; all of them see the same announcements. */
const ENTRIES_ASKED_PER_ZONE = 2

/** The view of one entry VM: JSON as the entry sent it. */
export interface EntryView {
  readonly entry: string
  readonly zone: string
  readonly upstreams: unknown
}

/** Asks entries of every zone how they see the upstreams. */
export class UpstreamViews {
  private constructor (private readonly register: EntryRegistry, private readonly clock: Clock) {}

  static create (register: EntryRegistry, clock: Clock): UpstreamViews {
    return new UpstreamViews(register, clock)
  }

  /** Views of the entries that answered in time. */
  collect (): Promise<EntryView[]> {
    const asked = new Set(this.chooseEntries().map((entry) => entry.report.name))
    const views = new Map<string, EntryView>()
    return new Promise((resolve) => {
      const finish = (): void => {
        timer.cancel()
        unsubscribe()
        resolve([...views.values()])
      }
      const look = (): void => {
        for (const name of asked) this.readView(name, views)
        if (views.size === asked.size) finish()
      }
      const timer = this.clock.schedule(VIEW_TIMEOUT_MILLISECONDS, finish)
      const unsubscribe = this.register.onReport(look)
      for (const name of asked) this.register.get(name)?.send({ body: { $case: 'upstreamViewRequest', value: true } })
      if (asked.size === 0) finish()
    })
  }

  private readView (name: string, views: Map<string, EntryView>): void {
    const report = this.register.get(name)?.report
    if (report === undefined || report.upstreamView.length === 0) return
    views.set(name, { entry: name, zone: report.zone, upstreams: parseView(report.upstreamView) })
  }

  private chooseEntries (): ConnectedEntry[] {
    const chosen: ConnectedEntry[] = []
    for (const entry of this.register.entries()) {
      const ofZone = chosen.filter((other) => other.report.zone === entry.report.zone)
      if (ofZone.length < ENTRIES_ASKED_PER_ZONE) chosen.push(entry)
    }
    return chosen
  }
}

function parseView (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'))
  } catch {
    return null
  }
}
