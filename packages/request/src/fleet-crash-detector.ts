import type { CrashMessage } from '@hickoryspoke/protocol/generated/crash'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { rendezvousOrder } from '@hickoryspoke/runtime/hashing'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import { randomBelow, type RandomSource } from '@hickoryspoke/runtime/random'
import { Err, Ok, type Result } from 'ts-results-es'
import { ATTEMPT_KINDS, type AttemptKind, type CrashTrial, type CrashDetector } from './collaborators.ts'
import { CrashPermits } from './crash-permits.ts'
import { CrashRecords, DEFAULT_CRASH_SETTINGS, type CrashSettings } from './crash-records.ts'
import { Refusal } from './refusal.ts'

/** Dependencies of the crash detector. */
export interface FleetCrashDetectorOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<CrashMessage>
  /** Whether an upstream has gone down since a time on the monotonic clock, as opposed to having closed one connection. */
  readonly wentDown: (address: string, sinceMilliseconds: number) => Promise<boolean>
  readonly settings?: Partial<CrashSettings>
}

type CrashBody = NonNullable<CrashMessage['body']>
type CrashHandlers = { [Case in CrashBody['$case']]: (from: string, value: Extract<CrashBody, { $case: Case }>['value']) => void }

interface Permit {
  readonly incident: string
  readonly coordinator: string
  readonly nonce: number
}

const NONCE_RANGE = 2 ** 48
const POSSIBLE_CRASH_KINDS: ReadonlySet<AttemptKind> = new Set([ATTEMPT_KINDS.reset, ATTEMPT_KINDS.truncated])
const HARMLESS_KINDS: ReadonlySet<AttemptKind> = new Set([ATTEMPT_KINDS.answered, ATTEMPT_KINDS.serverError])

/** Detects requests that crash upstreams by sharing suspicions across the fleet. Two crashes block a fingerprint by default. */
export class FleetCrashDetector implements CrashDetector {
  private readonly handlers: CrashHandlers = {
    suspicion: (_from, { fingerprint, address }) => this.records.suspect(fingerprint, address),
    ask: (from, ask) => this.permits.receiveAsk(from, ask),
    reply: (_from, { nonce }) => this.waiting.get(nonce)?.(),
    trialEnd: (_from, end) => this.permits.receiveEnd(end),
    cleared: (_from, { fingerprint }) => this.records.clear(fingerprint)
  }

  private readonly settings: CrashSettings
  private readonly network: PeerNetwork<CrashMessage>
  private readonly permits: CrashPermits
  private readonly waiting = new Map<number, () => void>()
  private entries: readonly string[] = []
  readonly records: CrashRecords

  private constructor (private readonly options: FleetCrashDetectorOptions) {
    this.settings = { ...DEFAULT_CRASH_SETTINGS, ...options.settings }
    this.network = { self: options.network.self, send: (to, message) => this.send(to, message) }
    this.records = CrashRecords.create(options.clock, this.settings)
    this.permits = CrashPermits.create(options.clock, this.network, this.settings.permitMilliseconds)
  }

  static create (options: FleetCrashDetectorOptions): FleetCrashDetector {
    return new FleetCrashDetector(options)
  }

  applyMembership (membership: EntryMembership): void {
    this.entries = membership.entries.map((entry) => entry.name)
  }

  /** Handles a message from another entry. */
  receive (from: string, message: CrashMessage): void {
    if (message.body === undefined) return
    const handler = this.handlers[message.body.$case] as (from: string, value: unknown) => void
    handler(from, message.body.value)
  }

  /** Lets a request run: at once if it is not suspected, after a permit if it is, and not at all if it is blocked. */
  async begin (fingerprint: string): Promise<Result<CrashTrial, Refusal>> {
    const trial = MonitoredTrial.create(this, this.options.clock, fingerprint)
    const refusal = await trial.beforeAttempt()
    return refusal === undefined ? Ok(trial) : Err(refusal)
  }

