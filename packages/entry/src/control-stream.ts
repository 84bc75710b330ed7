import type { CommittedVersionsSource } from '@hickoryspoke/membership/freshness-guard'
import type { Versions } from '@hickoryspoke/membership/freshness-round'
import type { ControlUpdate, EntryReport } from '@hickoryspoke/protocol/generated/distribution'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import { randomBelow, type RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { HeldConfiguration } from './held-configuration.ts'

/** A stream is cancelled after this many milliseconds without an update. Control probes each entry more often. */
export const CONTROL_SILENCE_TIMEOUT_MILLISECONDS = 12_000

/** Timeout of a question to control, in milliseconds. */
export const QUESTION_TIMEOUT_MILLISECONDS = 1_500

const INITIAL_BACKOFF_MILLISECONDS = 200
const MAXIMUM_BACKOFF_MILLISECONDS = 5_000

/** Name and address (IP:PORT) of a control VM. */
export interface ControlAddress {
  readonly name: string
  readonly address: string
}

/** Both directions of `Distribution.Follow`. */
export interface FollowStream extends AsyncIterable<ControlUpdate> {
  write (report: EntryReport): unknown
  /** Ends the stream immediately. */
  cancel (): void
}

/** Identity of this entry as reported to control. */
export interface EntryIdentity {
  readonly name: string
  readonly zone: string
  readonly region: string
  /** IP:PORT of the entry's peer service. */
  readonly peerAddress: string
  /** Unique for each process. */
  readonly incarnation: string
}

/** Dependencies of a `ControlStream`. `upstreamView` returns this entry's view of the upstreams as a JSON value. */
export interface ControlStreamOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly identity: EntryIdentity
  readonly control: readonly ControlAddress[]
  readonly held: HeldConfiguration
  readonly open: (control: ControlAddress) => FollowStream
  readonly upstreamView: () => unknown
}

type UpdateBody = NonNullable<ControlUpdate['body']>
type Handlers = { readonly [Case in UpdateBody['$case']]: (value: Extract<UpdateBody, { $case: Case }>['value']) => void }

/** Stream to the leading control VM. Receives updates, and reports the versions that this entry holds. */
export class ControlStream implements CommittedVersionsSource {
  private stream: FollowStream | undefined
  private nextIndex = 0
  private lastQuestion = 0
  private lastReceivedAt = -Infinity
  private isLeaving = false
  private needsWhole = false
  private readonly pendingQuestions = new Map<number, (versions: Versions | undefined) => void>()

  private readonly handlers: Handlers = {
    configuration: (value) => this.applyConfiguration(value),
    membership: (value) => this.options.held.applyMembership(value),
    upstreamViewRequest: () => this.report({ upstreamView: Buffer.from(JSON.stringify(this.options.upstreamView())) }),
    versions: (value) => this.pendingQuestions.get(value.question)?.({ number: value.number, epoch: value.epoch }),
    probe: (value) => this.report({ probe: value }),
    leader: (value) => this.preferLeader(value)
  }

  private constructor (private readonly options: ControlStreamOptions) {
    this.nextIndex = randomBelow(options.random, options.control.length)
  }

  static create (options: ControlStreamOptions): ControlStream {
    return new ControlStream(options)
  }

  /** Whether there is a stream to control on which something was received recently. */
  isConnected (): boolean {
    return this.stream !== undefined && this.options.clock.monotonicMilliseconds() - this.lastReceivedAt < CONTROL_SILENCE_TIMEOUT_MILLISECONDS
  }

