import type { FreshnessMessage, VersionAnswer, VersionAsk } from '@hickoryspoke/protocol/generated/freshness'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import { quorumSize } from '@hickoryspoke/runtime/quorum'
import { shuffled, type RandomSource } from '@hickoryspoke/runtime/random'
import { FRESHNESS_LEASE_MILLISECONDS, MAXIMUM_CLOCK_DRIFT_SHARE, type EpochLease } from './epoch-lease.ts'
import { FreshnessRound, isAtLeast, type Versions } from './freshness-round.ts'

/** Interval between rounds while there is a lease, in milliseconds. Two rounds fit into a lease. */
export const ROUND_INTERVAL_MILLISECONDS = 2_000

/** Pause before the next round after a round that was not confirmed by the witnesses asked first, in milliseconds. */
export const RETRY_INTERVAL_MILLISECONDS = 500

/** Time after which the remaining witnesses and control are asked too, if the witnesses asked first did not confirm, in milliseconds. */
export const WIDENING_DELAY_MILLISECONDS = 500

/**
 * Time after the start of a process before the confirmation of its peers alone lets it count as a witness, in
 * milliseconds. Longer than control relies on the reports of the previous process of the same name.
 */
export const WITNESS_QUARANTINE_MILLISECONDS = 10_000

const SHORTEST_LEASE_MILLISECONDS = FRESHNESS_LEASE_MILLISECONDS * (1 - MAXIMUM_CLOCK_DRIFT_SHARE)
const LONGEST_LEASE_MILLISECONDS = FRESHNESS_LEASE_MILLISECONDS * (1 + MAXIMUM_CLOCK_DRIFT_SHARE)

/** Versions held by this entry. Read again for each use. */
export interface VersionSource {
  versions (): Versions & { readonly establishedEpoch: number }
  /** Witnesses of this entry's region in the epoch that it holds. */
  witnesses (): readonly string[]
}

/** Source of the versions committed by control. */
export interface CommittedVersionsSource {
  /** Asks control. Resolves with undefined if it does not answer in time. */
  ask (): Promise<Versions | undefined>
}

/** Dependencies of a `FreshnessGuard`. `onNewerPeer` is called with a peer that holds newer versions. */
export interface FreshnessGuardOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<FreshnessMessage>
  readonly source: VersionSource
  readonly control: CommittedVersionsSource
  readonly onNewerPeer: (peer: string) => void
}

type Body = NonNullable<FreshnessMessage['body']>

/**
 * Allows keyed requests only while this entry is fresh: while a quorum of the witnesses of its region, or control,
 * has recently confirmed in a round trip that nothing newer than its configuration number and membership epoch
 * exists. Control acknowledges a file that withdraws access once a quorum of those witnesses holds it, so an entry
 * that has not received the file stops being fresh at most `FRESHNESS_LEASE_MILLISECONDS` after the acknowledgement.
 */
export class FreshnessGuard implements EpochLease {
  private readonly startedAt: number
  private leaseEnd = -Infinity
  private exclusiveEpoch = 0
  private exclusiveFrom = Infinity
  private isRecovered = false
  private round: FreshnessRound
  private wake = new AbortController()

  private constructor (private readonly options: FreshnessGuardOptions) {
    this.startedAt = options.clock.monotonicMilliseconds()
    this.round = FreshnessRound.create(0, this.startedAt)
  }

  static create (options: FreshnessGuardOptions): FreshnessGuard {
    return new FreshnessGuard(options)
  }

  /** Whether keyed requests may run now. */
  isFresh (): boolean {
    return this.options.clock.monotonicMilliseconds() < this.leaseEnd
  }

  /** Monotonic time in milliseconds at which freshness ends unless it is renewed. */
  freshUntilMilliseconds (): number {
    return this.leaseEnd
  }

  epoch (): number {
    return this.options.source.versions().epoch
  }

  validUntilMilliseconds (): number {
    return this.leaseEnd
  }

  exclusiveFromMilliseconds (): number {
    return this.exclusiveEpoch === this.epoch() ? this.exclusiveFrom : Infinity
  }

  /** Whether this entry's answers as a witness count. */
  isWitnessReady (): boolean {
    return this.isRecovered
  }

