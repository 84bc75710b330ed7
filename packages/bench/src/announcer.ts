import { type Clock, sleep } from '@hickoryspoke/runtime/clock'
import { request } from 'undici'
import type { FakeUpstream } from './fake-upstream.ts'

const RENEWALS_PER_LEASE = 3

/** Options of an announcer. */
export interface AnnouncerOptions {
  readonly upstream: FakeUpstream
  readonly pool: string
  readonly zone: string
  readonly token: string
  /** Base URLs of the internal ports of the entries. */
  readonly entries: readonly string[]
  readonly leaseMilliseconds: number
  readonly incarnation: number
  readonly clock: Clock
}

/** Announces an upstream to every entry and renews its lease until it is stopped. */
export class Announcer {
  private readonly stopping = new AbortController()
  private state: 'serving' | 'draining' = 'serving'
  private readonly task: Promise<void>

  private constructor (private readonly options: AnnouncerOptions) {
    this.task = this.run()
  }

  static create (options: AnnouncerOptions): Announcer {
    return new Announcer(options)
  }

  /** Announces the upstream as draining, so that it gets no new requests. The lease is still renewed. */
  async drain (): Promise<void> {
    this.state = 'draining'
    await this.announce()
  }

  /** Stops renewing and withdraws the announcement. */
  async withdraw (): Promise<void> {
    this.stopping.abort()
    await this.task
    await this.sendToAllEntries('DELETE')
  }

  /** Stops renewing without withdrawing the announcement, as a crashed process would. */
  async stopWithoutWithdrawal (): Promise<void> {
    this.stopping.abort()
    await this.task
  }

  async announce (): Promise<void> {
    await this.sendToAllEntries('POST')
  }

  private async run (): Promise<void> {
    const { clock, leaseMilliseconds } = this.options
    while (!this.stopping.signal.aborted) {
      await this.announce()
      await sleep(clock, leaseMilliseconds / RENEWALS_PER_LEASE, this.stopping.signal)
    }
  }

  private async sendToAllEntries (method: 'POST' | 'DELETE'): Promise<void> {
    await Promise.all(this.options.entries.map(async (entry) => await this.send(entry, method)))
  }

  /** Sends the announcement to one entry. Errors are ignored; the next renewal repeats a failed announcement. */
  private async send (entry: string, method: 'POST' | 'DELETE'): Promise<void> {
    const { upstream, pool, zone, token, incarnation, leaseMilliseconds } = this.options
    const announcement = {
      pool,
      address: upstream.address,
      zone,
      slots: upstream.slots,
      incarnation,
      leaseMilliseconds,
      state: this.state,
      load: upstream.load
    }
    try {
      const answer = await request(`${entry}/announce`, {
        method,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
        body: JSON.stringify(announcement),
        headersTimeout: leaseMilliseconds,
        bodyTimeout: leaseMilliseconds
      })
      await answer.body.dump()
    } catch {
      // The next renewal repeats it.
    }
  }
}
