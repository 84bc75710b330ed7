import type { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { EntryRegistry } from './entry-registry.ts'
import { regionsWithoutQuorum } from './witness-quorum.ts'

/** Longest wait for a quorum of the entries to hold a file that withdraws access, in milliseconds. */
export const DELIVERY_TIMEOUT_MILLISECONDS = 8_000

/** Regions in which a quorum of the witnesses is not known to hold a number; empty when it is held everywhere. */
export function regionsBehind (state: AcceptedState, register: EntryRegistry, number: number): string[] {
  const { entries, epoch, establishedEpoch } = state.entries.membership()
  const behind = regionsWithoutQuorum(entries, (name) => register.holds(name, number, 0))
  if (epoch === establishedEpoch) return behind
  const unestablished = regionsWithoutQuorum(state.entries.previousWitnesses, (name) => register.holds(name, 0, epoch))
  return [...new Set([...behind, ...unestablished])]
}

/** Resolves with no region once a quorum holds a number, or with the regions still behind after a time. */
export function waitUntilHeld (
  state: AcceptedState,
  register: EntryRegistry,
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
    const look = (): void => {
      const behind = regionsBehind(state, register, number)
      if (behind.length === 0) finish(behind)
    }
    const timer = clock.schedule(timeoutMilliseconds, () => finish(regionsBehind(state, register, number)))
    const stopReports = register.onReport(look)
    const stopChanges = state.onChange(look)
    look()
  })
}
