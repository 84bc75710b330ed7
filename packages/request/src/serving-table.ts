/** Indexes the routes, keys and customers of a serving configuration. */
import type { CustomerRateLimit, ServingConfiguration, ServingCustomer, ServingRoute } from '@hickoryspoke/configuration/serving-configuration'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { keyDigest } from './key-table.ts'

/** Lookup tables for one configuration. */
export class ServingTable {
  private readonly routes = new Map<string, Map<string, ServingRoute>>()
  private readonly customersByKeyDigest = new Map<string, ServingCustomer>()
  private readonly customers = new Map<string, ServingCustomer>()

  private constructor (readonly configuration: ServingConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase()
      const prefixes = this.routes.get(host) ?? new Map<string, ServingRoute>()
      this.routes.set(host, prefixes.set(route.prefix, route))
    }
    for (const customer of configuration.customers) {
      this.customers.set(customer.name, customer)
      for (const digest of customer.keyDigests) this.customersByKeyDigest.set(digest, customer)
    }
  }

  static create (configuration: ServingConfiguration): ServingTable {
    return new ServingTable(configuration)
  }

  /** Finds the route of a host by the longest path prefix that ends in a slash. */
  findRoute (host: string, target: string): ServingRoute | undefined {
    const prefixes = this.routes.get(withoutPort(host).toLowerCase())
    if (prefixes === undefined) return undefined
    const path = target.split('?', 1)[0] as string
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
    }
    return undefined
  }

  /** Returns the customer to whom a key belongs. */
  customerOfKey (key: string): ServingCustomer | undefined {
    return this.customersByKeyDigest.get(keyDigest(key))
  }

  /** Returns the rate limit of a customer. */
  rateTermsOf (customer: string): CustomerRateLimit | undefined {
    return this.customers.get(customer)
  }
}

/** Chooses one of the route's pools at random by weight. Returns undefined if all weights are 0. */
export function drawPool (route: ServingRoute, random: RandomSource): string | undefined {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0)
  let draw = random.next() * total
  for (const share of route.shares) {
    if (draw < share.weight) return share.pool
    draw -= share.weight
  }
  return undefined
}

function withoutPort (host: string): string {
  return host.replace(/:\d+$/, '')
}
