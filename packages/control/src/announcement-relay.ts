/**
 * Lets a control VM that does not lead accept the announcements of upstreams that change nothing, so that the leader
 * need not answer each of them. It reports to the leader in batches which upstreams were heard.
 */
import { encodeAnnounced } from '@hickoryspoke/dispatch/announced-upstream'
import type { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import type { AnnouncedUpstream, EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'

/** The connection to the leader whose upstreams the registry mirrors. */
export interface LeaderLink {
  readonly isConnected: boolean
  /** False when there is no connection. */
  send (message: EntryMessage): boolean
}

/** Much shorter than the time after which an upstream counts as silent. */
const REPORT_INTERVAL_MILLISECONDS = 1_000

/** Upstreams heard since the last report. */
export class AnnouncementRelay {
  private readonly heard = new Map<string, AnnouncedUpstream>()

  private constructor (private readonly registry: UpstreamRegistry, private readonly link: LeaderLink) {}

  static create (registry: UpstreamRegistry, link: LeaderLink): AnnouncementRelay {
    return new AnnouncementRelay(registry, link)
  }

  /** Reports to the leader at intervals until the signal aborts. */
  async run (clock: Clock, signal: AbortSignal): Promise<void> {
    await repeatEvery(clock, REPORT_INTERVAL_MILLISECONDS, signal, () => this.report())
  }

  /** Accepts an announcement that only repeats what the leader knows; false for one that the leader must see itself. */
  accept (announced: AnnouncedUpstream): boolean {
    if (!this.link.isConnected || announced.draining || !this.registry.isRenewal(announced)) return false
    this.registry.announce(announced)
    this.heard.set(announced.instance, announced)
    return true
  }

  /** The announcement with the rest of its warm-up as of now, unless the leader has sent a newer one since. */
  private encodeNow (announced: AnnouncedUpstream): Buffer[] {
    const held = this.registry.find(announced.instance)
    return held?.announced === announced ? this.registry.encodeNow([held]) : encodeAnnounced([announced])
  }

  /** Keeps what cannot be sent now. Leaves out upstreams that have since said that they leave, as a report says that they serve. */
  private report (): void {
    if (this.heard.size === 0) return
    for (const instance of this.heard.keys()) {
      if (this.registry.isLeaving(instance)) this.heard.delete(instance)
    }
    const upstreams = [...this.heard.values()].flatMap((announced) => this.encodeNow(announced))
    if (this.link.send({ body: { $case: 'known', value: { whole: false, upstreams, revision: 0 } } })) this.heard.clear()
  }
}
