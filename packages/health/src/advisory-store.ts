import type { Advisory } from '@hickoryspoke/protocol/generated/evidence'

interface PostedAdvisory {
  readonly advisory: Advisory
  readonly expiresAtMilliseconds: number
}

/** Advisories about one pool: upstreams that entries should avoid but that are not ejected. */
export class AdvisoryStore {
  private readonly posted = new Map<string, PostedAdvisory>()

  static create (): AdvisoryStore {
    return new AdvisoryStore()
  }

  post (advisory: Advisory, expiresAtMilliseconds: number): void {
    this.posted.set(keyOf(advisory.address, advisory.zone), { advisory, expiresAtMilliseconds })
  }

  has (address: string, zone: string): boolean {
    return this.posted.has(keyOf(address, zone))
  }

  remove (address: string): void {
    for (const [identity, { advisory }] of this.posted) if (advisory.address === address) this.posted.delete(identity)
  }

  /** Removes expired advisories and returns the addresses they were about. */
  expire (nowMilliseconds: number): string[] {
    const ended = [...this.posted.values()].filter((posted) => posted.expiresAtMilliseconds <= nowMilliseconds)
    for (const { advisory } of ended) this.posted.delete(keyOf(advisory.address, advisory.zone))
    return ended.map((posted) => posted.advisory.address)
  }

  list (): Advisory[] {
    return [...this.posted.values()].map((posted) => posted.advisory)
  }
}

function keyOf (address: string, zone: string): string {
  return `${address} ${zone}`
}
