import type { EntryMembership, EnrolledEntry } from '@hickoryspoke/protocol/generated/distribution'
import { hashName } from '@hickoryspoke/runtime/hashing'

/** The entries that vote on the lease on a slot and may hold it, in order of rank. */
export interface LeaseGroup {
  readonly members: readonly string[]
  /** Hash of the slot and its members in order; equal at all entries that see the same group. */
  readonly digest: number
}

interface Candidate {
  readonly name: string
  readonly zone: string
  readonly hash: number
}

const GROUP_SIZE = 3
const HASH_RANGE = 2 ** 32

/** The lease group of each slot in each region, derived from the membership of one epoch. */
export class LeaseGroups {
  private readonly known = new Map<number, LeaseGroup>()

  private constructor (
    readonly epoch: number,
    readonly regions: readonly string[],
    private readonly candidates: readonly (readonly Candidate[])[],
    private readonly zones: ReadonlyMap<string, string>
  ) {}

  /** Creates the groups of a membership; each group is computed on first use. */
  static create (membership: EntryMembership): LeaseGroups {
    const regions = [...new Set(membership.entries.map((entry) => entry.region))].sort()
    const candidates = regions.map((region) => candidatesOf(membership.entries.filter((entry) => entry.region === region)))
    const zones = new Map(membership.entries.map((entry) => [entry.name, entry.zone]))
    return new LeaseGroups(membership.epoch, regions, candidates, zones)
  }

  /** Availability zone of an entry; undefined if the entry is not enrolled. */
  zoneOf (name: string): string | undefined {
    return this.zones.get(name)
  }

  /** The group of a slot in a region, which is given by its index in `regions`. */
  groupOf (region: number, slot: number): LeaseGroup {
    const key = region * HASH_RANGE + slot
    const known = this.known.get(key)
    if (known !== undefined) return known
    const members = chooseMembers(this.candidates[region] ?? [], slot)
    const group = { members, digest: Math.floor(hashName(`${slot} ${members.join(' ')}`) % HASH_RANGE) }
    this.known.set(key, group)
    return group
  }
}

function candidatesOf (entries: readonly EnrolledEntry[]): Candidate[] {
  return entries.map((entry) => ({ name: entry.name, zone: entry.zone, hash: hashName(entry.name) % HASH_RANGE }))
}

/** Chooses three members by rendezvous hashing, in different zones where possible, or one member if there are fewer than three entries. */
function chooseMembers (candidates: readonly Candidate[], slot: number): string[] {
  const size = candidates.length < GROUP_SIZE ? Math.min(1, candidates.length) : GROUP_SIZE
  const ordered = [...candidates].sort((left, right) => weightOf(right, slot) - weightOf(left, slot) || (left.name < right.name ? -1 : 1))
  const chosen: Candidate[] = []
  while (chosen.length < size) {
    const rest = ordered.filter((candidate) => !chosen.includes(candidate))
    const zones = chosen.map((candidate) => candidate.zone)
    chosen.push((rest.find((candidate) => !zones.includes(candidate.zone)) ?? rest[0]) as Candidate)
  }
  return chosen.map((candidate) => candidate.name)
}

/** Rendezvous weight of a candidate for a slot: a 32-bit hash that every VM computes identically. */
function weightOf (candidate: Candidate, slot: number): number {
  let mixed = Math.imul(candidate.hash ^ Math.imul(slot + 1, 0x9e3779b1), 0x85ebca6b)
  mixed ^= mixed >>> 15
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
