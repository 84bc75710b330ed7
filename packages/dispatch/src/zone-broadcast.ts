/** Sends the evacuated zones to the entries, for the duration of one leadership, and tells when a change may be acknowledged. */
import type { ZoneList } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { ClientSession } from './client-session.ts'
import type { NewsDelivery } from './news-delivery.ts'
import type { ZoneEvacuations } from './zone-evacuations.ts'

/** Dependencies of a `ZoneBroadcast`. */
export interface ZoneBroadcastOptions {
  readonly clock: Clock
  readonly zones: ZoneEvacuations
  readonly news: NewsDelivery
  readonly sessions: () => Iterable<ClientSession>
  /**
   * How long after its last confirmation an entry that has not confirmed a change is waited for, in milliseconds; 0 if the
   * time that an acknowledgement promises exceeds the time for which any entry can act on an older view.
   */
  readonly limitMilliseconds: number
}

/** Upstreams announce themselves one by one after an evacuation, so their list is not sent more often than this. */
const COLD_LIST_INTERVAL_MILLISECONDS = 250

/** Lists of one leadership. */
export class ZoneBroadcast {
  /** Revision of the newest change of the evacuated zones. */
  private revision: number
  private changedAt: number
  /** The presumedly cold upstreams that were sent last, as one string. */
  private sentCold = ''
  private sentAt = -Infinity

  private constructor (private readonly options: ZoneBroadcastOptions) {
    this.revision = options.news.newestRevision
    this.changedAt = options.clock.monotonicMilliseconds()
  }

  static create (options: ZoneBroadcastOptions): ZoneBroadcast {
    return new ZoneBroadcast(options)
  }

  /** Brings a new client up to date. Where no zone was ever evacuated, nothing is sent. */
  welcome (session: ClientSession): void {
    if (this.options.zones.isUsed) this.write([session], this.list(0))
  }

  /** Sends the list after a change of the evacuated zones. */
  send (): void {
    const { clock, news, sessions } = this.options
    this.revision = news.add()
    this.changedAt = clock.monotonicMilliseconds()
    this.broadcast(sessions(), this.revision)
  }

  /** Sends the list when other upstreams than before are presumed cold. */
  check (): void {
    const { clock, zones, sessions } = this.options
    if (!zones.isUsed || clock.monotonicMilliseconds() - this.sentAt < COLD_LIST_INTERVAL_MILLISECONDS) return
    if (zones.presumedCold().join('\n') !== this.sentCold) this.broadcast(sessions(), 0)
  }

  /** Resolves with true once the newest change may be acknowledged, and with false when the leadership ends before. */
  async whenKnown (): Promise<boolean> {
    const { news, limitMilliseconds } = this.options
    return limitMilliseconds === 0 || await news.whenKnown(this.revision, limitMilliseconds, this.changedAt)
  }

  private broadcast (sessions: Iterable<ClientSession>, revision: number): void {
    const list = this.list(revision)
    this.sentCold = list.presumedCold.join('\n')
    this.sentAt = this.options.clock.monotonicMilliseconds()
    this.write(sessions, list)
  }

  private list (revision: number): ZoneList {
    const { zones } = this.options
    return { evacuated: zones.evacuated(), presumedCold: zones.presumedCold(), revision }
  }

  private write (sessions: Iterable<ClientSession>, value: ZoneList): void {
    for (const { call, mirror } of sessions) {
      if (!mirror) call.write({ body: { $case: 'zones', value } })
    }
  }
}
