import { Failure } from '@hickoryspoke/runtime/failure'

/** No control VM answered in time, or none could confirm the request. Retrying is safe. */
export class ControlUnreachable extends Failure {
  readonly code = 'control_unreachable'

  static create (reason: string): ControlUnreachable {
    return new ControlUnreachable(`not confirmed: ${reason}; retrying is safe`)
  }
}

/** Control rejected the request without processing it. */
export class RequestRejected extends Failure {
  readonly code = 'request_rejected'

  private constructor (message: string, readonly isUnauthenticated: boolean) {
    super(message)
  }

  static create (message: string, isUnauthenticated: boolean): RequestRejected {
    return new RequestRejected(message, isUnauthenticated)
  }
}

/** Any failure of a request to control. */
export type ControlFailure = ControlUnreachable | RequestRejected
