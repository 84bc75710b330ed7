import type { EnrolledEntry, EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { hashName } from '@hickoryspoke/runtime/hashing'

/** The entries that hold the claim records of one slot. */
export interface ClaimGroup {
  readonly members: readonly string[]
  /** Digest of the members, the same at all entries that see the same group. */
  readonly digest: number
  /** Number of grants that a claim needs. */
  readonly majority: number
  /** Any this many members together have a record of every claim that a majority granted. */
  readonly copiesNeeded: number
}

interface Candidate {
  readonly name: string
  readonly zone: string
  readonly weight: number
}

/** The entries of one zone. `hashes` holds the hashes of the names in the same order. */
interface ZoneEntries {
  readonly zone: string
  readonly names: readonly string[]
  readonly hashes: Uint32Array
}

const GROUP_SIZE = 5
const HASH_RANGE = 2 ** 32

/** Assigns a group of holders to each slot, for one membership epoch. Groups are computed on first use. */
export class ClaimGroups {
  private readonly groups = new Map<number, ClaimGroup>()

  private constructor (readonly epoch: number, private readonly regions: readonly (readonly ZoneEntries[])[]) {}

  /** Assigns each slot to one region, so that a claim needs no round trip to another region. */
  static create (membership: EntryMembership): ClaimGroups {
    const names = [...new Set(membership.entries.map((entry) => entry.region))].sort()
    const regions = names.map((region) => zonesOf(membership.entries.filter((entry) => entry.region === region)))
    return new ClaimGroups(membership.epoch, regions)
  }

  /** Returns the group of a slot. It is empty while the membership has no entries. */
  of (slot: number): ClaimGroup {
    const existing = this.groups.get(slot)
    if (existing !== undefined) return existing
    const created = createGroup(chooseMembers(this.regions[slot % this.regions.length] ?? [], slot))
    this.groups.set(slot, created)
    return created
  }
}

/** Maps a claim to its slot. */
export function slotOfClaim (claim: string, slots: number): number {
  return hashName(claim) % slots
}

function createGroup (members: readonly string[]): ClaimGroup {
  const majority = Math.floor(members.length / 2) + 1
  const digest = Math.floor(hashName([...members].sort().join(' ')) % HASH_RANGE)
  return { members, digest, majority, copiesNeeded: members.length - majority + 1 }
}

function zonesOf (entries: readonly EnrolledEntry[]): ZoneEntries[] {
  const zones = [...new Set(entries.map((entry) => entry.zone))].sort()
  return zones.map((zone) => {
    const names = entries.filter((entry) => entry.zone === zone).map((entry) => entry.name)
    return { zone, names, hashes: Uint32Array.from(names, (name) => hashName(name) % HASH_RANGE) }
  })
}

/**
 * Chooses the entries of highest rendezvous weight, spread evenly over the zones. A zone exceeds its share only if the
 * group could not be filled otherwise.
 */
function chooseMembers (zones: readonly ZoneEntries[], slot: number): string[] {
  const maximumPerZone = Math.ceil(GROUP_SIZE / Math.max(1, zones.length))
  const candidates = zones.flatMap((zone) => highestWeighted(zone, slot))
  candidates.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
  const chosen: Candidate[] = []
  const overZoneLimit: Candidate[] = []
  for (const candidate of candidates) {
    const fromZone = chosen.filter((other) => other.zone === candidate.zone).length
    if (fromZone < maximumPerZone) chosen.push(candidate)
    else overZoneLimit.push(candidate)
  }
  return [...chosen, ...overZoneLimit].slice(0, GROUP_SIZE).map((candidate) => candidate.name)
}

/** Returns the entries of a zone with the highest weights, in one pass without sorting all entries. */
function highestWeighted ({ zone, names, hashes }: ZoneEntries, slot: number): Candidate[] {
  const best: Candidate[] = []
  for (let index = 0; index < hashes.length; index += 1) {
    const weight = rendezvousWeight(hashes[index] as number, slot)
    if (best.length === GROUP_SIZE && weight < (best[GROUP_SIZE - 1] as Candidate).weight) continue
    best.push({ name: names[index] as string, zone, weight })
    best.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    if (best.length > GROUP_SIZE) best.pop()
  }
  return best
}

/** Mixes an entry's hash with a slot number into a 32-bit weight. The result is the same on every machine. */
function rendezvousWeight (hash: number, slot: number): number {
  let mixed = Math.imul(hash ^ Math.imul(slot + 1, 0x9e3779b1), 0x85ebca6b)
  mixed ^= mixed >>> 15
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
