import type { CrashMessage } from '@hickoryspoke/protocol/generated/crash'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { rendezvousOrder } from '@hickoryspoke/runtime/hashing'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import { randomBelow, type RandomSource } from '@hickoryspoke/runtime/random'
import { Err, Ok, type Result } from 'ts-results-es'
import { ATTEMPT_KINDS, type AttemptKind, type CrashTrial, type CrashWatch } from './collaborators.ts'
import { CrashPermits } from './crash-permits.ts'
import { CrashRecords, DEFAULT_CRASH_SETTINGS, type CrashSettings } from './crash-records.ts'
import { Refusal } from './refusal.ts'

/** What the watch is built from. */
export interface FleetCrashWatchParts {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<CrashMessage>
  /** Whether an upstream went down since a moment on the monotonic clock, rather than closed one connection. */
  readonly wentDown: (address: string, sinceMilliseconds: number) => Promise<boolean>
  readonly settings?: Partial<CrashSettings>
}

type CrashBody = NonNullable<CrashMessage['body']>
type CrashHandlers = { [Case in CrashBody['$case']]: (from: string, value: Extract<CrashBody, { $case: Case }>['value']) => void }

interface Permit {
  readonly incident: string
  readonly home: string
  readonly nonce: number
}

const NONCE_RANGE = 2 ** 48
const BROKEN: ReadonlySet<AttemptKind> = new Set([ATTEMPT_KINDS.reset, ATTEMPT_KINDS.truncated])
const HARMLESS: ReadonlySet<AttemptKind> = new Set([ATTEMPT_KINDS.answered, ATTEMPT_KINDS.serverError])

/** Counts over the whole fleet which requests bring upstreams down, and holds them back after two. */
export class FleetCrashWatch implements CrashWatch {
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

  private constructor (private readonly parts: FleetCrashWatchParts) {
    this.settings = { ...DEFAULT_CRASH_SETTINGS, ...parts.settings }
    this.network = { self: parts.network.self, send: (to, message) => this.send(to, message) }
    this.records = CrashRecords.create(parts.clock, this.settings)
    this.permits = CrashPermits.create(parts.clock, this.network, this.settings.permitMilliseconds)
  }

  static create (parts: FleetCrashWatchParts): FleetCrashWatch {
    return new FleetCrashWatch(parts)
  }

  applyMembership (membership: EntryMembership): void {
    this.entries = membership.entries.map((entry) => entry.name)
  }

  /** Handles a message of another entry. */
  receive (from: string, message: CrashMessage): void {
    if (message.body === undefined) return
    const handler = this.handlers[message.body.$case] as (from: string, value: unknown) => void
    handler(from, message.body.value)
  }

  /** Lets a request run: at once, after its turn while it is under suspicion, or not at all. */
  async begin (fingerprint: string): Promise<Result<CrashTrial, Refusal>> {
    const trial = WatchedTrial.create(this, this.parts.clock, fingerprint)
    const refusal = await trial.again()
    return refusal === undefined ? Ok(trial) : Err(refusal)
  }

  /** The right to run a fingerprint now; undefined where none is needed. */
  async permitFor (fingerprint: string): Promise<Result<Permit | undefined, Refusal>> {
    const incident = this.records.incidentOf(fingerprint)
    if (incident === undefined) return Ok(undefined)
    if (this.records.isHeldBack(fingerprint)) return Err(Refusal.create('crashing_request'))
    const permit = await this.askHome(incident, fingerprint)
    if (permit === undefined) return Err(Refusal.create('crash_check_pending', undefined, this.settings.permitWaitMilliseconds))
    if (!this.records.isHeldBack(fingerprint)) return Ok(permit)
    this.giveBack(permit)
    return Err(Refusal.create('crashing_request'))
  }

  giveBack (permit: Permit): void {
    const { home, incident, nonce } = permit
    this.network.send(home, { body: { $case: 'trialEnd', value: { incident, nonce } } })
  }

  /** Notes a whole answer; the fleet hears of it only where the fingerprint was under suspicion. */
  noteAnswered (fingerprint: string): void {
    const wasSuspected = this.records.incidentOf(fingerprint) !== undefined
    this.records.clear(fingerprint)
    if (wasSuspected) this.broadcast({ body: { $case: 'cleared', value: { fingerprint } } })
  }

  /** Looks whether an upstream went down under an attempt, and tells the fleet. */
  async noteBroken (fingerprint: string, address: string): Promise<void> {
    const since = this.parts.clock.monotonicMilliseconds()
    if (this.records.isHarmless(fingerprint)) return
    await sleep(this.parts.clock, this.settings.lookMilliseconds)
    if (!await this.parts.wentDown(address, since)) return
    this.records.suspect(fingerprint, address)
    this.broadcast({ body: { $case: 'suspicion', value: { fingerprint, address } } })
  }

  private async askHome (incident: string, fingerprint: string): Promise<Permit | undefined> {
    const home = rendezvousOrder(incident, this.entries)[0] ?? this.network.self
    const permit = { incident, home, nonce: randomBelow(this.parts.random, NONCE_RANGE) }
    const isAllowed = await new Promise<boolean>((resolve) => {
      const timer = this.parts.clock.schedule(this.settings.permitWaitMilliseconds, () => resolve(false))
      this.waiting.set(permit.nonce, () => {
        timer.cancel()
        resolve(true)
      })
      this.network.send(home, { body: { $case: 'ask', value: { incident, fingerprint, nonce: permit.nonce } } })
    })
    this.waiting.delete(permit.nonce)
    if (isAllowed) return permit
    this.giveBack(permit)
    return undefined
  }

  private broadcast (message: CrashMessage): void {
    for (const entry of this.entries) if (entry !== this.network.self) this.network.send(entry, message)
  }

  private send (to: string, message: CrashMessage): void {
    if (to === this.network.self) this.receive(to, message)
    else this.parts.network.send(to, message)
  }
}

/** The runs of one request under the watch. */
class WatchedTrial implements CrashTrial {
  private permit: Permit | undefined
  private looking: Promise<void> = Promise.resolve()

  private constructor (private readonly watch: FleetCrashWatch, private readonly clock: Clock, private readonly fingerprint: string) {}

  static create (watch: FleetCrashWatch, clock: Clock, fingerprint: string): WatchedTrial {
    return new WatchedTrial(watch, clock, fingerprint)
  }

  async again (): Promise<Refusal | undefined> {
    await this.looking
    this.end()
    const permit = await this.watch.permitFor(this.fingerprint)
    if (permit.isErr()) return permit.error
    this.permit = permit.value
    return undefined
  }

  finish (address: string, kind: AttemptKind): boolean {
    if (HARMLESS.has(kind)) this.watch.noteAnswered(this.fingerprint)
    if (!BROKEN.has(kind)) return false
    const wasSuspected = this.watch.records.incidentOf(this.fingerprint) !== undefined
    this.looking = this.watch.noteBroken(this.fingerprint, address)
    return wasSuspected
  }

  end (): void {
    const { permit } = this
    this.permit = undefined
    if (permit !== undefined) this.looking.then(() => this.watch.giveBack(permit)).catch(() => {})
  }
}
