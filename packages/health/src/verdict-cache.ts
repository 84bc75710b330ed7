import { EjectionPhase, type Ejection, type Verdict } from '@hickoryspoke/protocol/generated/evidence'
import type { UpstreamRecord } from '@hickoryspoke/membership/upstream-record'
import { sumSlots } from './ejection-ledger.ts'

const MICROSECONDS_PER_MILLISECOND = 1_000
const SLOT_TOLERANCE = 1e-9

/** The ejections of one pool that this entry may apply while their lease is valid. */
export class VerdictCache {
  private ejections: readonly Ejection[] = []
  private requestedMilliseconds = -Infinity
  private validUntilMilliseconds = -Infinity

  static create (): VerdictCache {
    return new VerdictCache()
  }

  /**
   * Stores an answer of the ejection owner. The lease counts from when this entry sent its request.
   * Returns false for an answer to an older request than one stored before.
   */
  store (verdict: Verdict, nowMilliseconds: number): boolean {
    const requestedMilliseconds = verdict.stampMicroseconds / MICROSECONDS_PER_MILLISECOND
    if (requestedMilliseconds < this.requestedMilliseconds || requestedMilliseconds > nowMilliseconds) return false
    this.requestedMilliseconds = requestedMilliseconds
    this.validUntilMilliseconds = requestedMilliseconds + verdict.leaseMilliseconds
    this.ejections = verdict.ejections
    return true
  }

  /** Ejections to apply, by address: taken in the order of the grants as long as the floor holds in this entry's own view. */
  activeEjections (announced: readonly UpstreamRecord[], floor: number, nowMilliseconds: number): Map<string, Ejection> {
    const active = new Map<string, Ejection>()
    if (nowMilliseconds >= this.validUntilMilliseconds || this.ejections.length === 0) return active
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
      if (applies) active.set(ejection.address, ejection)
    }
    return active
  }

  /** Whether the lease should be renewed: there are ejections and a third of the lease has passed. */
  isRenewalDue (nowMilliseconds: number): boolean {
    const length = this.validUntilMilliseconds - this.requestedMilliseconds
    return this.ejections.length > 0 && nowMilliseconds > this.requestedMilliseconds + length / 3
  }
}
