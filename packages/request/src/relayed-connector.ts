/** Connects to upstreams over this VM's own network, and through other entries where that fails. */
import type { Clock } from '@hickoryspoke/runtime/clock'
import { Err } from 'ts-results-es'
import { ConnectionRace, type ConnectionAttempt } from './connection-race.ts'
import { ConnectFailure, type ConnectResult, type Connector } from './connector.ts'
import type { UpstreamLinks } from './upstream-links.ts'

/** Dependencies and settings of a `RelayedConnector`. */
export interface RelayedConnectorOptions {
  readonly clock: Clock
  /** Connects over this VM's own network and records the results in `links`. */
  readonly direct: Connector
  readonly links: UpstreamLinks
  /** Connects to an upstream through a relay. */
  readonly connectThroughRelay: (relay: string, upstream: string, signal: AbortSignal) => Promise<ConnectResult>
  /** IP:PORT of the relays of other entries. */
  readonly relays: () => readonly string[]
  readonly timeoutMilliseconds: number
}

/** A connection within a region takes a few milliseconds; after this time a relay is tried beside it. */
const RELAY_AFTER_MILLISECONDS = 100
/** The same while this VM seems to be cut off. */
const RELAY_AFTER_TRIAL_MILLISECONDS = 30
const NEXT_RELAY_AFTER_MILLISECONDS = 120
/** While this VM seems to be cut off, it tries its own network again this often. */
const TRIAL_INTERVAL_MILLISECONDS = 500
const MAXIMUM_RELAYS = 3

const NEVER_ABORTED = new AbortController().signal

/** Chooses between the own network and relays for each connection. */
export class RelayedConnector implements Connector {
  private trialAt = -Infinity
  private lastRelay = ''
  private isRelayWorking = true

  private constructor (private readonly options: RelayedConnectorOptions) {}

  static create (options: RelayedConnectorOptions): RelayedConnector {
    return new RelayedConnector(options)
  }

  /** Whether upstreams can be reached in some way. */
  get isReaching (): boolean {
    return !this.options.links.isCutOff || this.isRelayWorking
  }

  async connect (address: string, signal: AbortSignal, mayRelayThrough: (relay: string) => boolean = () => true): Promise<ConnectResult> {
    const { clock, links, timeoutMilliseconds } = this.options
    const known = this.options.relays()
    const relays = known.filter(mayRelayThrough)
    const attempts = this.attemptsFor(address, this.inOrder(relays))
    // While this VM seems to be cut off, the relay that does not reach an upstream may be cut off as well.
    const isDecided = ({ code }: ConnectFailure): boolean => code === 'upstream_unreachable' && !links.isCutOff
    const result = await ConnectionRace.run({ clock, attempts, timeoutMilliseconds, isDecided }, signal)
    if (result.isErr()) return Err(this.explain(result.error, relays.length === known.length))
    if (result.value.relay !== '') this.rememberRelay(result.value.relay)
    return result
  }

  /** The own network first, unless this VM seems to be cut off and tried it recently; then relays. */
  private attemptsFor (address: string, relays: readonly string[]): ConnectionAttempt[] {
    const { isCutOff } = this.options.links
    const isDirectTried = !isCutOff || relays.length === 0 || this.isTrialDue()
    const firstRelayAfter = isCutOff ? RELAY_AFTER_TRIAL_MILLISECONDS : RELAY_AFTER_MILLISECONDS
    const relayed = relays.map((relay, index): ConnectionAttempt => ({
      startAfterMilliseconds: index === 0 ? firstRelayAfter : NEXT_RELAY_AFTER_MILLISECONDS,
      connect: async (signal) => await this.options.connectThroughRelay(relay, address, signal)
    }))
    return isDirectTried ? [this.directAttempt(address), ...relayed] : relayed
  }

  /** Runs to its end even if a relay is faster, since its result tells whether this VM is cut off. */
  private directAttempt (address: string): ConnectionAttempt {
    return {
      startAfterMilliseconds: 0,
      connect: async () => await this.options.direct.connect(address, NEVER_ABORTED)
    }
  }

  private isTrialDue (): boolean {
    const now = this.options.clock.monotonicMilliseconds()
    if (now - this.trialAt < TRIAL_INTERVAL_MILLISECONDS) return false
    this.trialAt = now
    return true
  }

  /** The relay that worked last goes first. */
  private inOrder (relays: readonly string[]): string[] {
    const others = relays.filter((relay) => relay !== this.lastRelay)
    const ordered = others.length < relays.length ? [this.lastRelay, ...others] : others
    return ordered.slice(0, MAXIMUM_RELAYS)
  }

  private rememberRelay (relay: string): void {
    this.lastRelay = relay
    this.isRelayWorking = true
  }

  /** Tells an upstream that is out of everyone's reach from one that is only out of this VM's. A failure without some of the relays says nothing of those. */
  private explain (failure: ConnectFailure, isAnyRelayAllowed: boolean): ConnectFailure {
    if (failure.code === 'connect_aborted' || failure.code === 'upstream_unreachable') return failure
    if (isAnyRelayAllowed) {
      this.lastRelay = ''
      this.isRelayWorking = !this.options.links.isCutOff
    }
    if (this.options.links.isCutOff) return ConnectFailure.create('cut_off', `neither the own network nor a relay works: ${failure.message}`)
    return failure.code === 'relay_unavailable' ? ConnectFailure.create('connect_refused', failure.message) : failure
  }
}
