import type { CommittedVersionsSource } from '@hickoryspoke/membership/freshness-guard'
import type { Versions } from '@hickoryspoke/membership/freshness-round'
import type { ControlUpdate, EntryReport } from '@hickoryspoke/protocol/generated/distribution'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import { randomBelow, type RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { HeldConfiguration } from './held-configuration.ts'

/** Silence after which a stream is given up, in milliseconds; control probes each entry more often. */
export const CONTROL_SILENCE_MILLISECONDS = 12_000

/** Longest wait for the answer to a question, in milliseconds. */
export const QUESTION_TIMEOUT_MILLISECONDS = 1_500

const SHORTEST_RETRY_MILLISECONDS = 200
const LONGEST_RETRY_MILLISECONDS = 5_000

/** A control VM as the settings name it; `address` is IP:PORT. */
export interface ControlAddress {
  readonly name: string
  readonly address: string
}

/** Both directions of `Distribution.Follow`. */
export interface FollowStream extends AsyncIterable<ControlUpdate> {
  write (report: EntryReport): unknown
  /** Ends the stream at once. */
  cancel (): void
}

/** Who this entry is, as it reports to control. */
export interface EntryIdentity {
  readonly name: string
  readonly zone: string
  readonly region: string
  /** IP:PORT of the entry's peer service. */
  readonly peerAddress: string
  /** Differs from process to process. */
  readonly incarnation: string
}

/** What the stream needs. `upstreamView` gives what this entry believes of the upstreams, as a JSON value. */
export interface ControlStreamParts {
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

/** The stream to the control VM that leads: takes updates and reports what this entry holds. */
export class ControlStream implements CommittedVersionsSource {
  private stream: FollowStream | undefined
  private next = 0
  private lastQuestion = 0
  private lastHeard = -Infinity
  private isLeaving = false
  private needsWhole = false
  private readonly questions = new Map<number, (versions: Versions | undefined) => void>()

  private readonly handlers: Handlers = {
    configuration: (value) => this.takeConfiguration(value),
    membership: (value) => this.parts.held.takeMembership(value),
    upstreamViewRequest: () => this.report({ upstreamView: Buffer.from(JSON.stringify(this.parts.upstreamView())) }),
    versions: (value) => this.questions.get(value.question)?.({ number: value.number, epoch: value.epoch }),
    probe: (value) => this.report({ probe: value }),
    leader: (value) => this.prefer(value)
  }

  private constructor (private readonly parts: ControlStreamParts) {
    this.next = randomBelow(parts.random, parts.control.length)
  }

  static create (parts: ControlStreamParts): ControlStream {
    return new ControlStream(parts)
  }

  /** Whether control was heard within the last seconds. */
  isConnected (): boolean {
    return this.stream !== undefined && this.parts.clock.monotonicMilliseconds() - this.lastHeard < CONTROL_SILENCE_MILLISECONDS
  }

  /** Keeps a stream to control until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    let failures = 0
    while (!signal.aborted) {
      const heardBefore = this.lastHeard
      await this.follow(this.parts.control[this.next] as ControlAddress, signal)
      failures = this.lastHeard > heardBefore ? 0 : failures + 1
      const longest = Math.min(LONGEST_RETRY_MILLISECONDS, SHORTEST_RETRY_MILLISECONDS * 2 ** failures)
      await sleep(this.parts.clock, longest * (0.5 + this.parts.random.next() / 2), signal)
    }
  }

  /** Asks control for the committed versions as of now. */
  ask (): Promise<Versions | undefined> {
    if (this.stream === undefined) return Promise.resolve(undefined)
    this.lastQuestion += 1
    const question = this.lastQuestion
    return new Promise((resolve) => {
      const finish = (versions: Versions | undefined): void => {
        timer.cancel()
        this.questions.delete(question)
        resolve(versions)
      }
      const timer = this.parts.clock.schedule(QUESTION_TIMEOUT_MILLISECONDS, () => finish(undefined))
      this.questions.set(question, finish)
      this.report({ question })
    })
  }

  /** Tells control that this entry leaves the membership. */
  leave (): void {
    this.isLeaving = true
    this.report({})
  }

  private async follow (control: ControlAddress, signal: AbortSignal): Promise<void> {
    const stream = this.parts.open(control)
    const stop = (): void => stream.cancel()
    signal.addEventListener('abort', stop, { once: true })
    this.stream = stream
    const watch = this.watchSilence(stream)
    this.next = (this.next + 1) % this.parts.control.length
    this.report({})
    try {
      for await (const update of stream) this.takeUpdate(update)
    } catch (thrown) {
      this.parts.logger.debug('stream to control broke', { control: control.name, reason: describeError(thrown) })
    }
    watch.cancel()
    signal.removeEventListener('abort', stop)
    this.stream = undefined
  }

  private takeUpdate (update: ControlUpdate): void {
    if (update.body === undefined) return
    if (update.body.$case !== 'leader') this.lastHeard = this.parts.clock.monotonicMilliseconds()
    const handle = this.handlers[update.body.$case] as (value: unknown) => void
    handle(update.body.value)
  }

  private takeConfiguration (update: Extract<UpdateBody, { $case: 'configuration' }>['value']): void {
    if (update.identity === undefined) return
    const { identity, differenceFrom } = update
    const content = Buffer.from(differenceFrom === undefined ? update.whole : update.difference)
    const taken = this.parts.held.takeUpdate({ identity, differenceFrom, content })
    this.needsWhole = taken.isErr()
    if (taken.isOk()) return
    this.parts.logger.warn('update of control does not fit and is asked for again', { number: identity.number, reason: taken.error.message })
    this.stream?.cancel()
  }

  private report (extra: Partial<EntryReport>): void {
    const { identity, held } = this.parts
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

  private prefer (address: string): void {
    const index = this.parts.control.findIndex((control) => control.address === address)
    if (index >= 0) this.next = index
  }

  /** Cancels a stream on which nothing arrives. */
  private watchSilence (stream: FollowStream): { cancel: () => void } {
    const openedAt = this.parts.clock.monotonicMilliseconds()
    let timer = this.parts.clock.schedule(CONTROL_SILENCE_MILLISECONDS, () => look())
    const look = (): void => {
      const heardAt = Math.max(openedAt, this.lastHeard)
      const left = heardAt + CONTROL_SILENCE_MILLISECONDS - this.parts.clock.monotonicMilliseconds()
      if (left <= 0) stream.cancel()
      else timer = this.parts.clock.schedule(left, look)
    }
    return { cancel: () => timer.cancel() }
  }
}
