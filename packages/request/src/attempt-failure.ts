import { Failure } from '@hickoryspoke/runtime/failure'
import { ATTEMPT_KINDS, type AttemptKind } from './collaborators.ts'
import type { RefusalCode } from './refusal.ts'

interface AttemptFailureKind {
  /** The upstream cannot have run the request: no byte of it was sent, or the upstream declared that it did not run it. */
  readonly provenNotRun: boolean
  readonly kind: AttemptKind
  /** Refusal sent to the caller when no further attempt follows. */
  readonly refusal: RefusalCode
}

/** Every reason for which an attempt can end without a complete response. */
export const ATTEMPT_FAILURES = {
  connect_refused: { provenNotRun: true, kind: ATTEMPT_KINDS.connectFailed, refusal: 'upstream_unreachable' },
  connect_timeout: { provenNotRun: true, kind: ATTEMPT_KINDS.connectFailed, refusal: 'upstream_unreachable' },
  too_many_connections: { provenNotRun: true, kind: ATTEMPT_KINDS.cancelled, refusal: 'overloaded' },
  entry_cut_off: { provenNotRun: true, kind: ATTEMPT_KINDS.cancelled, refusal: 'upstream_unreachable' },
  aborted_before_sending: { provenNotRun: true, kind: ATTEMPT_KINDS.cancelled, refusal: 'deadline_before_sending' },
  placement_outdated: { provenNotRun: true, kind: ATTEMPT_KINDS.cancelled, refusal: 'upstream_refused' },
  closed_before_sending: { provenNotRun: true, kind: ATTEMPT_KINDS.cancelled, refusal: 'upstream_unreachable' },
  /** A kept connection had ended before the request was sent on it. */
  kept_connection_gone: { provenNotRun: true, kind: ATTEMPT_KINDS.cancelled, refusal: 'upstream_unreachable' },
  /** A kept connection ended just after the request was sent on it, without a byte of a response. */
  kept_connection_dropped: { provenNotRun: false, kind: ATTEMPT_KINDS.cancelled, refusal: 'upstream_failed' },
  refused_not_run: { provenNotRun: true, kind: ATTEMPT_KINDS.refusedNotRun, refusal: 'upstream_refused' },
  closed_after_sending: { provenNotRun: false, kind: ATTEMPT_KINDS.reset, refusal: 'upstream_failed' },
  malformed_answer: { provenNotRun: false, kind: ATTEMPT_KINDS.reset, refusal: 'upstream_failed' },
  truncated_answer: { provenNotRun: false, kind: ATTEMPT_KINDS.truncated, refusal: 'upstream_truncated' },
  unframed_answer: { provenNotRun: false, kind: ATTEMPT_KINDS.truncated, refusal: 'upstream_truncated' },
  deadline_over: { provenNotRun: false, kind: ATTEMPT_KINDS.timeout, refusal: 'upstream_timeout' },
  stalled_answer: { provenNotRun: false, kind: ATTEMPT_KINDS.truncated, refusal: 'upstream_truncated' },
  request_broken: { provenNotRun: false, kind: ATTEMPT_KINDS.cancelled, refusal: 'request_incomplete' },
  caller_gone: { provenNotRun: false, kind: ATTEMPT_KINDS.cancelled, refusal: 'caller_gone' },
  hedge_lost: { provenNotRun: false, kind: ATTEMPT_KINDS.cancelled, refusal: 'upstream_failed' }
} as const satisfies Record<string, AttemptFailureKind>

export type AttemptFailureCode = keyof typeof ATTEMPT_FAILURES

/** An attempt that ended without a complete response. */
export class AttemptFailure extends Failure {
  private constructor (readonly code: AttemptFailureCode, message: string) {
    super(message)
  }

  static create (code: AttemptFailureCode, message: string = code): AttemptFailure {
    return new AttemptFailure(code, message)
  }

  get provenNotRun (): boolean {
    return ATTEMPT_FAILURES[this.code].provenNotRun
  }

  get kind (): AttemptKind {
    return ATTEMPT_FAILURES[this.code].kind
  }

  get refusal (): RefusalCode {
    return ATTEMPT_FAILURES[this.code].refusal
  }
}
