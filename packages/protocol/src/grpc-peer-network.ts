import type { Server, ServerDuplexStream } from '@grpc/grpc-js'
import { status } from '@grpc/grpc-js'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { EntryPeerService, type PeerBatch, type PeerMessage, type PeerStreamEnd } from './generated/peer.ts'
import type { InnerCredentials } from './inner-credentials.ts'
import { mayActAs } from './peer-identity.ts'
import { PeerLink } from './peer-link.ts'

/** Subsystem that a message between entry VMs belongs to: gossip, shares, claims and so on. */
export type PeerConcern = NonNullable<PeerMessage['body']>['$case']

/** Content of a message of one subsystem. */
export type PeerContent<Concern extends PeerConcern> = Extract<NonNullable<PeerMessage['body']>, { $case: Concern }>['value']

type PeerMessageHandler = (from: string, value: never) => void

/** Dependencies of a `GrpcPeerNetwork`. */
export interface GrpcPeerNetworkOptions {
  /** Name of this entry VM. */
  readonly self: string
  readonly credentials: InnerCredentials
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  /** IP:PORT of a peer by name, if known. */
  readonly addressOf: (name: string) => string | undefined
}

/** Sends messages between entry VMs over one long-lived gRPC stream per peer and direction. */
export class GrpcPeerNetwork {
  private readonly handlers = new Map<PeerConcern, PeerMessageHandler>()
  private readonly links = new Map<string, PeerLink>()
  private closed = false

  private constructor (private readonly options: GrpcPeerNetworkOptions) {}

  static create (options: GrpcPeerNetworkOptions): GrpcPeerNetwork {
    return new GrpcPeerNetwork(options)
  }

  /** Returns a network for the messages of one subsystem. Incoming ones are passed to `handler`. */
  join<Concern extends PeerConcern> (
    concern: Concern,
    handler: (from: string, value: PeerContent<Concern>) => void
  ): PeerNetwork<PeerContent<Concern>> {
    this.handlers.set(concern, handler as PeerMessageHandler)
    return {
      self: this.options.self,
      send: (to, value) => this.send(to, { body: { $case: concern, value } as PeerMessage['body'] })
    }
  }

  /** Registers the receiving service on a gRPC server. */
  addTo (server: Server): void {
    server.addService(EntryPeerService, {
      exchange: (call: ServerDuplexStream<PeerBatch, PeerStreamEnd>) => { void this.receiveFrom(call) }
    })
  }

  /** Number of queued and of dropped messages for each peer. */
  linkStatistics (): { readonly peer: string, readonly waiting: number, readonly dropped: number }[] {
    return [...this.links].map(([peer, link]) => ({ peer, waiting: link.waiting, dropped: link.dropped }))
  }

  /** Closes the streams to all peers except the given ones. */
  retain (names: ReadonlySet<string>): void {
    for (const [name, link] of this.links) {
      if (names.has(name)) continue
      link.close()
      this.links.delete(name)
    }
  }

  close (): void {
    this.closed = true
    for (const link of this.links.values()) link.close()
    this.links.clear()
  }

  private send (to: string, message: PeerMessage): void {
    if (this.closed) return
    if (to === this.options.self) {
      setImmediate(() => this.dispatch(to, message))
      return
    }
    this.linkTo(to).push(message)
  }

  private linkTo (name: string): PeerLink {
    const known = this.links.get(name)
    if (known !== undefined) return known
    const link = PeerLink.create(name, this.options)
    this.links.set(name, link)
    return link
  }

  private async receiveFrom (call: ServerDuplexStream<PeerBatch, PeerStreamEnd>): Promise<void> {
    let sender = ''
    try {
      for await (const batch of call as AsyncIterable<PeerBatch>) {
        if (sender === '') sender = batch.from
        if (!mayActAs(call, sender)) {
          this.options.logger.warn('peer stream refused', { peer: sender, reason: 'name is not in the certificate' })
          call.destroy(Object.assign(new Error('name is not in the certificate'), { code: status.PERMISSION_DENIED }))
          return
        }
        for (const message of batch.messages) this.dispatch(sender, message)
      }
    } catch {
      this.options.logger.debug('peer stream ended', { peer: sender })
    }
  }

  private dispatch (from: string, message: PeerMessage): void {
    if (message.body === undefined || this.closed) return
    const handler = this.handlers.get(message.body.$case)
    try {
      handler?.(from, message.body.value as never)
    } catch (thrown) {
      this.options.logger.error('peer message failed', { peer: from, concern: message.body.$case, reason: String(thrown) })
    }
  }
}
