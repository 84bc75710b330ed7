/** Requests that broke several upstreams one after another are held back. */

interface CrashRecord {
  broken: number
  lastAt: number
}

/** A request that broke this many upstreams without an answer in between is held back. */
const BROKEN_UPSTREAMS = 3
const REMEMBER_MILLISECONDS = 30_000

/** Counts broken connections by fingerprint of the request. */
export class CrashRegister {
  private readonly records = new Map<number, CrashRecord>()

  static create (): CrashRegister {
    return new CrashRegister()
  }

  isHeldBack (fingerprint: number, now: number): boolean {
    const record = this.records.get(fingerprint)
    if (record === undefined) return false
    if (now - record.lastAt <= REMEMBER_MILLISECONDS) return record.broken >= BROKEN_UPSTREAMS
    this.records.delete(fingerprint)
    return false
  }

  countBroken (fingerprint: number, now: number): void {
    const record = this.records.get(fingerprint) ?? { broken: 0, lastAt: now }
    this.records.set(fingerprint, { broken: record.broken + 1, lastAt: now })
    if (this.records.size > 10_000) this.forgetOld(now)
  }

  countAnswered (fingerprint: number): void {
    this.records.delete(fingerprint)
  }

  private forgetOld (now: number): void {
    for (const [fingerprint, record] of this.records) {
      if (now - record.lastAt > REMEMBER_MILLISECONDS) this.records.delete(fingerprint)
    }
  }
}
