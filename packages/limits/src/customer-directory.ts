import { type CustomerRate, customerKey, customerOfShare, indexOfShare, regionOfShare, type Share, shareCount, shareKeyOf, shareOf } from './share-split.ts'

/** A customer's limits and this entry's request counts for it. */
export interface CustomerRecord {
  readonly key: number
  readonly rate: CustomerRate
  /** Requests admitted, refused for rate, and refused for other reasons since this entry started. */
  admitted: number
  limited: number
  refused: number
  /** Monotonic time in milliseconds of the last refusal for rate; undefined if there was none. */
  lastLimitedAt: number | undefined
}

/** The customers of the accepted configuration. */
export class CustomerDirectory {
  private byName = new Map<string, CustomerRecord>()
  private byKey = new Map<number, CustomerRecord>()

  static create (): CustomerDirectory {
    return new CustomerDirectory()
  }

  /** Replaces all customers; those that remain keep their counts. */
  apply (customers: readonly CustomerRate[]): void {
    const byName = new Map<string, CustomerRecord>()
    const byKey = new Map<number, CustomerRecord>()
    for (const rate of customers) {
      const existing = this.byName.get(rate.name)
      const key = existing?.key ?? customerKey(rate.name)
      const customer = existing === undefined
        ? { key, rate, admitted: 0, limited: 0, refused: 0, lastLimitedAt: undefined }
        : { ...existing, rate }
      byName.set(rate.name, customer)
      byKey.set(key, customer)
    }
    this.byName = byName
    this.byKey = byKey
  }

  find (name: string): CustomerRecord | undefined {
    return this.byName.get(name)
  }

  /** All customers, in the order of the configuration file. */
  all (): Iterable<CustomerRecord> {
    return this.byName.values()
  }

  get size (): number {
    return this.byName.size
  }

  /** Rate and burst of one share, given the number of regions; undefined if the share does not exist. */
  share (shareKey: number, regions: number): Share | undefined {
    const customer = this.byKey.get(customerOfShare(shareKey))
    if (customer === undefined) return undefined
    const count = shareCount(customer.rate, regions)
    const index = indexOfShare(shareKey)
    return index < count ? shareOf(customer.rate, index, count) : undefined
  }

  /** Keys of all shares of a customer, those held in the given region first. */
  shareKeys (customer: CustomerRecord, region: number, regions: number): number[] {
    const count = shareCount(customer.rate, regions)
    const keys = Array.from({ length: count }, (_, index) => shareKeyOf(customer.key, index))
    const local = keys.filter((key) => regionOfShare(key, regions) === region)
    const remote = keys.filter((key) => regionOfShare(key, regions) !== region)
    return [...local, ...remote]
  }
}