  /** Keeps a stream to control open until the signal aborts, with exponential backoff between failed attempts. */
  async run (signal: AbortSignal): Promise<void> {
    let failures = 0
    while (!signal.aborted) {
      const receivedBefore = this.lastReceivedAt
      await this.follow(this.options.control[this.nextIndex] as ControlAddress, signal)
      failures = this.lastReceivedAt > receivedBefore ? 0 : failures + 1
      const backoffMilliseconds = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, INITIAL_BACKOFF_MILLISECONDS * 2 ** failures)
      await sleep(this.options.clock, backoffMilliseconds * (0.5 + this.options.random.next() / 2), signal)
    }
  }

  /** Asks control for the currently committed versions. Resolves with undefined if there is no answer in time. */
  ask (): Promise<Versions | undefined> {
    if (this.stream === undefined) return Promise.resolve(undefined)
    this.lastQuestion += 1
    const question = this.lastQuestion
    return new Promise((resolve) => {
      const finish = (versions: Versions | undefined): void => {
        timer.cancel()
        this.pendingQuestions.delete(question)
        resolve(versions)
      }
      const timer = this.options.clock.schedule(QUESTION_TIMEOUT_MILLISECONDS, () => finish(undefined))
      this.pendingQuestions.set(question, finish)
      this.report({ question })
    })
  }

  /** Tells control that this entry leaves the membership. */
  leave (): void {
    this.isLeaving = true
    this.report({})
  }

  private async follow (control: ControlAddress, signal: AbortSignal): Promise<void> {
    const stream = this.options.open(control)
    const stop = (): void => stream.cancel()
    signal.addEventListener('abort', stop, { once: true })
    this.stream = stream
    const watch = this.cancelWhenSilent(stream)
    this.nextIndex = (this.nextIndex + 1) % this.options.control.length
    this.report({})
    try {
      for await (const update of stream) this.handleUpdate(update)
    } catch (thrown) {
      this.options.logger.debug('control stream failed', { control: control.name, reason: describeError(thrown) })
    }
    watch.cancel()
    signal.removeEventListener('abort', stop)
    this.stream = undefined
  }

  private handleUpdate (update: ControlUpdate): void {
    if (update.body === undefined) return
    if (update.body.$case !== 'leader') this.lastReceivedAt = this.options.clock.monotonicMilliseconds()
    const handle = this.handlers[update.body.$case] as (value: unknown) => void
    handle(update.body.value)
  }

  private applyConfiguration (update: Extract<UpdateBody, { $case: 'configuration' }>['value']): void {
    if (update.identity === undefined) return
    const { identity, differenceFrom } = update
    const content = Buffer.from(differenceFrom === undefined ? update.whole : update.difference)
    const applied = this.options.held.applyUpdate({ identity, differenceFrom, content })
    this.needsWhole = applied.isErr()
    if (applied.isOk()) return
    this.options.logger.warn('update from control could not be applied and is requested again', { number: identity.number, reason: applied.error.message })
    this.stream?.cancel()
  }

  private report (extra: Partial<EntryReport>): void {
    const { identity, held } = this.options
    this.stream?.write({
      ...identity,
      held: this.needsWhole ? undefined : held.identity,
      epoch: held.membership.epoch,
      upstreamView: Buffer.alloc(0),
      probe: 0,
      question: 0,
      leaving: this.isLeaving,
      ...extra
    })
  }

  private preferLeader (address: string): void {
    const index = this.options.control.findIndex((control) => control.address === address)
    if (index >= 0) this.nextIndex = index
  }

  /** Cancels the stream if nothing is received for too long. */
  private cancelWhenSilent (stream: FollowStream): { cancel: () => void } {
    const openedAt = this.options.clock.monotonicMilliseconds()
    let timer = this.options.clock.schedule(CONTROL_SILENCE_TIMEOUT_MILLISECONDS, () => check())
    const check = (): void => {
      const lastActivityAt = Math.max(openedAt, this.lastReceivedAt)
      const remainingMilliseconds = lastActivityAt + CONTROL_SILENCE_TIMEOUT_MILLISECONDS - this.options.clock.monotonicMilliseconds()
      if (remainingMilliseconds <= 0) stream.cancel()
      else timer = this.options.clock.schedule(remainingMilliseconds, check)
    }
    return { cancel: () => timer.cancel() }
  }
}
