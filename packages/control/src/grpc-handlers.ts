import { type handleUnaryCall, Metadata, type ServerUnaryCall, status } from '@grpc/grpc-js'
import { Failure, describeError } from '@hickoryspoke/runtime/failure'

/** Metadata key for the leader's HOST:PORT, sent by a replica that does not lead. */
export const LEADER_METADATA = 'hickoryspoke-leader'

/** A request that is refused with a gRPC status. */
export class RequestRefused extends Failure {
  readonly code = 'request_refused'

  private constructor (readonly grpcStatus: status, message: string, readonly leader: string) {
    super(message)
  }

  static unauthenticated (message: string): RequestRefused {
    return new RequestRefused(status.UNAUTHENTICATED, message, '')
  }

  static notLeader (leader: string): RequestRefused {
    return new RequestRefused(status.FAILED_PRECONDITION, 'this replica does not lead', leader)
  }
}

/** Converts an async function to a unary gRPC handler. */
export function unaryHandler<Request, Answer> (answer: (call: ServerUnaryCall<Request, Answer>) => Promise<Answer>): handleUnaryCall<Request, Answer> {
  return (call, callback) => {
    answer(call).then((value) => callback(null, value), (thrown: unknown) => callback(toServiceError(thrown)))
  }
}

/** Converts anything thrown by a handler to a gRPC error. */
export function toServiceError (thrown: unknown): { code: status, details: string, metadata: Metadata } {
  const metadata = new Metadata()
  if (!(thrown instanceof RequestRefused)) return { code: status.INTERNAL, details: describeError(thrown), metadata }
  if (thrown.leader !== '') metadata.set(LEADER_METADATA, thrown.leader)
  return { code: thrown.grpcStatus, details: thrown.message, metadata }
}
