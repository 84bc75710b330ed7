import type { FreshnessMessage, VersionAnswer, VersionAsk } from '@hickoryspoke/protocol/generated/freshness'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import { quorumSize } from '@hickoryspoke/runtime/quorum'
import { shuffled, type RandomSource } from '@hickoryspoke/runtime/random'
import { FRESHNESS_LEASE_MILLISECONDS, MAXIMUM_CLOCK_DRIFT_SHARE, type EpochLease } from './epoch-lease.ts'
import { FreshnessRound, isAtLeast, type Versions } from './freshness-round.ts'

/** Interval of rounds while the lease runs, in milliseconds; two fit into a lease. */
export const ROUND_INTERVAL_MILLISECONDS = 2_000

/** Interval of rounds while there is no lease, in milliseconds. */
export const RETRY_INTERVAL_MILLISECONDS = 500

/** Wait for the witnesses asked first before the others and control are asked too, in milliseconds. */
export const WIDENING_DELAY_MILLISECONDS = 500

/**
 * Time after the start of a process before it may answer as a witness on the word of its peers, in milliseconds.
 * Longer than control counts what the process before it reported.
 */
export const WITNESS_QUARANTINE_MILLISECONDS = 10_000

const SHORTEST_LEASE = FRESHNESS_LEASE_MILLISECONDS * (1 - MAXIMUM_CLOCK_DRIFT_SHARE)
const LONGEST_LEASE = FRESHNESS_LEASE_MILLISECONDS * (1 + MAXIMUM_CLOCK_DRIFT_SHARE)

/** What this entry holds, read anew for each use. */
export interface VersionSource {
  versions (): Versions & { readonly establishedEpoch: number }
  /** Witnesses of the entry's own region in the epoch that it holds. */
  witnesses (): readonly string[]
}

/** Asks control for the committed versions; undefined when it does not answer in time. */
export interface CommittedVersionsSource {
  ask (): Promise<Versions | undefined>
}

/** What the guard needs. `onBehind` is told of a peer that holds more. */
export interface FreshnessGuardParts {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<FreshnessMessage>
  readonly source: VersionSource
  readonly control: CommittedVersionsSource
  readonly onBehind: (peer: string) => void
}

type Body = NonNullable<FreshnessMessage['body']>

/**
 * Lets this entry run keyed requests only while it has compared its configuration number and membership epoch, by
 * round trip, with a quorum of the witnesses of its region or with control. A file that withdraws access is answered
 * as accepted once a quorum of those witnesses holds it; so an entry that has not heard of it stops being fresh at
 * most `FRESHNESS_LEASE_MILLISECONDS` after that answer.
 */
export class FreshnessGuard implements EpochLease {
  private readonly startedAt: number
  private leaseEnd = -Infinity
  private exclusiveEpoch = 0
  private exclusiveFrom = Infinity
  private isRecovered = false
  private round: FreshnessRound
  private wake = new AbortController()

  private constructor (private readonly parts: FreshnessGuardParts) {
    this.startedAt = parts.clock.monotonicMilliseconds()
    this.round = FreshnessRound.create(0, this.startedAt)
  }

  static create (parts: FreshnessGuardParts): FreshnessGuard {
    return new FreshnessGuard(parts)
  }

  /** Whether keyed requests may run now. */
  isFresh (): boolean {
    return this.parts.clock.monotonicMilliseconds() < this.leaseEnd
  }

  /** Monotonic milliseconds at which freshness ends unless it is renewed. */
  freshUntilMilliseconds (): number {
    return this.leaseEnd
  }

  epoch (): number {
    return this.parts.source.versions().epoch
  }

  validUntilMilliseconds (): number {
    return this.leaseEnd
  }

  exclusiveFromMilliseconds (): number {
    return this.exclusiveEpoch === this.epoch() ? this.exclusiveFrom : Infinity
  }

  /** Whether this entry counts when it answers as a witness. */
  isWitnessReady (): boolean {
    return this.isRecovered
  }

  /** Compares versions round after round until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isConfirmed = await this.runRound(signal)
      const pause = isConfirmed ? ROUND_INTERVAL_MILLISECONDS - WIDENING_DELAY_MILLISECONDS : RETRY_INTERVAL_MILLISECONDS
      await this.sleepUntilWoken(pause, signal)
    }
  }

  /** To be called after what the source gives has changed. */
  onVersionsChanged (): void {
    this.noteEstablished(this.parts.source.versions().establishedEpoch)
    this.evaluate()
    if (!this.isFresh()) this.wake.abort()
  }

