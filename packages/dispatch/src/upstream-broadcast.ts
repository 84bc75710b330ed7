/** Sends changes of the announced upstreams to the connected clients, and assigns revisions to departures. */
import type { UpstreamUpdate } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { ClientSession } from './client-session.ts'
import { COLD_NEWS } from './cold-upstreams.ts'
import type { NewsDelivery } from './news-delivery.ts'
import { isLeaving } from './announcement-order.ts'
import type { RegisteredUpstream, UpstreamRegistry } from './upstream-registry.ts'

/** Departures beyond this number are forgotten, oldest first; they would be announced as news again. */
const MAXIMUM_DEPARTURES = 10_000
const MAXIMUM_QUERIES = 2
/** A client that has not answered for this time does not keep others from being asked. */
const QUERY_TIMEOUT_MILLISECONDS = 1_000
/** Changes other than departures are collected for this long once they cost many messages, as each sending is one to every client. */
const COLLECT_MILLISECONDS = 100
/** Messages that are sent at once within that time. */
const MAXIMUM_IMMEDIATE_MESSAGES = 100

/** Changes of one leadership. */
export class UpstreamBroadcast {
  /** Clients that may know upstreams which are not known here. */
  private readonly differing = new Set<ClientSession>()
  /** Clients that were asked for the upstreams that they know, with the time in monotonic milliseconds. */
  private readonly queried = new Map<ClientSession, number>()
  /** Revision of the news that an upstream is leaving, by instance. */
  private readonly departures = new Map<string, number>()
  /** Changes that have not been sent, by instance. */
  private unsent = new Map<string, RegisteredUpstream>()
  /** When changes were last sent, in monotonic milliseconds. */
  private sentAt = -Infinity
  /** Messages sent since the last pause of that time. */
  private recentMessages = 0

  private constructor (
    private readonly clock: Clock,
    private readonly registry: UpstreamRegistry,
    private readonly news: NewsDelivery,
    private readonly sessions: () => Iterable<ClientSession>
  ) {}

  static create (clock: Clock, registry: UpstreamRegistry, news: NewsDelivery, sessions: () => Iterable<ClientSession>): UpstreamBroadcast {
    return new UpstreamBroadcast(clock, registry, news, sessions)
  }

  /**
   * Brings a new client up to date, and asks it to confirm what it was sent so far. A client with the same view is sent only
   * the upstreams that are cold. One that knows upstreams while its view differs may be asked for them, as all control VMs may have been restarted.
   */
  welcome (session: ClientSession): void {
    const { upstreamDigest } = session
    const isSame = upstreamDigest === this.registry.digest()
    if (isSame) this.write(session, this.registry.encodeNow(this.registry.coldOnes()))
    else this.sendAll(session)
    if (!isSame && upstreamDigest !== '') this.differing.add(session)
    this.queryDiffering()
  }

  /** Merges what a client knows, or some upstreams that it heard. Those that knew the same need not be asked, nor sent it. */
  receiveKnown (session: ClientSession, { whole, upstreams }: UpstreamUpdate): void {
    if (!whole) return this.registry.mergeHeard(upstreams)
    this.registry.mergeEncoded(upstreams)
    this.queried.delete(session)
    this.queryDiffering()
  }

  /** Sends what was collected, and asks others in place of clients that do not answer. */
  check (): void {
    const now = this.clock.monotonicMilliseconds()
    if (this.unsent.size > 0 && now - this.sentAt >= COLLECT_MILLISECONDS) this.sendCollected(now)
    for (const [session, askedAt] of this.queried) {
      if (now - askedAt >= QUERY_TIMEOUT_MILLISECONDS) this.queried.delete(session)
    }
    this.queryDiffering()
  }

  /** Ends the leadership: clients get what was collected, as they may have no leader for some time. */
  close (): void {
    if (this.unsent.size > 0) this.sendCollected(this.clock.monotonicMilliseconds())
  }

  /** Forgets a client that is gone. */
  remove (session: ClientSession): void {
    this.differing.delete(session)
    this.queried.delete(session)
    this.queryDiffering()
  }

  /** Sends changes to all clients: departures and upstreams that became cold at once, others together with those that follow closely. */
  send (changed: readonly RegisteredUpstream[]): void {
    const now = this.clock.monotonicMilliseconds()
    for (const upstream of changed) this.unsent.set(upstream.announced.instance, upstream)
    const isUrgent = changed.some(({ announced, coldNews }) => isLeaving(announced) || coldNews === COLD_NEWS.began)
    if (now - this.sentAt >= COLLECT_MILLISECONDS) this.recentMessages = 0
    if (isUrgent || this.recentMessages < MAXIMUM_IMMEDIATE_MESSAGES) this.sendCollected(now)
  }

  /** Revision of the news that an upstream is leaving; sends it again if this leadership has not sent it yet. */
  departureRevision (instance: string): number {
    const known = this.departures.get(instance)
    if (known !== undefined) return known
    const upstream = this.registry.find(instance)
    if (upstream !== undefined) this.send([upstream])
    return this.departures.get(instance) ?? this.news.newestRevision
  }

  private sendCollected (now: number): void {
    const upstreams = [...this.unsent.values()]
    const announced = upstreams.map((upstream) => upstream.announced)
    this.unsent = new Map()
    this.sentAt = now
    const departed = announced.filter(isLeaving)
    for (const { instance } of announced) this.departures.delete(instance)
    const revision = departed.length > 0 ? this.news.add() : 0
    for (const { instance } of departed) this.recordDeparture(instance, revision)
    const digest = this.registry.digest()
    const encoded = this.registry.encodeNow(upstreams)
    const encodedCold = this.registry.encodeNow(upstreams.filter(({ coldNews }) => coldNews !== undefined))
    for (const session of this.sessions()) {
      this.recentMessages += 1
      const isSame = session.upstreamDigest === digest
      // The digest does not cover warm-ups.
      this.write(session, isSame ? encodedCold : encoded, revision)
      if (isSame) this.differing.delete(session)
      else session.upstreamDigest = undefined
    }
  }

  private sendAll (session: ClientSession): void {
    const upstreams = this.registry.encodedAnnouncements()
    session.call.write({ body: { $case: 'upstreams', value: { whole: true, upstreams, revision: this.news.newestRevision } } })
    if (upstreams.length > 0) session.upstreamDigest = undefined
  }

  private write (session: ClientSession, upstreams: Buffer[], revision = this.news.newestRevision): void {
    if (upstreams.length === 0 && revision === 0) return
    session.call.write({ body: { $case: 'upstreams', value: { whole: false, upstreams, revision } } })
  }

  /** Asks a few clients at a time, since most know the same. */
  private queryDiffering (): void {
    for (const session of this.differing) {
      if (this.queried.size >= MAXIMUM_QUERIES) return
      this.differing.delete(session)
      this.queried.set(session, this.clock.monotonicMilliseconds())
      session.call.write({ body: { $case: 'upstreamQuery', value: {} } })
    }
  }

  private recordDeparture (instance: string, revision: number): void {
    this.departures.set(instance, revision)
    if (this.departures.size > MAXIMUM_DEPARTURES) this.departures.delete(this.departures.keys().next().value as string)
  }
}
