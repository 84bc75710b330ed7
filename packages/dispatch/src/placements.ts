/** Requests that were placed and have not ended, by entry and ticket. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock, Timer } from '@hickoryspoke/runtime/clock'
import type { PoolDispatcher } from './pool-dispatcher.ts'

/** One request at its upstream. */
export interface PlacedRequestRecord {
  readonly entry: string
  readonly instance: string
  readonly pool: PoolDispatcher
  readonly poolName: string
  /** Monotonic milliseconds. */
  readonly placedAt: number
  /** Undefined for a request that an earlier dispatcher or the entry placed. */
  readonly question: PlacementQuestion | undefined
  /** It was placed only so that the upstream is not left out. */
  readonly isForced: boolean
}

/** What a placement is made of. */
export type NewPlacement = Omit<PlacedRequestRecord, 'placedAt'> & { readonly key: string }

/** A placement that has been taken out. */
export interface EndedPlacement extends PlacedRequestRecord {
  /** It was counted as overdue before it ended. */
  readonly wasOverdue: boolean
}

interface Held extends PlacedRequestRecord {
  readonly expiry: Timer
  overdue: Timer | undefined
  wasOverdue: boolean
}

/** A placement whose end is never told is forgotten this long after its time is over. */
const FORGET_MILLISECONDS = 2_000
/** Placements that an earlier dispatcher made are forgotten after this time. */
const INHERITED_MILLISECONDS = 15_000
/** A request that takes this many times the usual time counts against its upstream. */
export const OVERDUE_FACTOR = 3

/** Counts the requests at each upstream. */
export class Placements {
  private readonly held = new Map<string, Held>()

  private constructor (private readonly clock: Clock, private readonly onForgotten: (ended: EndedPlacement) => void) {}

  /** `onForgotten` is called for a placement whose end was never told. */
  static create (clock: Clock, onForgotten: (ended: EndedPlacement) => void): Placements {
    return new Placements(clock, onForgotten)
  }

  has (key: string): boolean {
    return this.held.has(key)
  }

  /** Keys of the placements of one entry. */
  keysOf (entry: string): string[] {
    return [...this.held].filter(([, held]) => held.entry === entry).map(([key]) => key)
  }

  /** Counts a request at its upstream. */
  add ({ key, ...placement }: NewPlacement): void {
    const { pool, instance, question } = placement
    const placedAt = this.clock.monotonicMilliseconds()
    const life = question === undefined ? INHERITED_MILLISECONDS : question.patienceMilliseconds + FORGET_MILLISECONDS
    const expiry = this.clock.schedule(life, () => this.forget(key))
    const held: Held = { ...placement, placedAt, expiry, overdue: undefined, wasOverdue: false }
    if (question !== undefined) held.overdue = this.watchOverdue(held, question)
    pool.standingOf(instance).place(placedAt)
    this.held.set(key, held)
  }

  /** Takes a placement out; undefined when there is none. */
  take (key: string): EndedPlacement | undefined {
    const held = this.held.get(key)
    if (held === undefined) return undefined
    this.held.delete(key)
    held.expiry.cancel()
    held.overdue?.cancel()
    const standing = held.pool.standingOf(held.instance)
    standing.inFlight = Math.max(0, standing.inFlight - 1)
    return held
  }

  /** Takes all out. */
  clear (): void {
    for (const key of [...this.held.keys()]) this.take(key)
  }

  /** A request that takes several times as long as usual speaks against its upstream before it ends. */
  private watchOverdue (held: Held, question: PlacementQuestion): Timer {
    return this.clock.schedule(OVERDUE_FACTOR * held.pool.usualMilliseconds(question), () => {
      held.wasOverdue = true
      held.pool.standingOf(held.instance).recordOverdue(this.clock.monotonicMilliseconds())
    })
  }

  private forget (key: string): void {
    const ended = this.take(key)
    if (ended !== undefined) this.onForgotten(ended)
  }
}
