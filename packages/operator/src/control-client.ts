import { type ChannelCredentials, Metadata, type ServiceError, status } from '@grpc/grpc-js'
import { ApplyOutcome, OperatorClient, type ApplyAnswer, type AuditLine, type AuditRequest } from '@hickoryspoke/protocol/generated/operator'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { Err, Ok, type Result } from 'ts-results-es'
import { ControlUnreachable, RequestRejected, type ControlFailure } from './control-failure.ts'

/** Largest message in either direction, in bytes. */
export const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024

/** Pause after each round of attempts over all control VMs, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 250

/** Timeout of one attempt, after which the next control VM is tried, in milliseconds. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 10_000

const LEADER_METADATA = 'hickoryspoke-leader'

const RETRYABLE_OUTCOMES: ReadonlySet<ApplyOutcome> = new Set([ApplyOutcome.APPLY_OUTCOME_NOT_LEADER, ApplyOutcome.APPLY_OUTCOME_NOT_CONFIRMED])

/** How to reach control. `timeoutMilliseconds` limits a request including all its attempts. */
export interface ControlClientOptions {
  readonly addresses: readonly string[]
  readonly token: string
  readonly credentials: ChannelCredentials
  readonly timeoutMilliseconds: number
  readonly clock: Clock
}

type Callback<Answer> = (error: ServiceError | null, answer: Answer) => void

/** Starts one attempt of a request on a gRPC client. */
export type StartRequest<Answer> = (client: OperatorClient, metadata: Metadata, deadline: { deadline: number }, callback: Callback<Answer>) => void

/** Sends requests to the control VMs, trying one after the other. A leader that is known is tried first. */
export class ControlClient {
  private readonly clients = new Map<string, OperatorClient>()
  private order: string[]

  private constructor (private readonly options: ControlClientOptions) {
    this.order = [...options.addresses]
  }

  static create (options: ControlClientOptions): ControlClient {
    return new ControlClient(options)
  }

  /** Retries a request until a control VM answers. Only for idempotent requests. */
  async ask<Answer> (start: StartRequest<Answer>): Promise<Result<Answer, ControlFailure>> {
    return await this.retryUntilFinal(start, () => ({ isFinal: true, leader: '', message: '' }))
  }

  /** Retries a change until its outcome is known. Retrying is safe, because control recognizes a resent file by its identity. */
  async change (start: StartRequest<ApplyAnswer>): Promise<Result<ApplyAnswer, ControlFailure>> {
    return await this.retryUntilFinal(start, (answer) => ({ isFinal: !RETRYABLE_OUTCOMES.has(answer.outcome), leader: answer.leader, message: answer.message }))
  }

  /** Streams the audit trail from the control VM that is first in the order. */
  audit (request: AuditRequest): AsyncIterable<AuditLine> {
    return this.client(this.order[0] ?? '').audit(request, this.metadata())
  }

  /** Moves the first control VM of the order to its end. */
  rotate (): void {
    this.order = [...this.order.slice(1), ...this.order.slice(0, 1)]
  }

  close (): void {
    for (const client of this.clients.values()) client.close()
  }

  private async retryUntilFinal<Answer> (
    start: StartRequest<Answer>,
    classify: (answer: Answer) => { readonly isFinal: boolean, readonly leader: string, readonly message: string }
  ): Promise<Result<Answer, ControlFailure>> {
    const end = this.options.clock.monotonicMilliseconds() + this.options.timeoutMilliseconds
    let reason = 'no control VM is configured'
    for (let attempt = 1; this.remaining(end) > 0; attempt += 1) {
      const outcome = await this.attempt(start, this.remaining(end))
      if (outcome.isOk()) {
        const classified = classify(outcome.value)
        if (classified.isFinal) return outcome
        reason = classified.message
        this.preferLeader(classified.leader)
      } else {
        const { error } = outcome
        if (isRejection(error)) return Err(RequestRejected.create(error.details, error.code === status.UNAUTHENTICATED))
        reason = `${this.order[0] ?? ''}: ${error.details}`
        this.preferLeader(String(error.metadata?.get(LEADER_METADATA)[0] ?? ''))
      }
      if (attempt % this.order.length === 0) await sleep(this.options.clock, Math.min(RETRY_PAUSE_MILLISECONDS, this.remaining(end)))
    }
    return Err(ControlUnreachable.create(reason))
  }

  private attempt<Answer> (start: StartRequest<Answer>, remaining: number): Promise<Result<Answer, ServiceError>> {
    const deadline = this.options.clock.wallMilliseconds() + Math.min(remaining, ATTEMPT_TIMEOUT_MILLISECONDS)
    return new Promise((resolve) => {
      start(this.client(this.order[0] ?? ''), this.metadata(), { deadline }, (error, answer) => resolve(error === null ? Ok(answer) : Err(error)))
    })
  }

  private remaining (end: number): number {
    return Math.max(0, end - this.options.clock.monotonicMilliseconds())
  }

  private preferLeader (leader: string): void {
    if (leader === '' || leader === this.order[0]) this.rotate()
    else this.order = [leader, ...this.order.filter((address) => address !== leader)]
  }

  private client (address: string): OperatorClient {
    const known = this.clients.get(address)
    if (known !== undefined) return known
    const options = { 'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES, 'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES }
    const created = new OperatorClient(address, this.options.credentials, options)
    this.clients.set(address, created)
    return created
  }

  private metadata (): Metadata {
    const metadata = new Metadata()
    metadata.set('authorization', `Bearer ${this.options.token}`)
    return metadata
  }
}

function isRejection (error: ServiceError): boolean {
  return error.code === status.UNAUTHENTICATED || error.code === status.PERMISSION_DENIED || error.code === status.INVALID_ARGUMENT
}
