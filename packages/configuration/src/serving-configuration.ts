/** The configuration that entries serve from: pools, customers and routes under one number. */
import { type Issue } from '@hickoryspoke/runtime/failure'

/** Upstreams that stand in for each other. */
export interface ServingPool {
  readonly name: string
  readonly healthPath: string
  /** Connections that one upstream takes from all callers together. */
  readonly maximumConnections: number
}

/** Who a key belongs to. `rate` is in requests per second over the whole fleet; 0 means no limit. */
export interface ServingCustomer {
  readonly name: string
  /** SHA-256 digests of its keys. */
  readonly keyDigests: readonly string[]
  /** Goes before the route's priority; 0 is the most urgent. */
  readonly priority: number | undefined
  readonly rate: number
  readonly burst: number
}

/** Rate and burst of a customer. */
export type RateTermsOfCustomer = Pick<ServingCustomer, 'rate' | 'burst'>

/** One part of a split, by weight. */
export interface RouteShare {
  readonly pool: string
  readonly weight: number
}

/** A route of one host; the longest prefix wins. */
export interface ServingRoute {
  readonly name: string
  readonly host: string
  readonly prefix: string
  /** Whether a request may run more than once. */
  readonly mayRepeat: boolean
  readonly timeoutMilliseconds: number
  /** An answer within this time earns its full value. */
  readonly targetMilliseconds: number
  readonly priority: number
  readonly shares: readonly RouteShare[]
  /** Most upstreams to which one request may be sent. */
  readonly maximumAttempts: number
  /** No key is needed. */
  readonly open: boolean
}

/** Bounds on what callers send; sizes in bytes, times in milliseconds. */
export interface CallerBounds {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  readonly headerTimeoutMilliseconds: number
  readonly idleTimeoutMilliseconds: number
}

/** All that entries serve from. */
export interface ServingConfiguration {
  readonly number: number
  /** Whether requests need a key at all. */
  readonly keyed: boolean
  readonly bounds: CallerBounds
  readonly pools: readonly ServingPool[]
  readonly customers: readonly ServingCustomer[]
  readonly routes: readonly ServingRoute[]
}

/** Finds dangling references, duplicates and values out of range. */
export function checkServingConfiguration (configuration: ServingConfiguration): Issue[] {
  return [...checkRoutes(configuration), ...checkCustomers(configuration)]
}

function checkRoutes (configuration: ServingConfiguration): Issue[] {
  const issues: Issue[] = []
  const pools = new Set(configuration.pools.map((pool) => pool.name))
  const places = new Set<string>()
  configuration.routes.forEach((route, index) => {
    const fault = (code: string, message: string): void => { issues.push({ code, path: ['routes', index], message }) }
    const place = `${route.host}\n${route.prefix}`
    if (route.host === '') fault('empty_host', 'the host is empty')
    if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) fault('bad_prefix', 'the prefix must begin and end with a slash')
    if (places.has(place)) fault('duplicate_route', 'another route has this host and prefix')
    if (route.timeoutMilliseconds <= 0) fault('no_timeout', 'the timeout must be above 0')
    if (route.shares.length === 0) fault('no_pool', 'the route names no pool')
    places.add(place)
    for (const share of route.shares) {
      if (!pools.has(share.pool)) fault('unknown_pool', `the pool ${share.pool} is not defined`)
      if (share.weight < 0) fault('negative_weight', 'a weight is below 0')
    }
  })
  return issues
}

function checkCustomers (configuration: ServingConfiguration): Issue[] {
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
