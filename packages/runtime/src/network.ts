/**
 * One-way messages between named peers over long-lived streams.
 * Delivery is best effort; messages to one peer keep their order while its stream lives.
 */
export interface PeerNetwork<Message> {
  /** Name of this process. */
  readonly self: string
  /** Hands a message to the stream of a peer; never blocks and never throws. */
  send (to: string, message: Message): void
}

/** Receives each message together with the name of its authenticated sender. */
export type MessageHandler<Message> = (from: string, message: Message) => void
