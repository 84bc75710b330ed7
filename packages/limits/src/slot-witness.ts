import type { ShareLevel, SlotLease, SlotLevels } from '@hickoryspoke/protocol/generated/share'
import { sameLease } from './same-lease.ts'
import type { ShareLookup } from './slot-shares.ts'

interface RecordedLevel {
  readonly usedTokens: number
  readonly sequence: number
  /** Monotonic time in milliseconds from which the tokens drain. */
  readonly drainsFrom: number
}

/** What a member of a home group has recorded of the grants of a slot's holder. */
export class SlotWitness {
  private lease: SlotLease | undefined
  private complete = false
  private knownSince = 0
  private readonly records = new Map<number, RecordedLevel>()

  static create (): SlotWitness {
    return new SlotWitness()
  }

  /** Whether the records are complete for a lease. */
  completeFor (lease: SlotLease | undefined): boolean {
    return this.complete && sameLease(this.lease, lease)
  }

  /** Takes everything that the holder of a lease knows; records of newer grants stay. */
  sync (levels: SlotLevels, nowMilliseconds: number): void {
    this.follow(levels.lease)
    this.knownSince = nowMilliseconds - levels.knownForMilliseconds
    this.complete = true
    for (const level of levels.levels) this.keep(level, nowMilliseconds)
  }

  /** Records one grant of the holder of a lease. */
  record (lease: SlotLease | undefined, level: ShareLevel, nowMilliseconds: number): void {
    this.follow(lease)
    this.keep(level, nowMilliseconds)
  }

  /** Everything known under a lease; undefined when that is not complete. */
  report (lease: SlotLease | undefined, nowMilliseconds: number): SlotLevels | undefined {
    if (!this.completeFor(lease)) return undefined
    const levels = [...this.records].map(([shareKey, record]) => ({
      shareKey,
      usedTokens: record.usedTokens,
      sequence: record.sequence,
      drainedForMilliseconds: Math.floor(nowMilliseconds - record.drainsFrom)
    }))
    return { lease, levels, knownForMilliseconds: nowMilliseconds - this.knownSince }
  }

  /** Forgets records whose tokens have drained. */
  sweep (lookup: ShareLookup, nowMilliseconds: number): void {
    for (const [shareKey, record] of this.records) {
      const rate = lookup(shareKey)?.rate ?? 0
      if (record.usedTokens <= rate * DRAIN_SHARE * (nowMilliseconds - record.drainsFrom) / 1000) this.records.delete(shareKey)
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

  private keep (level: ShareLevel, now: number): void {
    const known = this.records.get(level.shareKey)
    if (known !== undefined && known.sequence >= level.sequence) return
    const drainsFrom = now - Math.min(0, level.drainedForMilliseconds * DRIFT_FACTOR)
    this.records.set(level.shareKey, { usedTokens: level.usedTokens, sequence: level.sequence, drainsFrom })
  }
}

/** Part of the rate that is sure to have drained, whatever the difference of clocks. */
const DRAIN_SHARE = 0.999
/** By how much a duration on another entry's clock may be longer here. */
const DRIFT_FACTOR = 1.05
