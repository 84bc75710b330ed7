/** Answers entries that ask for the number of the configuration in force. One confirmation of leadership serves all questions that wait. */
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { HeldNumber } from '@hickoryspoke/runtime/held-number'
import type { ClientSession } from './client-session.ts'
import type { RelayDirectory } from './relay-directory.ts'

/** What a leader whose leadership was confirmed holds. */
export interface ConfirmedNumber {
  /** Number of the newest configuration; undefined while there is none. */
  readonly number: HeldNumber
}

/** Dependencies of `NumberConfirmations`. */
export interface NumberConfirmationsOptions {
  readonly clock: Clock
  /** The number of the newest configuration, once leadership is confirmed; undefined when it cannot be confirmed. */
  readonly confirmNumber: () => Promise<ConfirmedNumber | undefined>
  /** Number of entries that are connected. */
  readonly entries: () => number
  /** Places of the entries by which they take turns, by name; absent where they need none. */
  readonly positions?: () => ReadonlyMap<string, number>
  /** Entries that relay connections; an answer names some of them. */
  readonly relays: RelayDirectory
  /** Called before the answer is sent. */
  readonly answering: (session: ClientSession) => void
  /** Called when leadership could not be confirmed, so that this many questions get no answer. Entries ask again. */
  readonly unanswered: (questions: number) => void
}

interface NumberRequest {
  readonly session: ClientSession
  readonly question: number
}

/** Collects questions for this long, so that the cost of confirmations does not grow with the number of entries. */
const COLLECT_MILLISECONDS = 40

/** Questions that wait for an answer. */
export class NumberConfirmations {
  private requests: NumberRequest[] = []
  private isRunning = false

  private constructor (private readonly options: NumberConfirmationsOptions) {}

  static create (options: NumberConfirmationsOptions): NumberConfirmations {
    return new NumberConfirmations(options)
  }

  ask (session: ClientSession, question: number): void {
    this.requests.push({ session, question })
    if (!this.isRunning) void this.answerAll()
  }

  private async answerAll (): Promise<void> {
    this.isRunning = true
    while (this.requests.length > 0) {
      await sleep(this.options.clock, COLLECT_MILLISECONDS)
      const pending = this.requests
      this.requests = []
      const confirmed = await this.options.confirmNumber()
      if (confirmed === undefined) this.options.unanswered(pending.length)
      else this.answer(pending, confirmed)
    }
    this.isRunning = false
  }

  private answer (pending: readonly NumberRequest[], { number }: ConfirmedNumber): void {
    const entries = this.options.entries()
    const available = this.options.relays.available()
    const positions = this.options.positions?.()
    for (const { session, question } of pending) {
      this.options.answering(session)
      const relays = this.options.relays.relaysFor(session, available)
      const position = positions?.get(session.connection.entry)
      const relayZones = relays.map(({ connection }) => connection.zone)
      session.call.write({ body: { $case: 'number', value: { question, number, entries, relays: relays.map(({ relay }) => relay), relayZones, position } } })
    }
  }
}
