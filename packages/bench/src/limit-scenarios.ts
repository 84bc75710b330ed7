import type { LimiterFleet } from '@hickoryspoke/limits/tests/limiter-fleet'

/** Faults that happen during one simulated minute of requests. */
export interface LimitScenario {
  readonly label: string
  /**
   * Schedules the faults; called at the start of the minute.
   * With `affectedOnly`, `holder` is an entry that holds a share of every measured customer.
   */
  readonly scheduleFault: (fleet: LimiterFleet, holder: string) => void
  /** Whether only customers with a share at the lost entry are measured, so that the result must be weighted. */
  readonly affectedOnly: boolean
  /** Target for the share of refused requests; undefined if there is none. */
  readonly maxRefusedShare: number | undefined
}

/** Time from the start of the minute to the loss of a VM or zone. */
export const FAULT_DELAY_MILLISECONDS = 10_000

const REMOVAL_DELAY_MILLISECONDS = 10_000
const RESTART_INTERVAL_MILLISECONDS = 1350
const RESTART_PAUSE_MILLISECONDS = 500

export const LIMIT_SCENARIOS: readonly LimitScenario[] = [
  { label: 'quiet', scheduleFault: () => {}, affectedOnly: false, maxRefusedShare: 0 },
  { label: 'one VM lost', scheduleFault: crashAndRemoveEntry, affectedOnly: true, maxRefusedShare: 0.001 },
  { label: 'one VM lost, control unavailable', scheduleFault: crashEntry, affectedOnly: true, maxRefusedShare: 0.001 },
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
