import type { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { EntryRegistry } from './entry-registry.ts'
import { regionsWithoutQuorum } from './witness-quorum.ts'

/** Maximum wait for a quorum of the entries to hold a file that withdraws access, in milliseconds. */
export const DELIVERY_TIMEOUT_MILLISECONDS = 8_000

/**
 * Regions in which no quorum of the witnesses is known to hold at least this file number; empty when every region has one.
 * While the current epoch is not established, a quorum of the previous witnesses must also hold that epoch.
 */
export function regionsBehind (state: AcceptedState, registry: EntryRegistry, number: number): string[] {
  const { entries, epoch, establishedEpoch } = state.entries.membership()
  const behind = regionsWithoutQuorum(entries, (name) => registry.holds(name, number, 0))
  if (epoch === establishedEpoch) return behind
  const unestablished = regionsWithoutQuorum(state.entries.previousWitnesses, (name) => registry.holds(name, 0, epoch))
  return [...new Set([...behind, ...unestablished])]
}

/** Resolves with an empty list once a quorum in every region holds the number, or with the regions still behind after the timeout. */
export function waitUntilHeld (
  state: AcceptedState,
  registry: EntryRegistry,
  clock: Clock,
  number: number,
  timeoutMilliseconds: number
): Promise<string[]> {
  return new Promise((resolve) => {
    const finish = (behind: string[]): void => {
      timer.cancel()
      stopReports()
      stopChanges()
      resolve(behind)
    }
    const check = (): void => {
      const behind = regionsBehind(state, registry, number)
      if (behind.length === 0) finish(behind)
    }
    const timer = clock.schedule(timeoutMilliseconds, () => finish(regionsBehind(state, registry, number)))
    const stopReports = registry.onReport(check)
    const stopChanges = state.onChange(check)
    check()
  })
}
