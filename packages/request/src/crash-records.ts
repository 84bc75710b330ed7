import type { Clock } from '@hickoryspoke/runtime/clock'

/** Limits and timeouts of crash detection. */
export interface CrashSettings {
  /** Requests of a fingerprint are blocked once this many upstreams have crashed while running it. */
  readonly crashThreshold: number
  readonly suspicionMilliseconds: number
  readonly holdBackMilliseconds: number
  /** Delay between a broken attempt and the check whether its upstream crashed. */
  readonly crashCheckDelayMilliseconds: number
  /** Maximum time that a suspected request waits for its permit. */
  readonly permitWaitMilliseconds: number
  /** A permit that has not been returned expires after this time. */
  readonly permitMilliseconds: number
  readonly maximumRecords: number
  readonly maximumHarmlessFingerprints: number
}

export const DEFAULT_CRASH_SETTINGS: CrashSettings = {
  crashThreshold: 2,
  suspicionMilliseconds: 60_000,
  holdBackMilliseconds: 600_000,
  crashCheckDelayMilliseconds: 20,
  permitWaitMilliseconds: 2000,
  permitMilliseconds: 5000,
  maximumRecords: 10_000,
  maximumHarmlessFingerprints: 8192
}

interface CrashRecord {
  readonly addresses: Set<string>
  lastAddress: string
  expiresMilliseconds: number
}

/** Fingerprints of suspected and blocked requests, and of requests recently seen to be harmless. */
export class CrashRecords {
  private readonly records = new Map<string, CrashRecord>()
  private readonly harmless = new Set<string>()

  private constructor (private readonly clock: Clock, private readonly settings: CrashSettings) {}

  static create (clock: Clock, settings: CrashSettings): CrashRecords {
    return new CrashRecords(clock, settings)
  }

  /** Returns the upstream that crashed last while it ran a suspected fingerprint; undefined if there is no suspicion. */
  incidentOf (fingerprint: string): string | undefined {
    return this.find(fingerprint)?.lastAddress
  }

  isBlocked (fingerprint: string): boolean {
    return (this.find(fingerprint)?.addresses.size ?? 0) >= this.settings.crashThreshold
  }

  isHarmless (fingerprint: string): boolean {
    return this.harmless.has(fingerprint)
  }

  /** Counts an upstream that crashed while it ran this fingerprint. Each upstream counts once. */
  suspect (fingerprint: string, address: string): void {
    const existing = this.find(fingerprint)
    if (existing === undefined && this.records.size >= this.settings.maximumRecords) this.dropOldest()
    const record = existing ?? { addresses: new Set<string>(), lastAddress: address, expiresMilliseconds: 0 }
    record.addresses.add(address)
    record.lastAddress = address
    const isBlocked = record.addresses.size >= this.settings.crashThreshold
    const lifetimeMilliseconds = isBlocked ? this.settings.holdBackMilliseconds : this.settings.suspicionMilliseconds
    record.expiresMilliseconds = this.clock.monotonicMilliseconds() + lifetimeMilliseconds
    this.records.delete(fingerprint)
    this.records.set(fingerprint, record)
  }

  /** Clears the suspicion after a response. A blocked fingerprint stays blocked until its time is over. */
  clear (fingerprint: string): void {
    if (this.isBlocked(fingerprint)) return
    this.records.delete(fingerprint)
    this.harmless.delete(fingerprint)
    this.harmless.add(fingerprint)
    if (this.harmless.size <= this.settings.maximumHarmlessFingerprints) return
    const [oldest] = this.harmless
    if (oldest !== undefined) this.harmless.delete(oldest)
  }

  get suspects (): number {
    return this.records.size
  }

  private find (fingerprint: string): CrashRecord | undefined {
    const record = this.records.get(fingerprint)
    if (record === undefined || record.expiresMilliseconds > this.clock.monotonicMilliseconds()) return record
    this.records.delete(fingerprint)
    return undefined
  }

  private dropOldest (): void {
    const [oldest] = this.records.keys()
    if (oldest !== undefined) this.records.delete(oldest)
  }
}
