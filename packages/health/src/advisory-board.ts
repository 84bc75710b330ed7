import type { Advisory } from '@hickoryspoke/protocol/generated/evidence'

interface Posted {
  readonly advisory: Advisory
  readonly untilMilliseconds: number
}

/** Upstreams that entries should avoid without an ejection. */
export class AdvisoryBoard {
  private readonly posted = new Map<string, Posted>()

  static create (): AdvisoryBoard {
    return new AdvisoryBoard()
  }

  post (advisory: Advisory, untilMilliseconds: number): void {
    this.posted.set(identityOf(advisory.address, advisory.zone), { advisory, untilMilliseconds })
  }

  has (address: string, zone: string): boolean {
    return this.posted.has(identityOf(address, zone))
  }

  drop (address: string): void {
    for (const [identity, { advisory }] of this.posted) if (advisory.address === address) this.posted.delete(identity)
  }

  /** Drops what has run out and gives its addresses. */
  expire (nowMilliseconds: number): string[] {
    const ended = [...this.posted.values()].filter((posted) => posted.untilMilliseconds <= nowMilliseconds)
    for (const { advisory } of ended) this.posted.delete(identityOf(advisory.address, advisory.zone))
    return ended.map((posted) => posted.advisory.address)
  }

  list (): Advisory[] {
    return [...this.posted.values()].map((posted) => posted.advisory)
  }
}

function identityOf (address: string, zone: string): string {
  return `${address} ${zone}`
}
