/** What exists in a dispatch service only while its process leads. */
import type { ClientSession } from './client-session.ts'
import type { ConfigurationHistory } from './configuration-history.ts'
import { CustomerRateLimiter } from './customer-rate-limiter.ts'
import { DEFAULT_DISPATCH_POLICY } from './dispatch-policy.ts'
import type { DispatchServiceOptions } from './dispatch-service-options.ts'
import { Dispatcher } from './dispatcher.ts'
import { NewsDelivery } from './news-delivery.ts'
import { UpstreamBroadcast } from './upstream-broadcast.ts'

/** The dispatcher, and what its clients know, of one leadership. */
export class LeaderState {
  private constructor (
    readonly dispatcher: Dispatcher,
    readonly news: NewsDelivery,
    readonly upstreams: UpstreamBroadcast,
    /** Revision of the newest configuration. */
    public configurationRevision: number
  ) {}

  /** Begins a leadership. `sessions` returns the clients that are attached. */
  static create (options: DispatchServiceOptions, history: ConfigurationHistory, sessions: () => Iterable<ClientSession>): LeaderState {
    const { clock, logger, registry, budget, overage, floorShare, newsLimitMilliseconds, policy = DEFAULT_DISPATCH_POLICY } = options
    const isFirst = options.startsWithFullBursts()
    const rates = isFirst ? CustomerRateLimiter.createWithFullBursts() : CustomerRateLimiter.createAfterPredecessor(overage)
    rates.setLimits((name) => history.rateLimitOf(name))
    registry.refresh()
    const dispatcher = Dispatcher.create({ clock, logger, registry, rates, budget, floorShare, policy: () => history.policy(policy) })
    const news = NewsDelivery.create(clock, newsLimitMilliseconds, !isFirst, (revision, entries) => {
      logger.info('views presumed expired', { revision, entries })
    })
    const upstreams = UpstreamBroadcast.create(clock, registry, news, sessions)
    return new LeaderState(dispatcher, news, upstreams, news.add())
  }

  /** Does what is due with the passing of time. */
  tick (): void {
    this.dispatcher.tick()
    this.news.check()
    this.upstreams.check()
  }

  /** Ends the leadership. */
  close (): void {
    this.upstreams.close()
    this.dispatcher.close()
    this.news.close()
  }
}
