/**
 * Sends one-way messages to named peers over long-lived streams.
 * Delivery is best effort. Messages to one peer stay in order as long as its stream is open.
 */
export interface PeerNetwork<Message> {
  /** Name of this process among its peers. */
  readonly self: string
  /** Queues a message on the stream of a peer. Never blocks and never throws. */
  send (to: string, message: Message): void
}

/** Handles an incoming message. `from` is the authenticated name of the sender. */
export type MessageHandler<Message> = (from: string, message: Message) => void
