/** The limits of upstreams, stated and while cold, as known to one process. Kept by instance, as one may be known before its upstream is announced here. */
import type { UpstreamLimit } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { ColdLimit } from './cold-limit.ts'
import { RequestLimit, type LimitShare } from './request-limit.ts'

/** The dispatcher sends all requests of the fleet. It begins without tokens, as its predecessor may just have used them. */
const WHOLE: LimitShare = { share: 1, initialTokens: 0 }

/** Request limits by instance. */
export class UpstreamLimits {
  private readonly limits = new Map<string, RequestLimit>()
  private nextPart: () => LimitShare = () => WHOLE

  private constructor (private readonly clock: Clock, private readonly coldLimitOf: (instance: string) => ColdLimit | undefined) {}

  /** `coldLimitOf` creates the limit of an upstream while it is cold; without one, only stated limits apply. */
  static create (clock: Clock, coldLimitOf: (instance: string) => ColdLimit | undefined = () => undefined): UpstreamLimits {
    return new UpstreamLimits(clock, coldLimitOf)
  }

  /** The limit of an upstream, which is created on first use. */
  of (instance: string): RequestLimit {
    const known = this.limits.get(instance)
    if (known !== undefined) return known
    const created = RequestLimit.create(this.nextPart(), this.coldLimitOf(instance))
    this.limits.set(instance, created)
    return created
  }

  /** The limits that are in force. */
  stated (): UpstreamLimit[] {
    const stated: UpstreamLimit[] = []
    for (const [instance, { requestsPerSecond }] of this.limits) {
      if (requestsPerSecond !== undefined) stated.push({ instance, requestsPerSecond })
    }
    return stated
  }

  /** Adds limits known to another process. A limit that is known here is kept. */
  add (stated: readonly UpstreamLimit[]): void {
    for (const { instance, requestsPerSecond } of stated) {
      const limit = this.of(instance)
      if (limit.requestsPerSecond === undefined) limit.adopt(requestsPerSecond, this.clock.monotonicMilliseconds())
    }
  }

  /** Takes over all limits known to the dispatcher; those that it does not list have ended. */
  replace (stated: readonly UpstreamLimit[]): void {
    const now = this.clock.monotonicMilliseconds()
    const rates = new Map(stated.map(({ instance, requestsPerSecond }) => [instance, requestsPerSecond]))
    for (const instance of new Set([...rates.keys(), ...this.limits.keys()])) this.of(instance).adopt(rates.get(instance), now)
  }

  /** Uses a part of every limit from now on; `nextPart` is called for each upstream. */
  usePart (nextPart: () => LimitShare): void {
    this.nextPart = nextPart
    for (const limit of this.limits.values()) limit.usePart(nextPart(), this.clock.monotonicMilliseconds())
  }
}
