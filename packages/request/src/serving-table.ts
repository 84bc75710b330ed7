/** Routes and keys of a serving configuration, ready for look-ups. */
import type { CustomerRateLimit, ServingConfiguration, ServingCustomer, ServingRoute } from '@hickoryspoke/configuration/serving-configuration'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { keyDigest } from './key-table.ts'

/** Look-ups in one configuration. */
export class ServingTable {
  private readonly routes = new Map<string, Map<string, ServingRoute>>()
  private readonly owners = new Map<string, ServingCustomer>()
  private readonly customers = new Map<string, ServingCustomer>()

  private constructor (readonly configuration: ServingConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase()
      const prefixes = this.routes.get(host) ?? new Map<string, ServingRoute>()
      this.routes.set(host, prefixes.set(route.prefix, route))
    }
    for (const customer of configuration.customers) {
      this.customers.set(customer.name, customer)
      for (const digest of customer.keyDigests) this.owners.set(digest, customer)
    }
  }

  static create (configuration: ServingConfiguration): ServingTable {
    return new ServingTable(configuration)
  }

  /** The route of the host with the longest prefix that begins the path. */
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

  /** The customer who holds a key. */
  ownerOf (key: string): ServingCustomer | undefined {
    return this.owners.get(keyDigest(key))
  }

  /** Rate and burst of a customer. */
  termsOf (customer: string): CustomerRateLimit | undefined {
    return this.customers.get(customer)
  }
}

/** One of the route's pools, drawn by weight; undefined when all weights are 0. */
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
