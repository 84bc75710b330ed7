/** Counts what a process holds for clients, and says what it refuses first as that grows. */
import { getHeapStatistics } from 'node:v8'
import type { Clock } from './clock.ts'

/** What may still be taken. */
export const MemoryUse = { Connection: 'connection', ReadAhead: 'readAhead', Body: 'body' } as const
export type MemoryUse = typeof MemoryUse[keyof typeof MemoryUse]

/** Share of the budget up to which each use is allowed: new connections are refused first, then requests read ahead, then bodies. */
const ALLOWED_SHARE: Readonly<Record<MemoryUse, number>> = { connection: 0.7, readAhead: 0.8, body: 0.9 }
/**
 * The same for the heap. A part of it is garbage that is not collected yet, so it makes clients wait, or be refused with the time to come back,
 * but closes no new connection, which can wait unread and takes little.
 */
const ALLOWED_HEAP_SHARE: Readonly<Record<MemoryUse, number>> = { connection: Infinity, readAhead: 0.9, body: 0.95 }
const HEAP_CHECK_MILLISECONDS = 50

/** Settings of a `MemoryBudget`. */
export interface MemoryBudgetOptions {
  readonly clock: Clock
  readonly bytes: number
  /** Share of the heap that is in use; by default that of this process. */
  readonly heapShare?: () => number
}

export class MemoryBudget {
  private held = 0
  private heapShare = 0
  private checkedAt = -Infinity

  private constructor (private readonly options: MemoryBudgetOptions) {}

  static create (options: MemoryBudgetOptions): MemoryBudget {
    return new MemoryBudget(options)
  }

  get limitBytes (): number {
    return this.options.bytes
  }

  /** Bytes that are held now. */
  get heldBytes (): number {
    return this.held
  }

  /** Counts bytes that are held from now on, or with a negative number no longer. */
  count (bytes: number): void {
    this.held += bytes
  }

  /** Whether more may be taken for a use. */
  allows (use: MemoryUse): boolean {
    return this.held < this.options.bytes * ALLOWED_SHARE[use] && this.currentHeapShare() < ALLOWED_HEAP_SHARE[use]
  }

  private currentHeapShare (): number {
    const now = this.options.clock.monotonicMilliseconds()
    if (now - this.checkedAt >= HEAP_CHECK_MILLISECONDS) {
      this.checkedAt = now
      this.heapShare = (this.options.heapShare ?? heapShareInUse)()
    }
    return this.heapShare
  }
}

function heapShareInUse (): number {
  const { used_heap_size: used, heap_size_limit: limit } = getHeapStatistics()
  return used / limit
}
