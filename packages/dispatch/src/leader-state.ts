/** What exists in a dispatch service only while its process leads. */
import type { ClientSession } from './client-session.ts'
import type { ConfigurationHistory } from './configuration-history.ts'
import { CustomerRateLimiter } from './customer-rate-limiter.ts'
import { DEFAULT_DISPATCH_POLICY, withoutExpectedCost, type DispatchPolicy } from './dispatch-policy.ts'
import type { DispatchServiceOptions } from './dispatch-service-options.ts'
import { Dispatcher } from './dispatcher.ts'
import { NewsDelivery } from './news-delivery.ts'
import type { QuestionDelay } from './question-delay.ts'
import { UpstreamBroadcast } from './upstream-broadcast.ts'
import { ZoneBroadcast } from './zone-broadcast.ts'
import { ZoneEvacuations } from './zone-evacuations.ts'

/** The dispatcher, and what its clients know, of one leadership. */
export class LeaderState {
  private constructor (
    readonly dispatcher: Dispatcher,
    readonly news: NewsDelivery,
    readonly upstreams: UpstreamBroadcast,
    readonly zones: ZoneBroadcast,
    /** Revision of the newest configuration. */
    public configurationRevision: number,
    private readonly unsubscribe: () => void
  ) {}

  /** Begins a leadership. `sessions` returns the clients that are attached. */
  static create (
    options: DispatchServiceOptions, history: ConfigurationHistory, delay: Pick<QuestionDelay, 'wasDelayedLately'>, sessions: () => Iterable<ClientSession>
  ): LeaderState {
    const { clock, logger, registry, budget, overage, floorShare, newsLimitMilliseconds, policy = DEFAULT_DISPATCH_POLICY } = options
    const { zones = ZoneEvacuations.create(clock, registry), zoneLimitMilliseconds = 0 } = options
    const isFirst = options.startsWithFullBursts()
    const rates = isFirst ? CustomerRateLimiter.createWithFullBursts() : CustomerRateLimiter.createAfterPredecessor(overage)
    rates.setLimits((name) => history.rateLimitOf(name))
    registry.refresh()
    // A process that is short of processor time makes the cheaper choice.
    const inForce = (): DispatchPolicy => delay.wasDelayedLately ? withoutExpectedCost(history.policy(policy)) : history.policy(policy)
    const dispatcher = Dispatcher.create({ clock, logger, registry, rates, budget, floorShare, zones, policy: inForce })
    const news = NewsDelivery.create(clock, newsLimitMilliseconds, !isFirst, (revision, entries) => {
      logger.info('views presumed expired', { revision, entries })
    })
    const upstreams = UpstreamBroadcast.create(clock, registry, news, sessions)
    const configurationRevision = news.add()
    const zoneLists = ZoneBroadcast.create({ clock, zones, news, sessions, limitMilliseconds: zoneLimitMilliseconds })
    const unsubscribe = zones.onChange(() => {
      dispatcher.updateZones()
      zoneLists.send()
    })
    return new LeaderState(dispatcher, news, upstreams, zoneLists, configurationRevision, unsubscribe)
  }

  /** Does what is due with the passing of time. */
  tick (): void {
    this.dispatcher.tick()
    this.news.check()
    this.upstreams.check()
    this.zones.check()
  }

  /** Ends the leadership. */
  close (): void {
    this.unsubscribe()
    this.upstreams.close()
    this.dispatcher.close()
    this.news.close()
  }
}
