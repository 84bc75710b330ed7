/** What a dispatcher learned about upstreams from responses. Entries use it while they have no dispatcher, and the next dispatcher starts from it. */
import type { DispatchMessage, Suspicion, UpstreamLimit } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Dispatcher } from './dispatcher.ts'
import { DispatcherList } from './dispatcher-list.ts'

/** The dispatcher's lists of suspect upstreams and of the limits that upstreams state. */
export class HandoverLists {
  private readonly suspicions: DispatcherList<Suspicion>
  private readonly limits: DispatcherList<UpstreamLimit>

  private constructor (clock: Clock) {
    this.suspicions = DispatcherList.create(clock, ({ instance }) => instance)
    this.limits = DispatcherList.create(clock, ({ instance, requestsPerSecond }) => `${instance} ${requestsPerSecond}`)
  }

  static create (clock: Clock): HandoverLists {
    return new HandoverLists(clock)
  }

  /** Stores the suspicions of the leader, in case this process becomes the next one. */
  receiveSuspicions (suspicions: readonly Suspicion[]): void {
    this.suspicions.receive(suspicions)
  }

  /** The same for the limits that upstreams state. */
  receiveLimits (limits: readonly UpstreamLimit[]): void {
    this.limits.receive(limits)
  }

  /** Passes on what the last dispatcher knew. */
  handOverTo (dispatcher: Dispatcher): void {
    const suspicions = this.suspicions.received
    if (suspicions !== undefined) dispatcher.adoptSuspicions(suspicions.items, suspicions.at)
    dispatcher.adoptLimits(this.limits.received?.items ?? [])
  }

  /** Messages with the lists that have changed. */
  updates (dispatcher: Dispatcher): DispatchMessage[] {
    const suspicions = this.suspicions.nextUpdate(() => dispatcher.suspicions())
    const limits = this.limits.nextUpdate(() => dispatcher.statedLimits())
    const updates: DispatchMessage[] = []
    if (suspicions !== undefined) updates.push({ body: { $case: 'suspicions', value: { suspicions } } })
    if (limits !== undefined) updates.push(limitsMessage(limits))
    return updates
  }

  /** Messages for a client that has just connected. It may hold limits that are not known here, so an empty list is not sent. */
  welcome (dispatcher: Dispatcher): DispatchMessage[] {
    const limits = dispatcher.statedLimits()
    return limits.length === 0 ? [] : [limitsMessage(limits)]
  }
}

function limitsMessage (limits: UpstreamLimit[]): DispatchMessage {
  return { body: { $case: 'limits', value: { limits } } }
}
