import type { EnrolledEntry, EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { hashName } from '@hickoryspoke/runtime/hashing'

/** The entries that record the claims of one slot. */
export interface ClaimGroup {
  readonly members: readonly string[]
  /** Equal at all entries that see the same members. */
  readonly digest: number
  /** Grants that a claim needs. */
  readonly majority: number
  /** Copies of other voters' records that make up for forgotten ones: any claim is known to one of so many. */
  readonly copiesNeeded: number
}

interface Candidate {
  readonly name: string
  readonly zone: string
  readonly weight: number
}

/** The entries of one zone, and the hashes of their names in the same order. */
interface ZoneEntries {
  readonly zone: string
  readonly names: readonly string[]
  readonly hashes: Uint32Array
}

const GROUP_SIZE = 5
const HASH_RANGE = 2 ** 32

/** The holder groups of one membership epoch. */
export class ClaimGroups {
  private readonly known = new Map<number, ClaimGroup>()

  private constructor (readonly epoch: number, private readonly regions: readonly (readonly ZoneEntries[])[]) {}

  /** Each slot belongs to one region, so that a claim needs no round trip to another. */
  static create (membership: EntryMembership): ClaimGroups {
    const names = [...new Set(membership.entries.map((entry) => entry.region))].sort()
    const regions = names.map((region) => zonesOf(membership.entries.filter((entry) => entry.region === region)))
    return new ClaimGroups(membership.epoch, regions)
  }

  /** The group of a slot; without members while there are no entries. */
  of (slot: number): ClaimGroup {
    const known = this.known.get(slot)
    if (known !== undefined) return known
    const created = createGroup(chooseMembers(this.regions[slot % this.regions.length] ?? [], slot))
    this.known.set(slot, created)
    return created
  }
}

/** The slot of a claim. */
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

/** The members of highest rendezvous weight, no zone with more than its part unless there are too few zones. */
function chooseMembers (zones: readonly ZoneEntries[], slot: number): string[] {
  const mostPerZone = Math.ceil(GROUP_SIZE / Math.max(1, zones.length))
  const candidates = zones.flatMap((zone) => heaviest(zone, slot))
  candidates.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
  const chosen: Candidate[] = []
  const passedOver: Candidate[] = []
  for (const candidate of candidates) {
    const fromZone = chosen.filter((other) => other.zone === candidate.zone).length
    if (fromZone < mostPerZone) chosen.push(candidate)
    else passedOver.push(candidate)
  }
  return [...chosen, ...passedOver].slice(0, GROUP_SIZE).map((candidate) => candidate.name)
}

/** The entries of a zone that may rank for a slot, found in one pass without sorting them all. */
function heaviest ({ zone, names, hashes }: ZoneEntries, slot: number): Candidate[] {
  const best: Candidate[] = []
  for (let index = 0; index < hashes.length; index += 1) {
    const weight = weightOf(hashes[index] as number, slot)
    if (best.length === GROUP_SIZE && weight < (best[GROUP_SIZE - 1] as Candidate).weight) continue
    best.push({ name: names[index] as string, zone, weight })
    best.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    if (best.length > GROUP_SIZE) best.pop()
  }
  return best
}

/** Mixes two 32-bit numbers; the same on every machine. */
function weightOf (hash: number, slot: number): number {
  let mixed = Math.imul(hash ^ Math.imul(slot + 1, 0x9e3779b1), 0x85ebca6b)
  mixed ^= mixed >>> 15
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
