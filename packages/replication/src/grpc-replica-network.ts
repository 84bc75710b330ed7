import { Metadata, status, type Server, type ServerDuplexStream } from '@grpc/grpc-js'
import { ControlPeerService, type ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { mayActAs } from '@hickoryspoke/protocol/peer-identity'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { MessageHandler } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { ReplicaLink } from './replica-link.ts'
import type { ReplicaNetwork } from './replica-settings.ts'

/** Options of the replica network of a control VM. */
export interface GrpcReplicaNetworkOptions {
  readonly self: string
  /** Address (IP:PORT) of each control VM by name. */
  readonly addresses: Readonly<Record<string, string>>
  /** Whether the name of a peer missing from `addresses` is used as its address (IP:PORT). */
  readonly namesAreAddresses?: boolean
  readonly credentials: InnerCredentials
  readonly clock: Clock
  readonly random: RandomSource
}

type ReplicaServerCall = ServerDuplexStream<ReplicaMessage, ReplicaMessage>

/** Exchanges messages between control VMs over one long-lived gRPC stream per peer and direction. */
export class GrpcReplicaNetwork {
  private handler: MessageHandler<ReplicaMessage> | undefined
  private readonly links = new Map<string, ReplicaLink>()
  private readonly incoming = new Set<ReplicaServerCall>()

  private constructor (private readonly options: GrpcReplicaNetworkOptions) {}

  static create (options: GrpcReplicaNetworkOptions): GrpcReplicaNetwork {
    return new GrpcReplicaNetwork(options)
  }

  /** Registers the receiving side with a server. */
  addTo (server: Server): void {
    server.addService(ControlPeerService, { exchange: (call: ReplicaServerCall) => this.receive(call) })
  }

  /** Opens the streams. Pass this as `join` to `Replica.create`. */
  join (handler: MessageHandler<ReplicaMessage>): ReplicaNetwork {
    this.handler = handler
    const { self, addresses } = this.options
    for (const [peer, address] of Object.entries(addresses)) {
      if (peer !== self) this.openLink(peer, address)
    }
    return { self, send: (to, message) => this.linkTo(to)?.push(message), close: () => this.close() }
  }

  private linkTo (peer: string): ReplicaLink | undefined {
    const known = this.links.get(peer)
    if (known !== undefined || this.options.namesAreAddresses !== true || this.handler === undefined) return known
    return this.openLink(peer, peer)
  }

  private openLink (peer: string, address: string): ReplicaLink {
    const { credentials, clock, random } = this.options
    const link = ReplicaLink.create({ peer, address, credentials, clock, random })
    this.links.set(peer, link)
    return link
  }

  private async close (): Promise<void> {
    this.handler = undefined
    const links = [...this.links.values()]
    this.links.clear()
    await Promise.all(links.map((link) => link.close()))
    for (const call of this.incoming) call.end()
  }

  private receive (call: ReplicaServerCall): void {
    this.incoming.add(call)
    call.sendMetadata(new Metadata())
    const forget = (): void => { this.incoming.delete(call) }
    call.on('data', (message: ReplicaMessage) => this.accept(call, message))
    call.on('end', () => {
      forget()
      call.end()
    })
    call.on('error', forget)
    call.on('cancelled', forget)
  }

  private accept (call: ReplicaServerCall, message: ReplicaMessage): void {
    if (mayActAs(call, message.from)) {
      this.handler?.(message.from, message)
      return
    }
    call.destroy(Object.assign(new Error('name is not in the certificate'), { code: status.PERMISSION_DENIED }))
  }
}
