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

/** Interval at which an entry that control does not reach asks a peer, in milliseconds. */
export const PEER_QUESTION_INTERVAL_MILLISECONDS = 1_000

/** What the follower needs. */
export interface ConfigurationFollowerParts {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly identity: EntryIdentity
  readonly control: readonly ControlAddress[]
  /** Carries `FreshnessMessage`; messages that arrive go to `handle`. */
  readonly network: PeerNetwork<FreshnessMessage>
  /** Opens a stream to a control VM. */
  readonly open: (control: ControlAddress) => FollowStream
  /** Peers to ask before the first membership is held. */
  readonly seedPeers: () => readonly string[]
  /** Folder on disk for the last accepted file; undefined where there is no disk. */
  readonly dataFolder: string | undefined
  /** What this entry believes of the upstreams, as a JSON value. */
  readonly upstreamView: () => unknown
}

type Body = NonNullable<FreshnessMessage['body']>
type Handlers = { readonly [Case in Body['$case']]: (from: string, value: Extract<Body, { $case: Case }>['value']) => void }

/**
 * Keeps this entry at the accepted configuration: from control while it answers, from peers otherwise, and from
 * disk at the start. `guard` tells whether what is held may be acted upon.
 */
export class ConfigurationFollower {
  readonly guard: FreshnessGuard
  /** Resolves once what the disk holds was looked at. */
  readonly loaded: Promise<void>
  private readonly held: HeldConfiguration
  private readonly exchange: ConfigurationExchange
  private readonly stream: ControlStream
  private readonly store: ConfigurationStore | undefined

  private readonly handlers: Handlers = {
    ask: (from, value) => this.guard.handle(from, { $case: 'ask', value }),
    answer: (from, value) => this.guard.handle(from, { $case: 'answer', value }),
    fetch: (from, value) => this.exchange.serve(from, value),
    piece: (from, value) => this.exchange.takePiece(from, value),
    membership: (_from, value) => this.held.takeMembership(value)
  }

  private constructor (private readonly parts: ConfigurationFollowerParts) {
    const { clock, random, logger, network, dataFolder: folder } = parts
    const held = HeldConfiguration.create(parts.identity.region)
    this.held = held
    this.exchange = ConfigurationExchange.create({ clock, network, held, logger })
    this.stream = ControlStream.create({ ...parts, held })
    this.store = folder === undefined ? undefined : ConfigurationStore.create({ folder, held, clock, logger })
    const onNewerPeer = (peer: string): void => this.exchange.fetchFrom(peer)
    this.guard = FreshnessGuard.create({ clock, random, network, source: held, control: this.stream, onNewerPeer })
    held.onChange(() => this.guard.onVersionsChanged())
    this.loaded = this.store?.load() ?? Promise.resolve()
  }

  static create (parts: ConfigurationFollowerParts): ConfigurationFollower {
    return new ConfigurationFollower(parts)
  }

  /** What is held; undefined until a first file came. It may be acted upon only while `guard.isFresh()`. */
  current (): CurrentConfiguration | undefined {
    return this.held.current()
  }

  /** Calls back after each change of the file or the membership; returns how to unsubscribe. */
  onChange (handler: ConfigurationHandler): () => void {
    return this.held.onChange(handler)
  }

  /** Whether control was heard lately. */
  isControlConnected (): boolean {
    return this.stream.isConnected()
  }

  /** Takes a message of a peer. */
  handle (from: string, message: FreshnessMessage): void {
    if (message.body === undefined) return
    const handle = this.handlers[message.body.$case] as (from: string, value: unknown) => void
    handle(from, message.body.value)
  }

  /** Tells control that this entry leaves for good. */
  leave (): void {
    this.stream.leave()
  }

  /** Follows control and peers until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await this.loaded
    await Promise.all([
      this.stream.run(signal),
      this.guard.run(signal),
      this.store?.run(signal),
      repeatEvery(this.parts.clock, PEER_QUESTION_INTERVAL_MILLISECONDS, signal, () => this.askPeer())
    ])
    await this.store?.save()
  }

  /** An entry that nothing keeps up to date asks one peer after the other. */
  private askPeer (): void {
    if (this.isControlConnected() || this.guard.isFresh()) return
    const { name } = this.parts.identity
    const known = this.held.membership.entries.map((entry) => entry.name)
    const peers = [...new Set([...known, ...this.parts.seedPeers()])].filter((peer) => peer !== name)
    if (peers.length > 0) this.exchange.fetchFrom(pickOne(this.parts.random, peers))
  }
}
