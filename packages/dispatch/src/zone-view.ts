/** What is known of availability zones where requests are placed. */

/** Region by availability zone. */
export type ZoneRegions = ReadonlyMap<string, string>

/** The regions of zones, the evacuated zones, and the upstreams that may have become cold while their zone was evacuated. */
export interface ZoneView {
  /** Whether upstreams of the zone get no requests. */
  isEvacuated (zone: string): boolean
  /**
   * Whether the upstream must be treated as cold whatever it announced: its zone is evacuated, or it has not announced itself
   * since the evacuation ended. From then on its announcement decides.
   */
  isPresumedCold (instance: string): boolean
  /** Whether a request that may go only to these regions may go to the zone; an empty list is no restriction. A zone of unknown region is in none. */
  isAllowed (zone: string, allowedRegions: readonly string[]): boolean
}

/** The dispatcher's view, which also lets load return to a zone gradually. */
export interface DispatcherZoneView extends ZoneView {
  /** How many of its slots an upstream of the zone may use at a monotonic time. */
  usableSlots (zone: string, slots: number, now: number): number
}

/** Whether a zone is in one of the allowed regions; an empty list allows all. */
export function isInRegions (regions: ZoneRegions, zone: string, allowedRegions: readonly string[]): boolean {
  if (allowedRegions.length === 0) return true
  const region = regions.get(zone)
  return region !== undefined && allowedRegions.includes(region)
}

/** The view where no zone was ever evacuated and no region is known. */
export const NO_EVACUATIONS: DispatcherZoneView = {
  isEvacuated: () => false,
  isPresumedCold: () => false,
  isAllowed: (_, allowedRegions) => allowedRegions.length === 0,
  usableSlots: (_, slots) => slots
}