  /** Runs rounds of version comparison until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isConfirmed = await this.runRound(signal)
      const pause = isConfirmed ? ROUND_INTERVAL_MILLISECONDS - WIDENING_DELAY_MILLISECONDS : RETRY_INTERVAL_MILLISECONDS
      await this.sleepUntilWoken(pause, signal)
    }
  }

  /** Must be called after the versions of the source have changed. */
  onVersionsChanged (): void {
    this.recordEstablished(this.options.source.versions().establishedEpoch)
    this.evaluate()
    if (!this.isFresh()) this.wake.abort()
  }

  /** Handles a version question or answer of a peer. */
  handle (from: string, body: Extract<Body, { $case: 'ask' | 'answer' }>): void {
    if (body.$case === 'ask') this.receiveAsk(from, body.value)
    else this.receiveAnswer(from, body.value)
  }

  /** Asks as many witnesses as a quorum requires and, if they do not confirm in time, all others and control. */
  private async runRound (signal: AbortSignal): Promise<boolean> {
    this.round = FreshnessRound.create(this.round.number + 1, this.options.clock.monotonicMilliseconds())
    const round = this.round
    const others = shuffled(this.options.random, this.options.source.witnesses().filter((name) => name !== this.options.network.self))
    const first = others.splice(0, this.requiredAnswers())
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
    const { number, epoch } = this.options.source.versions()
    for (const name of names) this.options.network.send(name, { body: { $case: 'ask', value: { round: round.number, number, epoch } } })
  }

  private async askControl (round: FreshnessRound): Promise<void> {
    const committed = await this.options.control.ask()
    if (committed === undefined) return
    round.recordCommitted(committed)
    this.evaluate(round)
  }

  private receiveAsk (from: string, ask: VersionAsk): void {
    const { number, epoch, establishedEpoch } = this.options.source.versions()
    const answer = { round: ask.round, number, epoch, establishedEpoch, recovering: !this.isRecovered }
    this.options.network.send(from, { body: { $case: 'answer', value: answer } })
    if (!isAtLeast({ number, epoch }, ask)) this.options.onNewerPeer(from)
  }

  private receiveAnswer (from: string, answer: VersionAnswer): void {
    if (!isAtLeast(this.options.source.versions(), answer)) this.options.onNewerPeer(from)
    this.recordEstablished(answer.establishedEpoch)
    if (answer.round !== this.round.number || answer.recovering) return
    this.round.recordAnswer(from, answer)
    this.evaluate()
  }

  /** Extends the lease if neither control nor a quorum of the witnesses holds anything newer. */
  private evaluate (round: FreshnessRound = this.round): void {
    const held = this.options.source.versions()
    if (round.isConfirmedByControl(held)) {
      this.isRecovered = true
      this.extendLease(round)
      return
    }
    const witnesses = this.options.source.witnesses()
    const answered = round.countConfirming(held, witnesses)
    if (answered < this.requiredAnswers()) return
    if (round.startedAt - this.startedAt >= WITNESS_QUARANTINE_MILLISECONDS) this.isRecovered = true
    this.extendLease(round)
  }

  private extendLease (round: FreshnessRound): void {
    round.isConfirmed = true
    this.leaseEnd = Math.max(this.leaseEnd, round.startedAt + SHORTEST_LEASE_MILLISECONDS)
  }

  /** Number of answers required for a quorum. A recovered witness counts itself. */
  private requiredAnswers (): number {
    const witnesses = this.options.source.witnesses()
    if (witnesses.length === 0) return Infinity
    const countsItself = this.isRecovered && witnesses.includes(this.options.network.self)
    return quorumSize(witnesses.length) - (countsItself ? 1 : 0)
  }

  private recordEstablished (establishedEpoch: number): void {
    const epoch = this.epoch()
    if (establishedEpoch < epoch || this.exclusiveEpoch === epoch || epoch === 0) return
    this.exclusiveEpoch = epoch
    this.exclusiveFrom = this.options.clock.monotonicMilliseconds() + (epoch === 1 ? 0 : LONGEST_LEASE_MILLISECONDS)
  }

  private async sleepUntilWoken (milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    const wake = new AbortController()
    const stop = (): void => wake.abort()
    this.wake = wake
    signal.addEventListener('abort', stop, { once: true })
    await sleep(this.options.clock, milliseconds, wake.signal)
    signal.removeEventListener('abort', stop)
  }
}
