import type { ServingPool } from '@hickoryspoke/configuration/serving-configuration'
import type { AnnouncedUpstream, DispatchMessage, EntryMessage, PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { ColdUpstreams, type WarmupAllowance } from '../cold-upstreams.ts'
import { CustomerRateLimiter } from '../customer-rate-limiter.ts'
import { DEFAULT_DISPATCH_POLICY, type DispatchPolicy } from '../dispatch-policy.ts'
import { DispatchService } from '../dispatch-service.ts'
import { Dispatcher } from '../dispatcher.ts'
import type { EntryConnection } from '../entry-connection.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'

/** Creates an announcement; `changes` override the defaults. */
export function announcement (changes: Partial<AnnouncedUpstream> & { instance: string }): AnnouncedUpstream {
  return {
    pool: 'ledger',
    address: `10.0.${changes.instance.length}.${changes.instance.charCodeAt(changes.instance.length - 1)}:8000`,
    zone: 'zone-a',
    slots: 2,
    draining: false,
    warmupMilliseconds: 0,
    born: 1_000,
    sequence: 1,
    version: 'v1',
    gone: false,
    ...changes
  }
}

/** Creates a placement question; `changes` override the defaults. */
export function question (ticket: number, changes: Partial<PlacementQuestion> = {}): PlacementQuestion {
  return {
    ticket,
    pool: 'ledger',
    customer: 'ministry',
    priority: 1,
    mayRepeat: false,
    targetMilliseconds: 1_000,
    patienceMilliseconds: 5_000,
    excluded: [],
    attempt: 0,
    fingerprint: ticket,
    route: 'withdraw',
    charged: false,
    allowedRegions: [],
    bodyBytes: undefined,
    ...changes
  }
}

/** An entry that records the messages it is sent. */
export interface RecordingEntry extends EntryConnection {
  readonly sent: DispatchMessage[]
  /** Instance placed for a ticket, or the reason for its denial; undefined while it waits. */
  answerTo (ticket: number): string | number | undefined
}

export function recordingEntry (entry: string, zone = 'zone-a'): RecordingEntry {
  const sent: DispatchMessage[] = []
  return {
    entry,
    zone,
    sent,
    send: (message) => { sent.push(message) },
    answerTo: (ticket) => {
      for (const { body } of sent) {
        if (body?.$case === 'placement' && body.value.ticket === ticket) return body.value.instance
        if (body?.$case === 'denial' && body.value.ticket === ticket) return body.value.reason
      }
      return undefined
    }
  }
}

/** What a dispatcher of a test is created with, unless a test sets it. */
export interface DispatcherFixtureOptions {
  readonly clock?: FakeClock
  readonly registry?: UpstreamRegistry
  readonly policy?: DispatchPolicy
}

/** Creates a dispatcher with the given upstreams; `rate` is the rate and burst of every customer. */
export function createDispatcher (upstreams: readonly AnnouncedUpstream[], rate = 1_000, floorShare = 0, options: DispatcherFixtureOptions = {}) {
  const { clock = FakeClock.create(), policy = DEFAULT_DISPATCH_POLICY } = options
  const registry = options.registry ?? UpstreamRegistry.create(clock)
  const rates = CustomerRateLimiter.createWithFullBursts()
  rates.setLimits(() => ({ rate, burst: rate }))
  for (const upstream of upstreams) registry.announce(upstream)
  const budget = { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 }
  const dispatcher = Dispatcher.create({ clock, logger: silentLogger(), registry, rates, budget, floorShare, policy: () => policy })
  registry.onChange((changed) => dispatcher.updateUpstreams(changed))
  return { clock, registry, dispatcher }
}

/** The only pool of a configuration, with a warm-up limit in requests per second. */
export function warmupPool (requestsPerSecond: number): ServingPool {
  return { name: 'ledger', healthPath: '/', maximumConnections: 0, warmup: { milliseconds: 8_000, requestsPerSecond } }
}

/** A registry whose pool has a warm-up limit. */
export function createWarmupRegistry (clock: Clock, requestsPerSecond: number, allowance: WarmupAllowance): UpstreamRegistry {
  const registry = UpstreamRegistry.create(clock, silentLogger(), ColdUpstreams.create(allowance))
  registry.usePools([warmupPool(requestsPerSecond)])
  return registry
}

/** Creates a dispatch service on the leader, without rate limits and with its own upstreams unless a registry is given. */
export function createLeadingService (clock: Clock, registry: UpstreamRegistry = UpstreamRegistry.create(clock)): DispatchService {
  return DispatchService.create({
    clock,
    logger: silentLogger(),
    control: { isLeader: () => true, leaderAddress: () => 'here', controlAddresses: () => [], confirmNumber: async () => ({ number: 1 }) },
    registry,
    budget: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 },
    overage: { windowMilliseconds: 0, share: 0, requests: 0 },
    floorShare: 0,
    startsWithFullBursts: () => true,
    newsLimitMilliseconds: 5_000
  })
}

/** The hello of an entry that runs no request and holds nothing. */
export function emptyHello (name: string): EntryMessage {
  const held = { mirror: false, relay: '', running: [], configurationNumber: undefined, upstreamDigest: '', limits: [], admitted: [], fleetShare: 0 }
  return { body: { $case: 'hello', value: { name, zone: 'zone-a', ...held } } }
}
