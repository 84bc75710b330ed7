import { type handleUnaryCall, Metadata, type ServerUnaryCall, status } from '@grpc/grpc-js'
import { Failure, describeError } from '@hickoryspoke/runtime/failure'

/** Metadata name under which a replica that does not lead names the leader as HOST:PORT. */
export const LEADER_METADATA = 'hickoryspoke-leader'

/** A request that ends with a status of gRPC in place of an answer. */
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

/** Turns an async function into a handler of gRPC. */
export function unaryHandler<Request, Answer> (answer: (call: ServerUnaryCall<Request, Answer>) => Promise<Answer>): handleUnaryCall<Request, Answer> {
  return (call, callback) => {
    answer(call).then((value) => callback(null, value), (thrown: unknown) => callback(toServiceError(thrown)))
  }
}

/** What gRPC sends for anything thrown by a handler. */
export function toServiceError (thrown: unknown): { code: status, details: string, metadata: Metadata } {
  const metadata = new Metadata()
  if (!(thrown instanceof RequestRefused)) return { code: status.INTERNAL, details: describeError(thrown), metadata }
  if (thrown.leader !== '') metadata.set(LEADER_METADATA, thrown.leader)
  return { code: thrown.grpcStatus, details: thrown.message, metadata }
}
