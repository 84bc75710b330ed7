/** What is known of evacuated availability zones where requests are placed. */

/** Evacuated zones, and the upstreams that may have become cold while their zone was evacuated. */
export interface ZoneView {
  /** Whether upstreams of the zone get no requests. */
  isEvacuated (zone: string): boolean
  /**
   * Whether the upstream must be treated as cold whatever it announced: its zone is evacuated, or it has not announced itself
   * since the evacuation ended. From then on its announcement decides.
   */
  isPresumedCold (instance: string): boolean
}

/** The dispatcher's view, which also lets load return to a zone gradually. */
export interface DispatcherZoneView extends ZoneView {
  /** How many of its slots an upstream of the zone may use. */
  usableSlots (zone: string, slots: number): number
}

/** The view where no zone was ever evacuated. */
export const NO_EVACUATIONS: DispatcherZoneView = {
  isEvacuated: () => false,
  isPresumedCold: () => false,
  usableSlots: (_, slots) => slots
}