  /** Takes a version question or answer of a peer. */
  handle (from: string, body: Extract<Body, { $case: 'ask' | 'answer' }>): void {
    if (body.$case === 'ask') this.answerAsk(from, body.value)
    else this.takeAnswer(from, body.value)
  }

  /** Asks as many witnesses as are needed, and after a while all others and control. */
  private async runRound (signal: AbortSignal): Promise<boolean> {
    this.round = FreshnessRound.create(this.round.number + 1, this.parts.clock.monotonicMilliseconds())
    const round = this.round
    const others = shuffled(this.parts.random, this.parts.source.witnesses().filter((name) => name !== this.parts.network.self))
    const first = others.splice(0, this.neededAnswers())
    this.askWitnesses(first, round)
    this.evaluate()
    if (!this.isRecovered) void this.askControl(round)
    await this.sleepUntilWoken(WIDENING_DELAY_MILLISECONDS, signal)
    if (round.isConfirmed) return true
    this.askWitnesses(others, round)
    if (this.isRecovered) void this.askControl(round)
    return false
  }

  private askWitnesses (names: readonly string[], round: FreshnessRound): void {
    const { number, epoch } = this.parts.source.versions()
    for (const name of names) this.parts.network.send(name, { body: { $case: 'ask', value: { round: round.number, number, epoch } } })
  }

  private async askControl (round: FreshnessRound): Promise<void> {
    const committed = await this.parts.control.ask()
    if (committed === undefined) return
    round.noteCommitted(committed)
    this.evaluate(round)
  }

  private answerAsk (from: string, ask: VersionAsk): void {
    const { number, epoch, establishedEpoch } = this.parts.source.versions()
    const answer = { round: ask.round, number, epoch, establishedEpoch, recovering: !this.isRecovered }
    this.parts.network.send(from, { body: { $case: 'answer', value: answer } })
    if (!isAtLeast({ number, epoch }, ask)) this.parts.onBehind(from)
  }

  private takeAnswer (from: string, answer: VersionAnswer): void {
    if (!isAtLeast(this.parts.source.versions(), answer)) this.parts.onBehind(from)
    this.noteEstablished(answer.establishedEpoch)
    if (answer.round !== this.round.number || answer.recovering) return
    this.round.noteAnswer(from, answer)
    this.evaluate()
  }

  /** Extends the lease when control or a quorum of the witnesses hold nothing newer. */
  private evaluate (round: FreshnessRound = this.round): void {
    const held = this.parts.source.versions()
    if (round.isConfirmedByControl(held)) {
      this.isRecovered = true
      this.extend(round)
      return
    }
    const witnesses = this.parts.source.witnesses()
    const answered = round.countConfirming(held, witnesses)
    if (answered < this.neededAnswers()) return
    if (round.startedAt - this.startedAt >= WITNESS_QUARANTINE_MILLISECONDS) this.isRecovered = true
    this.extend(round)
  }

  private extend (round: FreshnessRound): void {
    round.isConfirmed = true
    this.leaseEnd = Math.max(this.leaseEnd, round.startedAt + SHORTEST_LEASE)
  }

  /** Answers of others that make a quorum, together with this entry where it counts itself. */
  private neededAnswers (): number {
    const witnesses = this.parts.source.witnesses()
    if (witnesses.length === 0) return Infinity
    const countsItself = this.isRecovered && witnesses.includes(this.parts.network.self)
    return quorumSize(witnesses.length) - (countsItself ? 1 : 0)
  }

  private noteEstablished (establishedEpoch: number): void {
    const epoch = this.epoch()
    if (establishedEpoch < epoch || this.exclusiveEpoch === epoch || epoch === 0) return
    this.exclusiveEpoch = epoch
    this.exclusiveFrom = this.parts.clock.monotonicMilliseconds() + (epoch === 1 ? 0 : LONGEST_LEASE)
  }

  private async sleepUntilWoken (milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    const wake = new AbortController()
    const stop = (): void => wake.abort()
    this.wake = wake
    signal.addEventListener('abort', stop, { once: true })
    await sleep(this.parts.clock, milliseconds, wake.signal)
    signal.removeEventListener('abort', stop)
  }
}
