/** Counts the messages that a dispatch service handles, and the time spent on them, by kind. */
import type { Clock } from '@hickoryspoke/runtime/clock'

/** Messages of one kind since the previous reading. */
export interface KindLoad {
  count: number
  /** Time spent on handling them. */
  milliseconds: number
}

/** Counters by kind of message. */
export class MessageLoad {
  private byKind = new Map<string, KindLoad>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): MessageLoad {
    return new MessageLoad(clock)
  }

  /** Handles a message of some kind and records the time that it takes. */
  measure<Value> (kind: string, handle: () => Value): Value {
    const beganAt = this.clock.monotonicMilliseconds()
    const value = handle()
    this.record(kind, this.clock.monotonicMilliseconds() - beganAt)
    return value
  }

  record (kind: string, milliseconds: number): void {
    const load = this.byKind.get(kind) ?? { count: 0, milliseconds: 0 }
    load.count += 1
    load.milliseconds += milliseconds
    this.byKind.set(kind, load)
  }

  /** Returns what was recorded since the previous call, as fields for a log line. */
  readFields (): Record<string, number> {
    const fields: Record<string, number> = {}
    for (const [kind, { count, milliseconds }] of this.byKind) {
      fields[`${kind}Messages`] = count
      fields[`${kind}Milliseconds`] = Math.round(milliseconds)
    }
    this.byKind = new Map()
    return fields
  }
}