  /** Acquires the permit to run a suspected fingerprint. Undefined if the fingerprint is not suspected. */
  async acquirePermit (fingerprint: string): Promise<Result<Permit | undefined, Refusal>> {
    const incident = this.records.incidentOf(fingerprint)
    if (incident === undefined) return Ok(undefined)
    if (this.records.isBlocked(fingerprint)) return Err(Refusal.create('crashing_request'))
    const permit = await this.requestPermit(incident, fingerprint)
    if (permit === undefined) return Err(Refusal.create('crash_check_pending', undefined, this.settings.permitWaitMilliseconds))
    if (!this.records.isBlocked(fingerprint)) return Ok(permit)
    this.releasePermit(permit)
    return Err(Refusal.create('crashing_request'))
  }

  releasePermit (permit: Permit): void {
    const { coordinator, incident, nonce } = permit
    this.network.send(coordinator, { body: { $case: 'trialEnd', value: { incident, nonce } } })
  }

  /** Records that a request got a complete response. Informs the fleet only if the fingerprint was suspected. */
  recordHarmless (fingerprint: string): void {
    const wasSuspected = this.records.incidentOf(fingerprint) !== undefined
    this.records.clear(fingerprint)
    if (wasSuspected) this.broadcast({ body: { $case: 'cleared', value: { fingerprint } } })
  }

  /** Checks whether an upstream went down during an attempt, and informs the fleet if so. */
  async checkForCrash (fingerprint: string, address: string): Promise<void> {
    const since = this.options.clock.monotonicMilliseconds()
    if (this.records.isHarmless(fingerprint)) return
    await sleep(this.options.clock, this.settings.crashCheckDelayMilliseconds)
    if (!await this.options.wentDown(address, since)) return
    this.records.suspect(fingerprint, address)
    this.broadcast({ body: { $case: 'suspicion', value: { fingerprint, address } } })
  }

  private async requestPermit (incident: string, fingerprint: string): Promise<Permit | undefined> {
    const coordinator = rendezvousOrder(incident, this.entries)[0] ?? this.network.self
    const permit = { incident, coordinator, nonce: randomBelow(this.options.random, NONCE_RANGE) }
    const isGranted = await new Promise<boolean>((resolve) => {
      const timer = this.options.clock.schedule(this.settings.permitWaitMilliseconds, () => resolve(false))
      this.waiting.set(permit.nonce, () => {
        timer.cancel()
        resolve(true)
      })
      this.network.send(coordinator, { body: { $case: 'ask', value: { incident, fingerprint, nonce: permit.nonce } } })
    })
    this.waiting.delete(permit.nonce)
    if (isGranted) return permit
    this.releasePermit(permit)
    return undefined
  }

  private broadcast (message: CrashMessage): void {
    for (const entry of this.entries) if (entry !== this.network.self) this.network.send(entry, message)
  }

  private send (to: string, message: CrashMessage): void {
    if (to === this.network.self) this.receive(to, message)
    else this.options.network.send(to, message)
  }
}

/** The attempts of one request, monitored by the detector. */
class MonitoredTrial implements CrashTrial {
  private permit: Permit | undefined
  private pendingCheck: Promise<void> = Promise.resolve()

  private constructor (private readonly detector: FleetCrashDetector, private readonly clock: Clock, private readonly fingerprint: string) {}

  static create (detector: FleetCrashDetector, clock: Clock, fingerprint: string): MonitoredTrial {
    return new MonitoredTrial(detector, clock, fingerprint)
  }

  async beforeAttempt (): Promise<Refusal | undefined> {
    await this.pendingCheck
    this.end()
    const permit = await this.detector.acquirePermit(this.fingerprint)
    if (permit.isErr()) return permit.error
    this.permit = permit.value
    return undefined
  }

  finish (address: string, kind: AttemptKind): boolean {
    if (HARMLESS_KINDS.has(kind)) this.detector.recordHarmless(this.fingerprint)
    if (!POSSIBLE_CRASH_KINDS.has(kind)) return false
    const wasSuspected = this.detector.records.incidentOf(this.fingerprint) !== undefined
    this.pendingCheck = this.detector.checkForCrash(this.fingerprint, address)
    return wasSuspected
  }

  end (): void {
    const { permit } = this
    this.permit = undefined
    if (permit !== undefined) this.pendingCheck.then(() => this.detector.releasePermit(permit)).catch(() => {})
  }
}
