import type { ControlUpdate } from '@hickoryspoke/protocol/generated/distribution'
import type { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import type { ReplicatedLog } from '@hickoryspoke/replication/replicated-log'

type Send = (update: ControlUpdate) => void

interface VersionQuery {
  readonly question: number
  readonly send: Send
}

/** Answers entries' questions for the committed versions. All waiting questions share one read barrier; if it fails, they stay unanswered. */
export class VersionQueries {
  private waiting: VersionQuery[] = []
  private isAnswering = false

  private constructor (private readonly log: ReplicatedLog, private readonly state: AcceptedState) {}

  static create (log: ReplicatedLog, state: AcceptedState): VersionQueries {
    return new VersionQueries(log, state)
  }

  ask (question: number, send: Send): void {
    this.waiting.push({ question, send })
    if (!this.isAnswering) void this.answerWaiting()
  }

  /** Answers waiting questions until none is left. Those that arrive during a barrier wait for the next one, which starts after they came. */
  private async answerWaiting (): Promise<void> {
    this.isAnswering = true
    while (this.waiting.length > 0) {
      const questions = this.waiting
      this.waiting = []
      const barrier = await this.log.readBarrier()
      if (barrier.isOk()) this.answer(questions)
    }
    this.isAnswering = false
  }

  private answer (questions: readonly VersionQuery[]): void {
    const number = this.state.accepted?.identity.number ?? 0
    const { epoch } = this.state.entries
    for (const { question, send } of questions) send({ body: { $case: 'versions', value: { question, number, epoch } } })
  }
}
