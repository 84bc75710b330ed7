/** Follows one stream to the dispatch service from its first message to its end. */
import type { EventEmitter } from 'node:events'
import type { EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import type { WaitingClient } from './attach-queue.ts'
import type { ClientSession, DispatchCall } from './client-session.ts'

/** Handles what arrives on a stream. */
export interface ClientStreamListener {
  /** The first message arrived; the listener calls `open` when it is to be handled. */
  arrived (stream: WaitingClient, message: EntryMessage): void
  /** The client has waited for its first message to be handled, and waits on. */
  waiting (): void
  /** Handles the first message; returns undefined if the stream is not served here. */
  opened (message: EntryMessage): ClientSession | undefined
  received (session: ClientSession, message: EntryMessage): void
  /** The stream ended; called once. */
  closed (session: ClientSession | undefined): void
  failed (session: ClientSession | undefined, error: unknown): void
}

/** A stream, served or not. */
export class ClientStream implements WaitingClient {
  private session: ClientSession | undefined
  /** Messages that arrived before the first one was handled; undefined once it was. */
  private early: EntryMessage[] | undefined = []
  private hasEnded = false

  private constructor (private readonly call: DispatchCall, private readonly listener: ClientStreamListener) {
    // Both transports have these events; a gRPC call also reports that the client cancelled it.
    const events: EventEmitter = call
    events.on('data', (message: EntryMessage) => this.receive(message))
    events.on('end', () => this.close())
    events.on('cancelled', () => this.close())
    events.on('error', (error: unknown) => {
      if (!this.hasEnded) listener.failed(this.session, error)
      this.close()
    })
  }

  /** Begins to follow a stream. */
  static create (call: DispatchCall, listener: ClientStreamListener): ClientStream {
    return new ClientStream(call, listener)
  }

  private receive (message: EntryMessage): void {
    if (this.session !== undefined) return this.listener.received(this.session, message)
    if (this.early === undefined) return
    this.early.push(message)
    if (this.early.length === 1) this.listener.arrived(this, message)
  }

  get isClosed (): boolean {
    return this.hasEnded
  }

  wait (): void {
    this.listener.waiting()
  }

  open (): void {
    const [first, ...others] = this.early ?? []
    this.early = undefined
    if (first === undefined || this.hasEnded) return
    this.session = this.listener.opened(first)
    for (const message of others) this.receive(message)
  }

  private close (): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.listener.closed(this.session)
    this.call.end()
  }
}
