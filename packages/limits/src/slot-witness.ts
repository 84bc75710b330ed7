import type { ShareLevel, SlotLease, SlotLevels } from '@hickoryspoke/protocol/generated/share'
import { sameLease } from './same-lease.ts'
import type { ShareLookup } from './slot-shares.ts'

interface RecordedLevel {
  readonly usedTokens: number
  readonly sequence: number
  /** Monotonic time in milliseconds at which the tokens start to drain. */
  readonly drainsSince: number
}

/** Records that a member of a lease group keeps of the grants made by the slot's lease holder. */
export class SlotWitness {
  private lease: SlotLease | undefined
  private complete = false
  private knownSince = 0
  private readonly records = new Map<number, RecordedLevel>()

  static create (): SlotWitness {
    return new SlotWitness()
  }

  /** Whether the records are complete for the given lease. */
  isCompleteFor (lease: SlotLease | undefined): boolean {
    return this.complete && sameLease(this.lease, lease)
  }

  /** Stores all levels known to the lease holder; records of newer grants are kept. */
  sync (levels: SlotLevels, nowMilliseconds: number): void {
    this.follow(levels.lease)
    this.knownSince = nowMilliseconds - levels.knownForMilliseconds
    this.complete = true
    for (const level of levels.levels) this.store(level, nowMilliseconds)
  }

  /** Records one grant made by the lease holder. */
  record (lease: SlotLease | undefined, level: ShareLevel, nowMilliseconds: number): void {
    this.follow(lease)
    this.store(level, nowMilliseconds)
  }

  /** All levels recorded under a lease; undefined if the records are not complete. */
  report (lease: SlotLease | undefined, nowMilliseconds: number): SlotLevels | undefined {
    if (!this.isCompleteFor(lease)) return undefined
    const levels = [...this.records].map(([shareKey, record]) => ({
      shareKey,
      usedTokens: record.usedTokens,
      sequence: record.sequence,
      drainedForMilliseconds: Math.floor(nowMilliseconds - record.drainsSince)
    }))
    return { lease, levels, knownForMilliseconds: nowMilliseconds - this.knownSince }
  }

  /** Removes records whose tokens have drained. */
  sweep (lookup: ShareLookup, nowMilliseconds: number): void {
    for (const [shareKey, record] of this.records) {
      const rate = lookup(shareKey)?.rate ?? 0
      if (record.usedTokens <= rate * DRAIN_RATIO * (nowMilliseconds - record.drainsSince) / 1000) this.records.delete(shareKey)
    }
  }

  get size (): number {
    return this.records.size
  }

  private follow (lease: SlotLease | undefined): void {
    if (sameLease(this.lease, lease)) return
    this.lease = lease
    this.complete = false
    this.records.clear()
  }

  private store (level: ShareLevel, now: number): void {
    const known = this.records.get(level.shareKey)
    if (known !== undefined && known.sequence >= level.sequence) return
    const drainsSince = now - Math.min(0, level.drainedForMilliseconds * DRIFT_FACTOR)
    this.records.set(level.shareKey, { usedTokens: level.usedTokens, sequence: level.sequence, drainsSince })
  }
}

/** Part of the rate assumed to have drained, so that clock differences never drain a record too early. */
const DRAIN_RATIO = 0.999
/** Longest a duration measured on another entry's clock may take on this clock, as a factor. */
const DRIFT_FACTOR = 1.05
