/** The evacuated zones as an entry knows them from the leader. The list is kept while there is no leader. */
import type { ZoneList } from '@hickoryspoke/protocol/generated/dispatch'
import type { UpstreamRegistry } from './upstream-registry.ts'
import { isInRegions, type ZoneRegions, type ZoneView } from './zone-view.ts'

/** The newest list that was received. */
export class ReceivedZones implements ZoneView {
  private evacuated: ReadonlySet<string> = new Set()
  private presumedCold: ReadonlySet<string> = new Set()

  private constructor (private readonly registry: UpstreamRegistry, private readonly regions: ZoneRegions) {}

  static create (registry: UpstreamRegistry, regions: ZoneRegions = new Map()): ReceivedZones {
    return new ReceivedZones(registry, regions)
  }

  /** Replaces the list; true when other zones are evacuated than before. */
  receive ({ evacuated, presumedCold }: ZoneList): boolean {
    const before = this.evacuated
    this.evacuated = new Set(evacuated)
    this.presumedCold = new Set(presumedCold)
    return before.size !== this.evacuated.size || evacuated.some((zone) => !before.has(zone))
  }

  /** The evacuated zones. */
  zones (): string[] {
    return [...this.evacuated]
  }

  isEvacuated (zone: string): boolean {
    return this.evacuated.has(zone)
  }

  isAllowed (zone: string, allowedRegions: readonly string[]): boolean {
    return isInRegions(this.regions, zone, allowedRegions)
  }

  isPresumedCold (instance: string): boolean {
    if (this.presumedCold.has(instance)) return true
    return this.evacuated.size > 0 && this.isEvacuated(this.registry.find(instance)?.announced.zone ?? '')
  }
}
