import { FreshnessGuard } from '@hickoryspoke/membership/freshness-guard'
import type { FreshnessMessage } from '@hickoryspoke/protocol/generated/freshness'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import { pickOne, type RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { ConfigurationExchange } from './configuration-exchange.ts'
import { ConfigurationStore } from './configuration-store.ts'
import { ControlStream, type ControlAddress, type EntryIdentity, type FollowStream } from './control-stream.ts'
import { HeldConfiguration, type ConfigurationHandler, type CurrentConfiguration } from './held-configuration.ts'

/** Interval at which an entry without control and without freshness fetches from a peer, in milliseconds. */
export const PEER_FETCH_INTERVAL_MILLISECONDS = 1_000

/** Dependencies of a `ConfigurationFollower`. */
export interface ConfigurationFollowerOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly identity: EntryIdentity
  readonly control: readonly ControlAddress[]
  /** Sends `FreshnessMessage`s. Incoming ones must be passed to `handle`. */
  readonly network: PeerNetwork<FreshnessMessage>
  /** Opens a stream to a control VM. */
  readonly open: (control: ControlAddress) => FollowStream
  /** Peers to ask before the first membership is known. */
  readonly seedPeers: () => readonly string[]
  /** Folder for the last accepted file; undefined if the entry has no disk. */
  readonly dataFolder: string | undefined
  /** Returns this entry's view of the upstreams as a JSON value. */
  readonly upstreamView: () => unknown
}

type Body = NonNullable<FreshnessMessage['body']>
type Handlers = { readonly [Case in Body['$case']]: (from: string, value: Extract<Body, { $case: Case }>['value']) => void }

/**
 * Keeps this entry up to date with the accepted configuration, which it receives from control, from peers if control
 * does not answer, and from disk at the start. `guard` tells whether the configuration may be used.
 */
export class ConfigurationFollower {
  readonly guard: FreshnessGuard
  /** Resolves once the configuration on disk has been read. */
  readonly loaded: Promise<void>
  private readonly held: HeldConfiguration
  private readonly exchange: ConfigurationExchange
  private readonly stream: ControlStream
  private readonly store: ConfigurationStore | undefined

  private readonly handlers: Handlers = {
    ask: (from, value) => this.guard.handle(from, { $case: 'ask', value }),
    answer: (from, value) => this.guard.handle(from, { $case: 'answer', value }),
    fetch: (from, value) => this.exchange.serveFetch(from, value),
    piece: (from, value) => this.exchange.receivePiece(from, value),
    membership: (_from, value) => this.held.applyMembership(value)
  }

  private constructor (private readonly options: ConfigurationFollowerOptions) {
    const { clock, random, logger, network, dataFolder: folder } = options
    const held = HeldConfiguration.create(options.identity.region)
    this.held = held
    this.exchange = ConfigurationExchange.create({ clock, network, held, logger })
    this.stream = ControlStream.create({ ...options, held })
    this.store = folder === undefined ? undefined : ConfigurationStore.create({ folder, held, clock, logger })
    const onNewerPeer = (peer: string): void => this.exchange.fetchFrom(peer)
    this.guard = FreshnessGuard.create({ clock, random, network, source: held, control: this.stream, onNewerPeer })
    held.onChange(() => this.guard.onVersionsChanged())
    this.loaded = this.store?.load() ?? Promise.resolve()
  }

  static create (options: ConfigurationFollowerOptions): ConfigurationFollower {
    return new ConfigurationFollower(options)
  }

  /** Current configuration; undefined before the first one. May be used only while `guard.isFresh()`. */
  current (): CurrentConfiguration | undefined {
    return this.held.current()
  }

  /** Calls back after each change of the file or the membership. Returns a function that unsubscribes. */
  onChange (handler: ConfigurationHandler): () => void {
    return this.held.onChange(handler)
  }

  /** Whether there is a stream to control on which something was received recently. */
  isControlConnected (): boolean {
    return this.stream.isConnected()
  }

  /** Handles a message of a peer. */
  handle (from: string, message: FreshnessMessage): void {
    if (message.body === undefined) return
    const handle = this.handlers[message.body.$case] as (from: string, value: unknown) => void
    handle(from, message.body.value)
  }

  /** Tells control that this entry leaves the membership. */
  leave (): void {
    this.stream.leave()
  }

  /** Follows control and peers until the signal aborts, then saves the configuration. */
  async run (signal: AbortSignal): Promise<void> {
    await this.loaded
    await Promise.all([
      this.stream.run(signal),
      this.guard.run(signal),
      this.store?.run(signal),
      repeatEvery(this.options.clock, PEER_FETCH_INTERVAL_MILLISECONDS, signal, () => this.fetchFromPeer())
    ])
    await this.store?.save()
  }

  /** Fetches from a random peer if neither control nor the witnesses keep this entry up to date. */
  private fetchFromPeer (): void {
    if (this.isControlConnected() || this.guard.isFresh()) return
    const { name } = this.options.identity
    const known = this.held.membership.entries.map((entry) => entry.name)
    const peers = [...new Set([...known, ...this.options.seedPeers()])].filter((peer) => peer !== name)
    if (peers.length > 0) this.exchange.fetchFrom(pickOne(this.options.random, peers))
  }
}
