import type { MessageHandler, PeerNetwork } from '@hickoryspoke/runtime/network'

/** A peer network that delivers messages addressed to this entry directly to its own handler. */
export class LoopbackNetwork<Message> implements PeerNetwork<Message> {
  readonly self: string

  private constructor (private readonly network: PeerNetwork<Message>, private readonly handler: MessageHandler<Message>) {
    this.self = network.self
  }

  static create<Message> (network: PeerNetwork<Message>, handler: MessageHandler<Message>): LoopbackNetwork<Message> {
    return new LoopbackNetwork(network, handler)
  }

  send (to: string, message: Message): void {
    if (to === this.self) this.handler(to, message)
    else this.network.send(to, message)
  }
}
