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
  readonly hash: number
}

const GROUP_SIZE = 5
const HASH_RANGE = 2 ** 32

/** The holder groups of one membership epoch. */
export class ClaimGroups {
  private readonly known = new Map<number, ClaimGroup>()

  private constructor (readonly epoch: number, private readonly regions: readonly (readonly Candidate[])[]) {}

  /** Each slot belongs to one region, so that a claim needs no round trip to another. */
  static create (membership: EntryMembership): ClaimGroups {
    const names = [...new Set(membership.entries.map((entry) => entry.region))].sort()
    const regions = names.map((region) => membership.entries.filter((entry) => entry.region === region).map(candidateOf))
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

function candidateOf (entry: EnrolledEntry): Candidate {
  return { name: entry.name, zone: entry.zone, hash: hashName(entry.name) % HASH_RANGE }
}

/** The members of highest rendezvous weight, no zone with more than its part. */
function chooseMembers (candidates: readonly Candidate[], slot: number): string[] {
  const zones = new Set(candidates.map((candidate) => candidate.zone)).size
  const mostPerZone = Math.ceil(GROUP_SIZE / Math.max(1, zones))
  const weighted = candidates.map((candidate) => ({ candidate, weight: weightOf(candidate.hash, slot) }))
  weighted.sort((left, right) => right.weight - left.weight || (left.candidate.name < right.candidate.name ? -1 : 1))
  const chosen: Candidate[] = []
  const passedOver: Candidate[] = []
  for (const { candidate } of weighted) {
    const fromZone = chosen.filter((other) => other.zone === candidate.zone).length
    if (fromZone < mostPerZone) chosen.push(candidate)
    else passedOver.push(candidate)
    if (chosen.length === GROUP_SIZE) break
  }
  return [...chosen, ...passedOver].slice(0, GROUP_SIZE).map((candidate) => candidate.name)
}

/** Mixes two 32-bit numbers; the same on every machine. */
function weightOf (hash: number, slot: number): number {
  let mixed = Math.imul(hash ^ Math.imul(slot + 1, 0x9e3779b1), 0x85ebca6b)
  mixed ^= mixed >>> 15
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
