/**
 * The client's side of a stream to the dispatch service: a framed connection, or a gRPC stream to a control VM that
 * does not speak framed connections, such as one of an older version.
 */
import { connectivityState } from '@grpc/grpc-js'
import { FramedConnection, NotFramed } from '@hickoryspoke/protocol/framed-connection'
import { DispatchClient, DispatchMessage, EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'

/** Notified of what arrives. */
export interface DispatchStreamListener {
  received (message: DispatchMessage): void
  /** The stream ended or failed; called once, but not after `end` or `cancel`. */
  ended (): void
}

/** A stream to a control VM, over either transport. */
export interface LeaderStream {
  /** Messages may be written before there is a connection. */
  write (message: EntryMessage): void
  /** Sends a last message and closes the stream. */
  end (last: EntryMessage): void
  /** Closes the stream at once. */
  cancel (): void
  /** Whether there is a connection, so that the VM is up; its process may still be too busy to accept it. */
  isConnected (): boolean
  /** Whether the process accepted the connection. */
  isAccepted (): boolean
}

/** Codecs of the client's side of a framed connection. */
const CLIENT_CODECS = { sent: EntryMessage, received: DispatchMessage }

/** A stream that was opened. */
export class DispatchStream implements LeaderStream {
  private transport: LeaderStream
  /** Messages that a framed connection may not have delivered, to be sent again over gRPC. */
  private unanswered: EntryMessage[] | undefined = []
  private isEnded = false

  private constructor (private readonly address: string, private readonly credentials: InnerCredentials, private readonly listener: DispatchStreamListener) {
    this.transport = credentials.security.kind === 'mutual_tls' ? this.openGrpc() : this.openFramed()
  }

  /** Begins to connect to the IP:PORT of a control VM. Messages may be written at once. */
  static open (address: string, credentials: InnerCredentials, listener: DispatchStreamListener): DispatchStream {
    return new DispatchStream(address, credentials, listener)
  }

  write (message: EntryMessage): void {
    this.unanswered?.push(message)
    this.transport.write(message)
  }

  end (last: EntryMessage): void {
    this.isEnded = true
    this.transport.end(last)
  }

  cancel (): void {
    this.isEnded = true
    this.transport.cancel()
  }

  isConnected (): boolean {
    return this.transport.isConnected()
  }

  isAccepted (): boolean {
    return this.transport.isAccepted()
  }

  private receive (message: DispatchMessage): void {
    this.unanswered = undefined
    if (!this.isEnded) this.listener.received(message)
  }

  private finish (): void {
    if (this.isEnded) return
    this.isEnded = true
    this.listener.ended()
  }

  private openFramed (): LeaderStream {
    const connection = FramedConnection.connect(this.address, CLIENT_CODECS)
    let speaksGrpc = false
    connection.on('data', (message) => this.receive(message))
    connection.on('error', (failure) => { speaksGrpc = failure instanceof NotFramed })
    connection.on('end', () => {
      if (speaksGrpc && !this.isEnded) this.changeToGrpc()
      else this.finish()
    })
    return {
      write: (message) => connection.write(message),
      end: (last) => connection.end(last),
      cancel: () => connection.destroy(),
      isConnected: () => connection.isConnected,
      isAccepted: () => connection.isAccepted
    }
  }

  private changeToGrpc (): void {
    this.transport = this.openGrpc()
    for (const message of this.unanswered ?? []) this.transport.write(message)
  }

  private openGrpc (): LeaderStream {
    const { address, credentials } = this
    const client = new DispatchClient(address, credentials.forChannel(), { ...credentials.channelOptions(address), 'grpc.use_local_subchannel_pool': 1 })
    const call = client.attend()
    const finish = (): void => {
      client.close()
      this.finish()
    }
    call.on('data', (message: DispatchMessage) => this.receive(message))
    call.on('end', finish)
    call.on('error', finish)
    call.on('status', finish)
    return {
      write: (message) => { call.write(message) },
      end: (last) => { call.end(last) },
      cancel: () => {
        call.cancel()
        client.close()
      },
      // gRPC does not tell a connection from an accepted one, so a VM that may be busy gets the benefit of the doubt.
      isConnected: () => true,
      isAccepted: () => client.getChannel().getConnectivityState(false) === connectivityState.READY
    }
  }
}
