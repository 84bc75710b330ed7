/** The configuration that an entry serves from, and until when it is known to be the one in force. */
import { applyServingDifference, decodeServingConfiguration, UpdateUnusable } from '@hickoryspoke/configuration/serving-codec'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import type { ServingUpdate } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { Err, Ok, type Result } from 'ts-results-es'

interface Moment {
  readonly monotonic: number
  readonly wall: number
}

const REMEMBERED_QUESTIONS = 64

/** Held configuration and its freshness. */
export class ConfigurationInForce {
  private held: ServingConfiguration | undefined
  private newestNumber = 0
  private confirmedAt: Moment | undefined
  private readonly asked = new Map<number, Moment>()
  private readonly listeners = new Set<(configuration: ServingConfiguration) => void>()

  private readonly createdAt: number

  private constructor (private readonly clock: Clock, private readonly validMilliseconds: number) {
    this.createdAt = clock.monotonicMilliseconds()
  }

  /** `validMilliseconds` is how long a confirmation counts. */
  static create (clock: Clock, validMilliseconds: number): ConfigurationInForce {
    return new ConfigurationInForce(clock, validMilliseconds)
  }

  get configuration (): ServingConfiguration | undefined {
    return this.held
  }

  get number (): number {
    return this.held?.number ?? 0
  }

  onChange (listener: (configuration: ServingConfiguration) => void): void {
    this.listeners.add(listener)
  }

  /** Takes a whole configuration or a difference; numbers never go back. */
  take (update: ServingUpdate): Result<boolean, UpdateUnusable> {
    if (update.number <= this.number) return Ok(false)
    const decoded = this.decode(update)
    return decoded.map((configuration) => {
      this.held = configuration
      for (const listener of this.listeners) listener(configuration)
      return true
    })
  }

  private decode ({ baseNumber, content }: ServingUpdate): Result<ServingConfiguration, UpdateUnusable> {
    if (baseNumber === 0) return decodeServingConfiguration(content)
    if (this.held?.number !== baseNumber) return Err(UpdateUnusable.create(`a difference to number ${baseNumber}, but ${this.number} is held`))
    return applyServingDifference(this.held, content)
  }

  /** Remembers when a question for the number in force was asked. */
  noteQuestion (question: number): void {
    this.asked.set(question, this.now())
    if (this.asked.size > REMEMBERED_QUESTIONS) this.asked.delete(this.asked.keys().next().value as number)
  }

  /** The number in force was this at some time after the question. */
  confirm (question: number, number: number): void {
    const askedAt = this.asked.get(question)
    this.asked.delete(question)
    this.newestNumber = Math.max(this.newestNumber, number)
    if (askedAt !== undefined && number <= this.number) this.confirmedAt = askedAt
  }

  /**
   * Whether the configuration was in force a short time ago. Both clocks must agree: the monotonic one
   * stands still while a machine is suspended, and the wall clock may be stepped back.
   */
  isFresh (): boolean {
    return this.ageMilliseconds() <= this.validMilliseconds && this.newestNumber <= this.number
  }

  /** Milliseconds since the last confirmation. */
  ageMilliseconds (): number {
    if (this.confirmedAt === undefined) return Infinity
    const now = this.now()
    return Math.max(now.monotonic - this.confirmedAt.monotonic, Math.abs(now.wall - this.confirmedAt.wall))
  }

  /** Milliseconds since the configuration was last fresh, or since the start. */
  staleMilliseconds (): number {
    const staleSince = this.confirmedAt === undefined ? this.createdAt : this.confirmedAt.monotonic + this.validMilliseconds
    return Math.max(0, this.clock.monotonicMilliseconds() - staleSince)
  }

  private now (): Moment {
    return { monotonic: this.clock.monotonicMilliseconds(), wall: this.clock.wallMilliseconds() }
  }
}
