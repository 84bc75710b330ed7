/** Stops the gRPC server of a control VM. */
import type { Server } from '@grpc/grpc-js'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'

/**
 * Waits a limited time for calls in progress to finish, then cancels the rest. Does not wait for the connections to
 * close: a client that was lost never closes its side, and a connection that is closing waits for that.
 */
export async function shutDownServer (server: Server, clock: Clock, limitMilliseconds: number): Promise<void> {
  const closed = new AbortController()
  server.tryShutdown(() => closed.abort())
  await sleep(clock, limitMilliseconds, closed.signal)
  server.forceShutdown()
}
