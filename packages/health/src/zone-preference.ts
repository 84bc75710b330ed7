const MAXIMUM_RELATIVE_DIFFERENCE = 0.2

interface Zoned {
  readonly zone: string
  readonly slots: number
}

/** Weight of upstreams in the entry's own zone: `wanted` if each zone's shares of slots and entries are within 20 % of each other, else 1. */
export function zonePreference (wanted: number, entryZones: readonly string[], upstreams: readonly Zoned[]): number {
  const slots = upstreams.reduce((sum, upstream) => sum + upstream.slots, 0)
  const zones = new Set([...entryZones, ...upstreams.map((upstream) => upstream.zone)])
  for (const zone of zones) {
    const entryShare = entryZones.filter((entryZone) => entryZone === zone).length / Math.max(1, entryZones.length)
    const slotShare = upstreams.reduce((sum, upstream) => upstream.zone === zone ? sum + upstream.slots : sum, 0) / Math.max(1, slots)
    if (Math.abs(entryShare - slotShare) > MAXIMUM_RELATIVE_DIFFERENCE * Math.max(entryShare, slotShare)) return 1
  }
  return wanted
}
