import { EjectionPhase, type Ejection, type Verdict } from '@hickoryspoke/protocol/generated/evidence'
import type { UpstreamRecord } from '@hickoryspoke/membership/upstream-record'
import { sumSlots } from './ejection-ledger.ts'

const MICROSECONDS = 1_000
const SLOT_TOLERANCE = 1e-9

/** The ejections of one pool that this entry may apply, for as long as their lease runs. */
export class VerdictCache {
  private ejections: readonly Ejection[] = []
  private askedMilliseconds = -Infinity
  private validUntilMilliseconds = -Infinity

  static create (): VerdictCache {
    return new VerdictCache()
  }

  /** Takes an answer of the home; the lease counts from this entry's own question. False for an answer older than one taken before. */
  take (verdict: Verdict, nowMilliseconds: number): boolean {
    const askedMilliseconds = verdict.stampMicroseconds / MICROSECONDS
    if (askedMilliseconds < this.askedMilliseconds || askedMilliseconds > nowMilliseconds) return false
    this.askedMilliseconds = askedMilliseconds
    this.validUntilMilliseconds = askedMilliseconds + verdict.leaseMilliseconds
    this.ejections = verdict.ejections
    return true
  }

  /** Ejections in force, by address: in the order of the grants, as long as they keep the floor in this entry's own view. */
  inForce (announced: readonly UpstreamRecord[], floor: number, nowMilliseconds: number): Map<string, Ejection> {
    const inForce = new Map<string, Ejection>()
    if (nowMilliseconds >= this.validUntilMilliseconds || this.ejections.length === 0) return inForce
    const byAddress = new Map(announced.map((record) => [record.address, record]))
    const allowed = sumSlots(announced) * (1 - floor) + SLOT_TOLERANCE
    const counted = new Set<string>()
    let slots = 0
    for (const ejection of this.ejections) {
      const record = byAddress.get(ejection.address)
      if (record === undefined) continue
      if (!counted.has(record.address)) slots += record.slots
      counted.add(record.address)
      if (slots > allowed) break
      const applies = ejection.phase !== EjectionPhase.EJECTION_PHASE_RELEASED && record.incarnation === ejection.incarnation
      if (applies) inForce.set(ejection.address, ejection)
    }
    return inForce
  }

  /** Whether the lease should be renewed: it holds something and a third of it has passed. */
  isRenewalDue (nowMilliseconds: number): boolean {
    const length = this.validUntilMilliseconds - this.askedMilliseconds
    return this.ejections.length > 0 && nowMilliseconds > this.askedMilliseconds + length / 3
  }
}
