import type { Clock } from '@hickoryspoke/runtime/clock'

/** Bounds and timings of the watch over requests that crash upstreams. */
export interface CrashSettings {
  /** Upstreams that may go down under a fingerprint before its requests are held back. */
  readonly crashesAllowed: number
  readonly suspicionMilliseconds: number
  readonly holdBackMilliseconds: number
  /** Pause between a broken attempt and the look at whether its upstream went down. */
  readonly lookMilliseconds: number
  /** Longest wait for the right to run a suspected request. */
  readonly permitWaitMilliseconds: number
  /** A permit that is not given back counts as given back after this time. */
  readonly permitMilliseconds: number
  readonly maximumRecords: number
  readonly maximumHarmless: number
}

export const DEFAULT_CRASH_SETTINGS: CrashSettings = {
  crashesAllowed: 2,
  suspicionMilliseconds: 60_000,
  holdBackMilliseconds: 600_000,
  lookMilliseconds: 20,
  permitWaitMilliseconds: 2000,
  permitMilliseconds: 5000,
  maximumRecords: 10_000,
  maximumHarmless: 8192
}

interface CrashRecord {
  readonly addresses: Set<string>
  lastAddress: string
  expiresMilliseconds: number
}

/** Fingerprints under suspicion, those held back, and those lately seen to be harmless. */
export class CrashRecords {
  private readonly records = new Map<string, CrashRecord>()
  private readonly harmless = new Set<string>()

  private constructor (private readonly clock: Clock, private readonly settings: CrashSettings) {}

  static create (clock: Clock, settings: CrashSettings): CrashRecords {
    return new CrashRecords(clock, settings)
  }

  /** The upstream that went down last under a fingerprint that is under suspicion. */
  incidentOf (fingerprint: string): string | undefined {
    return this.find(fingerprint)?.lastAddress
  }

  isHeldBack (fingerprint: string): boolean {
    return (this.find(fingerprint)?.addresses.size ?? 0) >= this.settings.crashesAllowed
  }

  isHarmless (fingerprint: string): boolean {
    return this.harmless.has(fingerprint)
  }

  /** Counts one upstream that went down; the same upstream counts once. */
  suspect (fingerprint: string, address: string): void {
    const known = this.find(fingerprint)
    if (known === undefined && this.records.size >= this.settings.maximumRecords) this.dropOldest()
    const record = known ?? { addresses: new Set<string>(), lastAddress: address, expiresMilliseconds: 0 }
    record.addresses.add(address)
    record.lastAddress = address
    const isHeldBack = record.addresses.size >= this.settings.crashesAllowed
    const lasts = isHeldBack ? this.settings.holdBackMilliseconds : this.settings.suspicionMilliseconds
    record.expiresMilliseconds = this.clock.monotonicMilliseconds() + lasts
    this.records.delete(fingerprint)
    this.records.set(fingerprint, record)
  }

  /** A request of this fingerprint was answered. One that is held back stays so until its time is over. */
  clear (fingerprint: string): void {
    if (this.isHeldBack(fingerprint)) return
    this.records.delete(fingerprint)
    this.harmless.delete(fingerprint)
    this.harmless.add(fingerprint)
    if (this.harmless.size <= this.settings.maximumHarmless) return
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
