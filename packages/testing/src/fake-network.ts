import type { Clock } from '@hickoryspoke/runtime/clock'
import type { MessageHandler, PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'

/** How messages travel: one-way delay in milliseconds, and shares of loss and repetition from 0 to 1. */
export interface FakeNetworkSettings {
  readonly delayMilliseconds: (from: string, to: string) => number
  readonly jitterMilliseconds: number
  readonly lossShare: number
  readonly repeatShare: number
}

const QUIET: FakeNetworkSettings = { delayMilliseconds: () => 1, jitterMilliseconds: 0, lossShare: 0, repeatShare: 0 }

/** A network in memory whose links can be cut one way, slowed, and made lossy. */
export class FakeNetwork<Message> {
  private readonly handlers = new Map<string, MessageHandler<Message>>()
  private readonly cuts = new Set<string>()
  sentMessages = 0
  settings: FakeNetworkSettings

  private constructor (private readonly clock: Clock, private readonly random: RandomSource, settings: Partial<FakeNetworkSettings>) {
    this.settings = { ...QUIET, ...settings }
  }

  static create<Message> (clock: Clock, random: RandomSource, settings: Partial<FakeNetworkSettings> = {}): FakeNetwork<Message> {
    return new FakeNetwork<Message>(clock, random, settings)
  }

  /** The network as one named peer sees it. */
  join (self: string, handler: MessageHandler<Message>): PeerNetwork<Message> {
    this.handlers.set(self, handler)
    return { self, send: (to, message) => this.carry(self, to, message) }
  }

  /** A crashed peer: messages under way to it are lost. */
  leave (name: string): void {
    this.handlers.delete(name)
  }

  /** Cuts one direction only. */
  cut (from: string, to: string): void {
    this.cuts.add(linkName(from, to))
  }

  heal (from: string, to: string): void {
    this.cuts.delete(linkName(from, to))
  }

  healAll (): void {
    this.cuts.clear()
  }

  private carry (from: string, to: string, message: Message): void {
    this.sentMessages += 1
    const copies = this.random.next() < this.settings.repeatShare ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) this.carryCopy(from, to, message)
  }

  private carryCopy (from: string, to: string, message: Message): void {
    if (this.cuts.has(linkName(from, to))) return
    if (this.random.next() < this.settings.lossShare) return
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
