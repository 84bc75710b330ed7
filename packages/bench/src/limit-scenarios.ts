import type { LimiterFleet } from '@hickoryspoke/limits/tests/limiter-fleet'

/** One course of events around the requests of a minute. */
export interface LimitScenario {
  readonly label: string
  /** Starts what goes wrong, at the start of the minute. `holder` holds a share of every customer asked about. */
  readonly scheduleFault: (fleet: LimiterFleet, holder: string) => void
  /** Whether all customers asked about have a share at the lost entry, and the figure must be weighed. */
  readonly affectedOnly: boolean
  /** Largest share of refused requests; undefined where there is no target. */
  readonly maxRefusedShare: number | undefined
}

/** From the start of the minute to the loss of a VM or zone. */
export const FAULT_DELAY_MILLISECONDS = 10_000

const REMOVAL_DELAY_MILLISECONDS = 10_000
const RESTART_INTERVAL_MILLISECONDS = 1350
const RESTART_PAUSE_MILLISECONDS = 500

/** The scenarios of the measurement of limits. */
export const LIMIT_SCENARIOS: readonly LimitScenario[] = [
  { label: 'quiet', scheduleFault: () => {}, affectedOnly: false, maxRefusedShare: 0 },
  { label: 'one VM lost', scheduleFault: crashAndRemoveEntry, affectedOnly: true, maxRefusedShare: 0.001 },
  { label: 'one VM lost, control away', scheduleFault: crashEntry, affectedOnly: true, maxRefusedShare: 0.001 },
  { label: 'zone lost', scheduleFault: crashZone, affectedOnly: false, maxRefusedShare: undefined },
  { label: 'rolling restart of all', scheduleFault: restartAllEntries, affectedOnly: false, maxRefusedShare: 0.001 }
]

function crashEntry (fleet: LimiterFleet, holder: string): void {
  fleet.clock.schedule(FAULT_DELAY_MILLISECONDS, () => fleet.crash(holder))
}

function crashAndRemoveEntry (fleet: LimiterFleet, holder: string): void {
  crashEntry(fleet, holder)
  fleet.clock.schedule(FAULT_DELAY_MILLISECONDS + REMOVAL_DELAY_MILLISECONDS, () => {
    fleet.authority.change(fleet.roster.filter((entry) => entry.name !== holder))
  })
}

function crashZone (fleet: LimiterFleet): void {
  fleet.clock.schedule(FAULT_DELAY_MILLISECONDS, () => {
    for (const entry of fleet.roster) if (entry.zone === 'zone-0') fleet.crash(entry.name)
  })
}

function restartAllEntries (fleet: LimiterFleet): void {
  fleet.roster.forEach((entry, index) => {
    fleet.clock.schedule(index * RESTART_INTERVAL_MILLISECONDS, () => { void restart(fleet, entry.name) })
  })
}

async function restart (fleet: LimiterFleet, name: string): Promise<void> {
  await fleet.stop(name)
  fleet.clock.schedule(RESTART_PAUSE_MILLISECONDS, () => fleet.start(name))
}
