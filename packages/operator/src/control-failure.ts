import { Failure } from '@hickoryspoke/runtime/failure'

/** No control VM answered in time, or none could confirm. A resend is safe. */
export class ControlUnreachable extends Failure {
  readonly code = 'control_unreachable'

  static create (reason: string): ControlUnreachable {
    return new ControlUnreachable(`not confirmed: ${reason}; sending it again is safe`)
  }
}

/** Control refused to look at the request. */
export class RequestRejected extends Failure {
  readonly code = 'request_rejected'

  private constructor (message: string, readonly isUnauthenticated: boolean) {
    super(message)
  }

  static create (message: string, isUnauthenticated: boolean): RequestRejected {
    return new RequestRejected(message, isUnauthenticated)
  }
}

/** Every failure of a request to control. */
export type ControlFailure = ControlUnreachable | RequestRejected
