/** The configuration that entry VMs serve requests by: pools, customers and routes under one number. */
import { type Issue } from '@hickoryspoke/runtime/failure'

/** A pool of interchangeable upstreams. */
export interface ServingPool {
  readonly name: string
  readonly healthPath: string
  /** Connections that one upstream accepts from all entries together. */
  readonly maximumConnections: number
  /** How the upstreams are spared after their start; absent means that they need not be. */
  readonly warmup?: PoolWarmup
}

/** What the upstreams of a pool tolerate while they are cold. */
export interface PoolWarmup {
  /** How long an upstream is cold after its start. */
  readonly milliseconds: number
  /** Requests per second that a cold upstream tolerates from all entries together; above 0. */
  readonly requestsPerSecond: number
}

/** The owner of API keys. `rate` is in requests per second over the whole fleet; 0 means no limit. */
export interface ServingCustomer {
  readonly name: string
  /** SHA-256 digests of its keys. */
  readonly keyDigests: readonly string[]
  /** Overrides the priority of the route; 0 is the highest priority. */
  readonly priority: number | undefined
  readonly rate: number
  readonly burst: number
  /** Regions to whose upstreams its requests may go; absent means all. */
  readonly allowedRegions?: readonly string[]
}

/** Rate limit of a customer. */
export type CustomerRateLimit = Pick<ServingCustomer, 'rate' | 'burst'>

/** Weighted share of the traffic of a route that goes to one pool. */
export interface RouteShare {
  readonly pool: string
  readonly weight: number
}

/** A route of one host. The longest matching prefix wins. */
export interface ServingRoute {
  readonly name: string
  readonly host: string
  readonly prefix: string
  /** Whether a request may be executed more than once. */
  readonly mayRepeat: boolean
  readonly timeoutMilliseconds: number
  /** Target latency: an answer within this time counts at its full value. */
  readonly targetMilliseconds: number
  readonly priority: number
  readonly shares: readonly RouteShare[]
  /** Maximum number of upstreams that one request is sent to. */
  readonly maximumAttempts: number
  /** Whether requests are accepted without a key. */
  readonly open: boolean
  /** Whether callers send large bodies; absent means that they do not. */
  readonly hasLargeBodies?: true
  /** Regions to whose upstreams requests may go; absent means all. */
  readonly allowedRegions?: readonly string[]
}

/** Limits on what callers send. Sizes in bytes, times in milliseconds. */
export interface CallerBounds {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  readonly headerTimeoutMilliseconds: number
  readonly idleTimeoutMilliseconds: number
}

/** Everything that entry VMs need to serve requests. */
export interface ServingConfiguration {
  readonly number: number
  /** Whether requests need a key, except on open routes. */
  readonly keyed: boolean
  readonly bounds: CallerBounds
  readonly pools: readonly ServingPool[]
  readonly customers: readonly ServingCustomer[]
  readonly routes: readonly ServingRoute[]
}

/** Finds dangling references, duplicates and out-of-range values. */
export function validateServingConfiguration (configuration: ServingConfiguration): Issue[] {
  return [...validateRoutes(configuration), ...validateCustomers(configuration)]
}

function validateRoutes (configuration: ServingConfiguration): Issue[] {
  const issues: Issue[] = []
  const pools = new Set(configuration.pools.map((pool) => pool.name))
  const usedLocations = new Set<string>()
  configuration.routes.forEach((route, index) => {
    const addIssue = (code: string, message: string): void => { issues.push({ code, path: ['routes', index], message }) }
    const place = `${route.host}\n${route.prefix}`
    if (route.host === '') addIssue('empty_host', 'the host is empty')
    if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) addIssue('bad_prefix', 'the prefix must begin and end with a slash')
    if (usedLocations.has(place)) addIssue('duplicate_route', 'another route has this host and prefix')
    if (route.timeoutMilliseconds <= 0) addIssue('no_timeout', 'the timeout must be above 0')
    if (route.shares.length === 0) addIssue('no_pool', 'the route names no pool')
    usedLocations.add(place)
    for (const share of route.shares) {
      if (!pools.has(share.pool)) addIssue('unknown_pool', `the pool ${share.pool} is not defined`)
      if (share.weight < 0) addIssue('negative_weight', 'a weight is below 0')
    }
  })
  return issues
}

function validateCustomers (configuration: ServingConfiguration): Issue[] {
  const issues: Issue[] = []
  const holders = new Map<string, string>()
  configuration.customers.forEach((customer, index) => {
    for (const digest of customer.keyDigests) {
      const holder = holders.get(digest)
      if (holder !== undefined && holder !== customer.name) {
        issues.push({ code: 'shared_key', path: ['customers', index], message: `a key belongs to ${holder} as well` })
      }
      holders.set(digest, customer.name)
    }
  })
  return issues
}
