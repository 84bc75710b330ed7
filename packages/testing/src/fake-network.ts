import type { Clock } from '@hickoryspoke/runtime/clock'
import type { MessageHandler, PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'

/** Link characteristics: one-way delay, random jitter on top of it, and probabilities from 0 to 1 of loss and duplication. */
export interface FakeNetworkSettings {
  readonly delayMilliseconds: (from: string, to: string) => number
  readonly jitterMilliseconds: number
  readonly lossProbability: number
  readonly duplicateProbability: number
}

const DEFAULT_SETTINGS: FakeNetworkSettings = { delayMilliseconds: () => 1, jitterMilliseconds: 0, lossProbability: 0, duplicateProbability: 0 }

/** In-memory network with configurable delay and loss, whose links can be cut in one direction. */
export class FakeNetwork<Message> {
  private readonly handlers = new Map<string, MessageHandler<Message>>()
  private readonly cuts = new Set<string>()
  sentMessages = 0
  settings: FakeNetworkSettings

  private constructor (private readonly clock: Clock, private readonly random: RandomSource, settings: Partial<FakeNetworkSettings>) {
    this.settings = { ...DEFAULT_SETTINGS, ...settings }
  }

  static create<Message> (clock: Clock, random: RandomSource, settings: Partial<FakeNetworkSettings> = {}): FakeNetwork<Message> {
    return new FakeNetwork<Message>(clock, random, settings)
  }

  /** Connects a peer and returns its view of the network. */
  join (self: string, handler: MessageHandler<Message>): PeerNetwork<Message> {
    this.handlers.set(self, handler)
    return { self, send: (to, message) => this.deliver(self, to, message) }
  }

  /** Disconnects a peer, as if it had crashed; messages in flight to it are lost. */
  leave (name: string): void {
    this.handlers.delete(name)
  }

  /** Drops messages in one direction of a link until it is healed. */
  cut (from: string, to: string): void {
    this.cuts.add(linkName(from, to))
  }

  heal (from: string, to: string): void {
    this.cuts.delete(linkName(from, to))
  }

  healAll (): void {
    this.cuts.clear()
  }

  private deliver (from: string, to: string, message: Message): void {
    this.sentMessages += 1
    const copies = this.random.next() < this.settings.duplicateProbability ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) this.deliverOnce(from, to, message)
  }

  private deliverOnce (from: string, to: string, message: Message): void {
    if (this.cuts.has(linkName(from, to))) return
    if (this.random.next() < this.settings.lossProbability) return
    const delay = this.settings.delayMilliseconds(from, to) + this.random.next() * this.settings.jitterMilliseconds
    const receiver = this.handlers.get(to)
    this.clock.schedule(delay, () => {
      const current = this.handlers.get(to)
      if (current !== undefined && current === receiver) current(from, message)
    })
  }
}

function linkName (from: string, to: string): string {
  return `${from}>${to}`
}
