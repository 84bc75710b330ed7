/** The evacuated zones as a control process knows them from the replicated log, and how far its upstreams are in use again afterwards. */
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { RegisteredUpstream, UpstreamRegistry } from './upstream-registry.ts'
import { isInRegions, type DispatcherZoneView, type ZoneRegions } from './zone-view.ts'

/** A committed decision on one zone. */
export interface ZoneState {
  readonly zone: string
  readonly isEvacuated: boolean
  /** In Unix milliseconds. */
  readonly decidedAt: number
}

/** A zone on which there was a decision. */
interface HeldZone {
  readonly isEvacuated: boolean
  /** When its evacuation ended, in monotonic milliseconds; -Infinity if that was long ago. */
  readonly returnedAt: number
}

/** One announcement of an upstream. */
interface Announced {
  readonly zone: string
  readonly born: number
  readonly sequence: number
}

/** An upstream that has not announced itself for this long since the end of an evacuation is no longer in the registry, as silent ones are taken out sooner. */
const RETURN_MILLISECONDS = 60_000
/**
 * Time in which the usable slots of a zone's upstreams rise to all of them. Shorter than the four seconds for which an upstream
 * may be without requests, as it begins with one slot.
 */
const SLOW_START_MILLISECONDS = 3_000

/** Zones by name, with the last announcements of their upstreams before the zone was taken back. */
export class ZoneEvacuations implements DispatcherZoneView {
  private readonly zones = new Map<string, HeldZone>()
  /** The last announcement before the return of its zone, or the first one after it, by instance. */
  private readonly earlier = new Map<string, Announced>()
  private readonly listeners = new Set<() => void>()
  /** When the last slow start of any zone ends, as slots are looked at for each upstream of each request. */
  private slowStartEndsAt = -Infinity

  private constructor (private readonly clock: Clock, private readonly registry: UpstreamRegistry, private readonly regions: ZoneRegions) {
    registry.onChange((changed) => this.recordFirst(changed))
  }

  static create (clock: Clock, registry: UpstreamRegistry, regions: ZoneRegions = new Map()): ZoneEvacuations {
    return new ZoneEvacuations(clock, registry, regions)
  }

  /** Whether there was ever a decision. */
  get isUsed (): boolean {
    return this.zones.size > 0
  }

  /** The evacuated zones. */
  evacuated (): string[] {
    return [...this.zones].filter(([, { isEvacuated }]) => isEvacuated).map(([zone]) => zone)
  }

  /** The zones on which there was a decision. */
  known (): string[] {
    return [...this.zones.keys()]
  }

  /** Calls `listener` after each change of the evacuated zones. Returns a function that unsubscribes it. */
  onChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** Applies a decision; false when it changes nothing. */
  apply ({ zone, isEvacuated, decidedAt }: ZoneState): boolean {
    const held = this.zones.get(zone)
    if (held?.isEvacuated === isEvacuated) return false
    if (isEvacuated) this.forgetAnnouncements(zone)
    const isRecent = Math.abs(this.clock.wallMilliseconds() - decidedAt) < RETURN_MILLISECONDS
    const isReturning = !isEvacuated && isRecent
    const now = this.clock.monotonicMilliseconds()
    this.zones.set(zone, { isEvacuated, returnedAt: isReturning ? now : -Infinity })
    if (isReturning) this.slowStartEndsAt = now + SLOW_START_MILLISECONDS
    if (isReturning) this.recordFirst(this.registry.all())
    for (const listener of [...this.listeners]) listener()
    return true
  }

  isEvacuated (zone: string): boolean {
    return this.zones.get(zone)?.isEvacuated === true
  }

  isPresumedCold (instance: string): boolean {
    if (this.zones.size === 0) return false
    const announced = this.registry.find(instance)?.announced
    if (announced === undefined) return false
    if (this.isEvacuated(announced.zone)) return true
    const earlier = this.earlier.get(instance)
    return earlier !== undefined && earlier.born === announced.born && announced.sequence <= earlier.sequence
  }

  isAllowed (zone: string, allowedRegions: readonly string[]): boolean {
    return isInRegions(this.regions, zone, allowedRegions)
  }

  /** Upstreams of zones that were taken back which have not announced themselves since. */
  presumedCold (): string[] {
    this.prune()
    return [...this.earlier.keys()].filter((instance) => this.isPresumedCold(instance)).sort()
  }

  usableSlots (zone: string, slots: number, now: number): number {
    if (now >= this.slowStartEndsAt) return slots
    const held = this.zones.get(zone)
    if (held === undefined) return slots
    const share = (now - held.returnedAt) / SLOW_START_MILLISECONDS
    return share >= 1 ? slots : Math.max(1, Math.floor(slots * share))
  }

  /** Remembers the announcements of upstreams of returning zones, unless an earlier one is remembered. */
  private recordFirst (upstreams: readonly RegisteredUpstream[]): void {
    for (const { announced: { instance, zone, born, sequence } } of upstreams) {
      if (this.isReturning(zone) && !this.earlier.has(instance)) this.earlier.set(instance, { zone, born, sequence })
    }
  }

  private isReturning (zone: string): boolean {
    const held = this.zones.get(zone)
    return held !== undefined && this.clock.monotonicMilliseconds() - held.returnedAt < RETURN_MILLISECONDS
  }

  private forgetAnnouncements (zone: string): void {
    for (const [instance, earlier] of this.earlier) {
      if (earlier.zone === zone) this.earlier.delete(instance)
    }
  }

  private prune (): void {
    for (const { zone } of [...this.earlier.values()]) {
      if (!this.isReturning(zone)) this.forgetAnnouncements(zone)
    }
  }
}
