/** Sends changes of the announced upstreams to the connected clients, and assigns revisions to departures. */
import type { AnnouncedUpstream } from '@hickoryspoke/protocol/generated/dispatch'
import type { ClientSession } from './client-session.ts'
import type { NewsDelivery } from './news-delivery.ts'
import type { RegisteredUpstream, UpstreamRegistry } from './upstream-registry.ts'

/** Departures beyond this number are forgotten, oldest first; they would be announced as news again. */
const MAXIMUM_DEPARTURES = 10_000

/** Changes of one leadership. */
export class UpstreamBroadcast {
  /** Revision of the news that an upstream is leaving, by instance. */
  private readonly departures = new Map<string, number>()

  private constructor (
    private readonly registry: UpstreamRegistry,
    private readonly news: NewsDelivery,
    private readonly sessions: () => Iterable<ClientSession>
  ) {}

  static create (registry: UpstreamRegistry, news: NewsDelivery, sessions: () => Iterable<ClientSession>): UpstreamBroadcast {
    return new UpstreamBroadcast(registry, news, sessions)
  }

  /** Sends a client all upstreams, and asks it to confirm what it was sent so far. */
  sendAll (session: ClientSession): void {
    const value = { whole: true, upstreams: this.registry.announcements(), revision: this.news.newestRevision }
    session.call.write({ body: { $case: 'upstreams', value } })
  }

  /** Sends changes to all clients. */
  send (changed: readonly RegisteredUpstream[]): void {
    const announced = changed.map((upstream) => upstream.announced)
    const departed = announced.filter(isLeaving)
    for (const { instance } of announced) this.departures.delete(instance)
    const revision = departed.length > 0 ? this.news.add() : 0
    for (const { instance } of departed) this.recordDeparture(instance, revision)
    const value = { whole: false, upstreams: announced, revision }
    for (const { call } of this.sessions()) call.write({ body: { $case: 'upstreams', value } })
  }

  /** Revision of the news that an upstream is leaving; sends it again if this leadership has not sent it yet. */
  departureRevision (instance: string): number {
    const known = this.departures.get(instance)
    if (known !== undefined) return known
    const upstream = this.registry.find(instance)
    if (upstream !== undefined) this.send([upstream])
    return this.departures.get(instance) ?? this.news.newestRevision
  }

  private recordDeparture (instance: string, revision: number): void {
    this.departures.set(instance, revision)
    if (this.departures.size > MAXIMUM_DEPARTURES) this.departures.delete(this.departures.keys().next().value as string)
  }
}

function isLeaving ({ draining, gone }: AnnouncedUpstream): boolean {
  return draining || gone
}
