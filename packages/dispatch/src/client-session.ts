/** A stream to the dispatch service whose client has identified itself. */
import type { ServerDuplexStream } from '@grpc/grpc-js'
import type { FramedConnection } from '@hickoryspoke/protocol/framed-connection'
import type { DispatchMessage, EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import type { HeldNumber } from '@hickoryspoke/runtime/held-number'
import type { EntryConnection } from './entry-connection.ts'

/** The server's side of a gRPC stream. */
export type GrpcDispatchCall = ServerDuplexStream<EntryMessage, DispatchMessage>

/** The server's side of a stream, over either transport. */
export type DispatchCall = GrpcDispatchCall | FramedConnection<DispatchMessage, EntryMessage>

/** State of one client. */
export interface ClientSession {
  readonly call: DispatchCall
  readonly connection: EntryConnection
  /** Whether the client is a control VM that only mirrors the upstreams. */
  readonly mirror: boolean
  /** IP:PORT at which the client connects other entries to upstreams; empty for none. */
  readonly relay: string
  /** Whether it said that it does so now. */
  isRelaying: boolean
  /** Number of the configuration that the client holds, or was sent last. */
  heldNumber: HeldNumber
  /** When its last message arrived, in monotonic milliseconds. */
  heardAt: number
  /** Digest of the upstreams that the client knew before it was sent any; undefined once its view may have changed since. */
  upstreamDigest: string | undefined
}
