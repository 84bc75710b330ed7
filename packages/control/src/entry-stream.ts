import type { FileIdentity } from '@hickoryspoke/configuration/identified-state'
import { sameIdentity } from '@hickoryspoke/configuration/identified-state'
import type { RecentStates } from '@hickoryspoke/configuration/recent-states'
import type { ControlUpdate, EntryMembership, EntryReport } from '@hickoryspoke/protocol/generated/distribution'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PushLimiter } from './push-limiter.ts'

/** Number of probes whose send times are kept; a report that answers an older one proves nothing. */
const MAXIMUM_PENDING_PROBES = 32

/** Dependencies of an `EntryStream`. `write` resolves when the message has been written to the connection. */
export interface EntryStreamOptions {
  readonly clock: Clock
  readonly recent: RecentStates
  readonly pushLimiter: PushLimiter
  readonly membership: () => EntryMembership
  readonly write: (update: ControlUpdate) => Promise<void>
}

/** The sending side of the stream to one entry VM. Tracks what was sent and when each probe was sent. */
export class EntryStream {
  private sentConfiguration: FileIdentity | undefined
  private sentMembership = ''
  private readonly probeTimes = new Map<number, number>()
  private lastProbe = 0
  private isPushing = false

  private constructor (private readonly options: EntryStreamOptions) {}

  static create (options: EntryStreamOptions): EntryStream {
    return new EntryStream(options)
  }

  /** When the probe that a report answers was sent, in monotonic milliseconds; -Infinity when it answers none. */
  probeTime (report: EntryReport): number {
    return this.probeTimes.get(report.probe) ?? -Infinity
  }

  /** Resumes from the file that the entry already holds. */
  resume (held: FileIdentity | undefined): void {
    this.sentConfiguration = held
  }

  send (update: ControlUpdate): void {
    void this.options.write(update)
  }

  /** Asks the entry for an immediate report. */
  probe (): void {
    this.lastProbe += 1
    this.probeTimes.set(this.lastProbe, this.options.clock.monotonicMilliseconds())
    this.probeTimes.delete(this.lastProbe - MAXIMUM_PENDING_PROBES)
    this.send({ body: { $case: 'probe', value: this.lastProbe } })
  }

  /** Sends the membership and files that the entry lacks, in this order, and then asks for a report. */
  async push (): Promise<void> {
    if (this.isPushing) return
    this.isPushing = true
    const pushed = [this.pushMembership(), await this.pushConfiguration()]
    this.isPushing = false
    if (pushed.includes(true)) this.probe()
  }

  private pushMembership (): boolean {
    const membership = this.options.membership()
    const version = `${membership.epoch}/${membership.establishedEpoch}`
    if (version === this.sentMembership) return false
    this.sentMembership = version
    this.send({ body: { $case: 'membership', value: membership } })
    return true
  }

  private async pushConfiguration (): Promise<boolean> {
    let isPushed = false
    for (let next = this.nextUpdate(); next !== undefined; next = this.nextUpdate()) {
      const { identity, differenceFrom, content } = next
      this.sentConfiguration = identity
      const isWhole = differenceFrom === undefined
      const empty = Buffer.alloc(0)
      const value = { identity, differenceFrom, whole: isWhole ? content : empty, difference: isWhole ? empty : content }
      const write = (): Promise<void> => this.options.write({ body: { $case: 'configuration', value } })
      await (isWhole ? this.options.pushLimiter.run(write) : write())
      isPushed = true
    }
    return isPushed
  }

  private nextUpdate (): ReturnType<RecentStates['updateFrom']> {
    const latest = this.options.recent.latest?.identity
    if (latest === undefined || sameIdentity(latest, this.sentConfiguration)) return undefined
    return this.options.recent.updateFrom(this.sentConfiguration)
  }
}
