/** Keeps recent configurations, so that an entry that holds one of them can be sent a difference in place of the whole. */
import { encodeServingDifference, encodeServingConfiguration } from '@hickoryspoke/configuration/serving-codec'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import type { ServingUpdate } from '@hickoryspoke/protocol/generated/dispatch'
import { isOlder, type HeldNumber } from '@hickoryspoke/runtime/held-number'
import type { RateLimit } from './customer-rate-limiter.ts'
import { combinePolicies, DEFAULT_DISPATCH_POLICY, policyOf, type DispatchPolicy } from './dispatch-policy.ts'

/** An update without the revision that is to be confirmed, which depends on when it is sent. */
export type ConfigurationUpdate = Omit<ServingUpdate, 'revision'>

const KEPT_CONFIGURATIONS = 8

/** Recent configurations, and cached updates from each to the newest. */
export class ConfigurationHistory {
  private readonly recent: ServingConfiguration[] = []
  private readonly cachedUpdates = new Map<HeldNumber, ConfigurationUpdate>()
  /** Rate limits by customer, of the newest configuration. */
  private limits = new Map<string, RateLimit>()
  /** What the newest configuration asks of the dispatcher. */
  private asked = DEFAULT_DISPATCH_POLICY

  static create (): ConfigurationHistory {
    return new ConfigurationHistory()
  }

  get newest (): ServingConfiguration | undefined {
    return this.recent.at(-1)
  }

  /** Adds a configuration; ignores one that is not newer. */
  add (configuration: ServingConfiguration): void {
    if (!isOlder(this.newest?.number, configuration.number)) return
    this.recent.push(configuration)
    if (this.recent.length > KEPT_CONFIGURATIONS) this.recent.shift()
    this.cachedUpdates.clear()
    this.limits = new Map(configuration.customers.map((customer) => [customer.name, customer]))
    this.asked = policyOf(configuration)
  }

  /** The policy that the settings or the newest configuration ask for. */
  policy (settings: DispatchPolicy): DispatchPolicy {
    return combinePolicies(settings, this.asked)
  }

  /** Rate limit of a customer under the newest configuration. */
  rateLimitOf (customer: string): RateLimit | undefined {
    return this.limits.get(customer)
  }

  /** Update from the configuration that is held to the newest one; undefined when the held one is current. */
  updateFrom (held: HeldNumber): ConfigurationUpdate | undefined {
    const newest = this.newest
    if (newest === undefined || !isOlder(held, newest.number)) return undefined
    // Entries of earlier versions take a difference from number 0 for a whole configuration.
    const base = this.recent.find(({ number }) => number === held && number !== 0)
    const baseNumber = base?.number
    const known = this.cachedUpdates.get(baseNumber)
    if (known !== undefined) return known
    const content = base === undefined ? encodeServingConfiguration(newest) : encodeServingDifference(base, newest)
    const update = { number: newest.number, baseNumber, content }
    this.cachedUpdates.set(baseNumber, update)
    return update
  }
}
