/** Blocks requests that crash upstreams: those whose connections broke at several upstreams in a row. */

interface CrashRecord {
  /** Broken connections since the last answer. */
  broken: number
  lastCrashAt: number
}

/** Broken connections in a row, without an answer in between, after which a request is blocked. */
const CRASH_THRESHOLD = 3
const RETENTION_MILLISECONDS = 30_000

/** Counts consecutive broken connections by request fingerprint. */
export class CrashTracker {
  private readonly records = new Map<number, CrashRecord>()

  static create (): CrashTracker {
    return new CrashTracker()
  }

  isBlocked (fingerprint: number, now: number): boolean {
    const record = this.records.get(fingerprint)
    if (record === undefined) return false
    if (now - record.lastCrashAt <= RETENTION_MILLISECONDS) return record.broken >= CRASH_THRESHOLD
    this.records.delete(fingerprint)
    return false
  }

  recordCrash (fingerprint: number, now: number): void {
    const record = this.records.get(fingerprint) ?? { broken: 0, lastCrashAt: now }
    this.records.set(fingerprint, { broken: record.broken + 1, lastCrashAt: now })
    if (this.records.size > 10_000) this.evictExpired(now)
  }

  recordAnswer (fingerprint: number): void {
    this.records.delete(fingerprint)
  }

  private evictExpired (now: number): void {
    for (const [fingerprint, record] of this.records) {
      if (now - record.lastCrashAt > RETENTION_MILLISECONDS) this.records.delete(fingerprint)
    }
  }
}
