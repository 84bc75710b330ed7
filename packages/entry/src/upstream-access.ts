/** An entry's ways to upstreams: over its own network, through other entries, and the relay that it offers to them. */
import { DirectConnector, type Connector } from '@hickoryspoke/request/connector'
import { connectThroughRelay } from '@hickoryspoke/request/relay-client'
import { RelayedConnector } from '@hickoryspoke/request/relayed-connector'
import { KEPT_CONNECTION_SETTINGS } from '@hickoryspoke/request/kept-connections'
import { UpstreamConnections } from '@hickoryspoke/request/upstream-connections'
import { LinkedConnector, UpstreamLinks } from '@hickoryspoke/request/upstream-links'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { EntryCapacity } from '@hickoryspoke/runtime/process-capacity'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { ConnectionRelay } from './connection-relay.ts'

/** Dependencies of an `UpstreamAccess`. */
export interface UpstreamAccessOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Bounds the connections to all upstreams together, and those that are relayed for other entries. */
  readonly capacity: EntryCapacity
  /** Opens connections over this VM's own network; by default TCP connections. */
  readonly connector?: Connector
  /** Whether connections are kept for as long as upstreams state; not by default. */
  readonly reuseConnections?: boolean | undefined
  /** Whether an upstream announced this IP:PORT. */
  readonly isUpstream: (address: string) => boolean
  /** Whether the upstream at this IP:PORT told this entry that it wants no requests. */
  readonly isUnwanted: (address: string) => boolean
}

const CONNECT_TIMEOUT_MILLISECONDS = 400
/** Shorter, so that the other entry learns in time that the upstream is out of reach from here too. */
const RELAY_CONNECT_TIMEOUT_MILLISECONDS = 200

/** Connects one entry to upstreams. */
export class UpstreamAccess {
  readonly connections: UpstreamConnections
  readonly relay: ConnectionRelay
  private readonly links: UpstreamLinks
  private readonly connector: RelayedConnector
  private relays: readonly string[] = []
  /** Availability zone of each relay that was reported with one, by IP:PORT. */
  private relayZones: ReadonlyMap<string, string> = new Map()

  private constructor (private readonly options: UpstreamAccessOptions) {
    const { clock, logger, isUpstream, isUnwanted } = options
    this.links = UpstreamLinks.create(clock, logger)
    this.connector = RelayedConnector.create({
      clock,
      direct: this.directConnector(CONNECT_TIMEOUT_MILLISECONDS),
      links: this.links,
      connectThroughRelay,
      relays: () => this.relays,
      timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS
    })
    const keeping = options.reuseConnections === true ? KEPT_CONNECTION_SETTINGS : {}
    this.connections = UpstreamConnections.create(clock, { ...keeping, maximumInTotal: options.capacity.upstreamConnections }, this.connector)
    this.relay = ConnectionRelay.create({
      clock,
      logger,
      connector: this.directConnector(RELAY_CONNECT_TIMEOUT_MILLISECONDS),
      isUpstream,
      isUnwanted,
      isReaching: () => !this.isCutOff,
      maximumConnections: options.capacity.relayedConnections
    })
  }

  static create (options: UpstreamAccessOptions): UpstreamAccess {
    return new UpstreamAccess(options)
  }

  /** Whether this VM's own network seems to reach no upstream. */
  get isCutOff (): boolean {
    return this.links.isCutOff
  }

  /** Whether upstreams can be reached in some way. */
  get isReaching (): boolean {
    return this.connector.isReaching
  }

  /** Number of other entries that offer to relay connections, as last reported by the leader. */
  get knownRelays (): number {
    return this.relays.length
  }

  /** Uses these relays of other entries, given as IP:PORT, from now on. A leader of an earlier version does not say in which zones they are. */
  useRelays (relays: readonly string[], zones: readonly string[]): void {
    this.relays = relays
    this.relayZones = new Map(zones.map((zone, index) => [relays[index] ?? '', zone]))
  }

  /** Availability zone of a relay; empty while unknown. */
  zoneOfRelay (relay: string): string {
    return this.relayZones.get(relay) ?? ''
  }

  close (): void {
    this.connections.close()
    this.relay.close()
  }

  private directConnector (timeoutMilliseconds: number): Connector {
    const { clock, connector } = this.options
    return LinkedConnector.create(connector ?? DirectConnector.create(clock, timeoutMilliseconds), this.links)
  }
}
