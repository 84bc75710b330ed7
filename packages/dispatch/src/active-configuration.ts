/** The configuration that an entry serves from, and how recently the leader confirmed it as the newest. */
import { applyServingDifference, decodeServingConfiguration, UpdateUnusable } from '@hickoryspoke/configuration/serving-codec'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { isOlder, newerOf, type HeldNumber } from '@hickoryspoke/runtime/held-number'
import { Err, Ok, type Result } from 'ts-results-es'
import type { ConfigurationUpdate } from './configuration-history.ts'

/** Both clocks, read at the same moment. */
interface ClockReading {
  readonly monotonic: number
  readonly wall: number
}

const MAXIMUM_PENDING_QUESTIONS = 64

/** Holds the newest configuration received, and tracks when its number was last confirmed. */
export class ActiveConfiguration {
  private held: ServingConfiguration | undefined
  private highestKnownNumber: HeldNumber
  private confirmedAt: ClockReading | undefined
  private readonly questionTimes = new Map<number, ClockReading>()
  private readonly listeners = new Set<(configuration: ServingConfiguration) => void>()

  private readonly createdAt: number

  private constructor (private readonly clock: Clock, private readonly validityMilliseconds: number) {
    this.createdAt = clock.monotonicMilliseconds()
  }

  /** `validityMilliseconds` is how long a confirmation remains valid. */
  static create (clock: Clock, validityMilliseconds: number): ActiveConfiguration {
    return new ActiveConfiguration(clock, validityMilliseconds)
  }

  /** The newest configuration received; undefined before the first. */
  get configuration (): ServingConfiguration | undefined {
    return this.held
  }

  /** Number of that configuration; undefined before the first. */
  get number (): HeldNumber {
    return this.held?.number
  }

  onChange (listener: (configuration: ServingConfiguration) => void): void {
    this.listeners.add(listener)
  }

  /** Applies a whole configuration or a difference. Returns false for an update that is not newer, and ignores it. */
  applyUpdate (update: ConfigurationUpdate): Result<boolean, UpdateUnusable> {
    if (!isOlder(this.number, update.number)) return Ok(false)
    const decoded = this.decode(update)
    return decoded.map((configuration) => {
      this.held = configuration
      for (const listener of this.listeners) listener(configuration)
      return true
    })
  }

  private decode ({ baseNumber, content }: ConfigurationUpdate): Result<ServingConfiguration, UpdateUnusable> {
    if (baseNumber === undefined) return decodeServingConfiguration(content)
    if (this.held?.number !== baseNumber) return Err(UpdateUnusable.create(`the difference is based on configuration ${baseNumber}, but ${this.number ?? 'none'} is held`))
    return applyServingDifference(this.held, content)
  }

  /** Records when the leader was asked for the newest configuration number. */
  recordQuestion (question: number): void {
    this.questionTimes.set(question, this.now())
    if (this.questionTimes.size > MAXIMUM_PENDING_QUESTIONS) this.questionTimes.delete(this.questionTimes.keys().next().value as number)
  }

  /** The leader answered that the newest configuration had this number, or that there was none, at some moment after the question was sent. */
  confirm (question: number, number: HeldNumber): void {
    const askedAt = this.questionTimes.get(question)
    this.questionTimes.delete(question)
    this.highestKnownNumber = newerOf(this.highestKnownNumber, number)
    if (askedAt !== undefined && !isOlder(this.number, number)) this.confirmedAt = askedAt
  }

  /**
   * Whether the held configuration was confirmed as the newest within the validity period, by both clocks:
   * the monotonic clock stops while a machine is suspended, and the wall clock may be stepped back.
   */
  isFresh (): boolean {
    return this.ageMilliseconds() <= this.validityMilliseconds && !isOlder(this.number, this.highestKnownNumber)
  }

  /** Milliseconds since the last confirmation, by the clock that advanced further. */
  ageMilliseconds (): number {
    if (this.confirmedAt === undefined) return Infinity
    const readClocks = this.now()
    return Math.max(readClocks.monotonic - this.confirmedAt.monotonic, Math.abs(readClocks.wall - this.confirmedAt.wall))
  }

  /** Milliseconds since the last confirmation expired, or since creation if there was none. */
  staleMilliseconds (): number {
    const staleSince = this.confirmedAt === undefined ? this.createdAt : this.confirmedAt.monotonic + this.validityMilliseconds
    return Math.max(0, this.clock.monotonicMilliseconds() - staleSince)
  }

  private now (): ClockReading {
    return { monotonic: this.clock.monotonicMilliseconds(), wall: this.clock.wallMilliseconds() }
  }
}
