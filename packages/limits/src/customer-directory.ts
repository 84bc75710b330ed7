import { type CustomerRate, customerKey, customerOfShare, indexOfShare, regionOfShare, type Share, shareCount, shareKeyOf, shareOf } from './share-split.ts'

/** A customer as this entry counts it. */
export interface KnownCustomer {
  readonly key: number
  readonly rate: CustomerRate
  /** Admitted, limited and otherwise refused requests since this entry started. */
  admitted: number
  limited: number
  refused: number
  /** Monotonic time in milliseconds of the last refusal for rate; undefined when never. */
  lastLimitedAt: number | undefined
}

/** The customers of the accepted configuration. */
export class CustomerDirectory {
  private byName = new Map<string, KnownCustomer>()
  private byKey = new Map<number, KnownCustomer>()

  static create (): CustomerDirectory {
    return new CustomerDirectory()
  }

  /** Replaces all customers; counts of those that stay are kept. */
  apply (customers: readonly CustomerRate[]): void {
    const byName = new Map<string, KnownCustomer>()
    const byKey = new Map<number, KnownCustomer>()
    for (const rate of customers) {
      const former = this.byName.get(rate.name)
      const key = former?.key ?? customerKey(rate.name)
      const customer = former === undefined
        ? { key, rate, admitted: 0, limited: 0, refused: 0, lastLimitedAt: undefined }
        : { ...former, rate }
      byName.set(rate.name, customer)
      byKey.set(key, customer)
    }
    this.byName = byName
    this.byKey = byKey
  }

  find (name: string): KnownCustomer | undefined {
    return this.byName.get(name)
  }

  /** All customers, in the order of the file. */
  all (): Iterable<KnownCustomer> {
    return this.byName.values()
  }

  get size (): number {
    return this.byName.size
  }

  /** Rate and burst of one share, given the number of regions; undefined when there is no such share. */
  share (shareKey: number, regions: number): Share | undefined {
    const customer = this.byKey.get(customerOfShare(shareKey))
    if (customer === undefined) return undefined
    const count = shareCount(customer.rate, regions)
    const index = indexOfShare(shareKey)
    return index < count ? shareOf(customer.rate, index, count) : undefined
  }

  /** Keys of all shares of a customer, those of a region first. */
  shareKeys (customer: KnownCustomer, region: number, regions: number): number[] {
    const count = shareCount(customer.rate, regions)
    const keys = Array.from({ length: count }, (_, index) => shareKeyOf(customer.key, index))
    const near = keys.filter((key) => regionOfShare(key, regions) === region)
    const far = keys.filter((key) => regionOfShare(key, regions) !== region)
    return [...near, ...far]
  }
}
