/** The dispatcher's record of requests that were placed and have not ended. */
import { PlacementOutcome, type PlacementEnd, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { Deadlines } from './deadlines.ts'
import type { EntryConnection } from './entry-connection.ts'
import type { StartedWork } from './pool-costs.ts'
import type { PoolDispatcher } from './pool-dispatcher.ts'

/** A request that was placed on an upstream and has not ended. */
export interface ActivePlacement {
  readonly connection: EntryConnection
  readonly instance: string
  readonly pool: PoolDispatcher
  readonly poolName: string
  /** When it was placed, in monotonic milliseconds. */
  readonly placedAt: number
  /** Undefined for a request that an earlier dispatcher or the entry placed. */
  readonly question: PlacementQuestion | undefined
  /** Whether it was placed only to keep the upstream from being idle. */
  readonly isForced: boolean
  /** Its work at the upstream, where this is tracked. */
  readonly work: StartedWork | undefined
}

/** A placement to be added. */
export type NewPlacement = Omit<ActivePlacement, 'placedAt' | 'work'> & { readonly key: string }

/** A placement that has been removed. */
export interface EndedPlacement extends ActivePlacement {
  /** Whether it was counted as overdue before it ended. */
  readonly wasOverdue: boolean
}

interface TrackedPlacement extends ActivePlacement {
  readonly key: string
  readonly expiresAt: number
  wasOverdue: boolean
}

/** A placement whose end is never reported expires this long after the request's deadline. */
const EXPIRY_GRACE_MILLISECONDS = 2_000
/** Placements made by an earlier dispatcher or by the entry expire after this time. */
const RESTORED_PLACEMENT_MILLISECONDS = 15_000
/** A request that takes this many times the usual duration counts as evidence of failure. */
const OVERDUE_FACTOR = 3

/** Notified of placements that take too long. */
export interface PlacementsListener {
  /** The end of a placement was never reported. */
  expired (ended: EndedPlacement): void
  /** A request takes several times as long as usual, which counts as evidence of failure. */
  overdue (placement: ActivePlacement): void
}

/** Active placements by key, which combines entry and ticket; keeps the in-flight count of each upstream. */
export class Placements {
  private readonly held = new Map<string, TrackedPlacement>()
  /** When each is to be looked at: whether it is overdue, and whether it expired. */
  private readonly checks: Deadlines<TrackedPlacement>

  private constructor (private readonly clock: Clock, private readonly listener: PlacementsListener) {
    this.checks = Deadlines.create(clock, (held) => this.check(held))
  }

  static create (clock: Clock, listener: PlacementsListener): Placements {
    return new Placements(clock, listener)
  }

  has (key: string): boolean {
    return this.held.has(key)
  }

  /** Keys of the placements of one entry. */
  keysOf (entry: string): string[] {
    return [...this.held].filter(([, held]) => held.connection.entry === entry).map(([key]) => key)
  }

  /** Adds a placement to its upstream's in-flight count, and schedules its expiry and overdue check. */
  add ({ key, connection, instance, pool, poolName, question, isForced }: NewPlacement): void {
    const placedAt = this.clock.monotonicMilliseconds()
    const lifetimeMilliseconds = question === undefined ? RESTORED_PLACEMENT_MILLISECONDS : question.patienceMilliseconds + EXPIRY_GRACE_MILLISECONDS
    const expiresAt = placedAt + lifetimeMilliseconds
    pool.standingOf(instance).place(placedAt)
    const work = question === undefined ? undefined : pool.startWork(question, instance, placedAt)
    const held: TrackedPlacement = { key, connection, instance, pool, poolName, placedAt, question, isForced, work, expiresAt, wasOverdue: false }
    this.held.set(key, held)
    this.checks.set(held, nextCheckOf(held))
  }

  /** Removes a placement and returns it; undefined when there is none. */
  remove (key: string): EndedPlacement | undefined {
    const held = this.held.get(key)
    if (held === undefined) return undefined
    this.held.delete(key)
    this.checks.cancel(held)
    const standing = held.pool.standingOf(held.instance)
    standing.inFlight = Math.max(0, standing.inFlight - 1)
    if (held.work !== undefined) held.pool.costs.end(held.work)
    return held
  }

  /** Removes all placements. */
  clear (): void {
    for (const key of [...this.held.keys()]) this.remove(key)
  }

  /** Reports a slow request even before it ends. The usual duration may have risen since the request was placed, so it is compared again. */
  private check (held: TrackedPlacement): void {
    const now = this.clock.monotonicMilliseconds()
    if (now >= held.expiresAt) return this.expire(held)
    held.wasOverdue ||= now >= overdueAt(held)
    this.checks.set(held, nextCheckOf(held))
    if (held.wasOverdue) this.listener.overdue(held)
  }

  private expire ({ key }: TrackedPlacement): void {
    const ended = this.remove(key)
    if (ended !== undefined) this.listener.expired(ended)
  }
}

function nextCheckOf (held: TrackedPlacement): number {
  return held.wasOverdue ? held.expiresAt : Math.min(held.expiresAt, overdueAt(held))
}

/** When a placement counts as overdue; Infinity for one of an earlier dispatcher or of an entry. */
function overdueAt ({ placedAt, question, pool }: ActivePlacement): number {
  return question === undefined ? Infinity : placedAt + overdueMilliseconds(question, pool)
}

/** After which time a request counts as overdue. While the usual duration on its route is unknown, it is given the time of its target at least. */
function overdueMilliseconds (question: PlacementQuestion, pool: PoolDispatcher): number {
  const patient = OVERDUE_FACTOR * pool.usualMilliseconds(question)
  return pool.responseTimes.usualMilliseconds(question.route) > 0 ? patient : Math.max(patient, question.targetMilliseconds)
}

/** Whether a request timed out so early that this says nothing about its upstream. */
export function isEarlyTimeout (end: PlacementEnd, pool: PoolDispatcher): boolean {
  return end.outcome === PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT && end.milliseconds < OVERDUE_FACTOR * pool.responseTimes.meanMilliseconds()
}

/** Key of a placement: its entry and ticket. */
export function placementKey (entry: string, ticket: number): string {
  return `${entry}/${ticket}`
}
