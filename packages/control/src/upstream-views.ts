import type { Clock } from '@hickoryspoke/runtime/clock'
import type { ConnectedEntry, EntryRegistry } from './entry-registry.ts'

/** How long to wait for the entries' views, in milliseconds. */
const VIEW_TIMEOUT_MILLISECONDS = 1_000

/** Number of entries asked in each zone; a few suffice, since all of them see the same announcements. */
const ENTRIES_ASKED_PER_ZONE = 2

/** The upstreams as seen by one entry VM; `upstreams` is the JSON that the entry sent, or null if it was malformed. */
export interface EntryView {
  readonly entry: string
  readonly zone: string
  readonly upstreams: unknown
}

/** Asks some entries in every zone for their view of the upstreams. */
export class UpstreamViews {
  private constructor (private readonly registry: EntryRegistry, private readonly clock: Clock) {}

  static create (registry: EntryRegistry, clock: Clock): UpstreamViews {
    return new UpstreamViews(registry, clock)
  }

  /** Returns the views of the entries that answered in time. */
  collect (): Promise<EntryView[]> {
    const asked = new Set(this.chooseEntries().map((entry) => entry.report.name))
    const views = new Map<string, EntryView>()
    return new Promise((resolve) => {
      const finish = (): void => {
        timer.cancel()
        unsubscribe()
        resolve([...views.values()])
      }
      const check = (): void => {
        for (const name of asked) this.readView(name, views)
        if (views.size === asked.size) finish()
      }
      const timer = this.clock.schedule(VIEW_TIMEOUT_MILLISECONDS, finish)
      const unsubscribe = this.registry.onReport(check)
      for (const name of asked) this.registry.get(name)?.send({ body: { $case: 'upstreamViewRequest', value: true } })
      if (asked.size === 0) finish()
    })
  }

  private readView (name: string, views: Map<string, EntryView>): void {
    const report = this.registry.get(name)?.report
    if (report === undefined || report.upstreamView.length === 0) return
    views.set(name, { entry: name, zone: report.zone, upstreams: parseView(report.upstreamView) })
  }

  private chooseEntries (): ConnectedEntry[] {
    const chosen: ConnectedEntry[] = []
    for (const entry of this.registry.entries()) {
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
