import type { EntryMembership, EnrolledEntry } from '@hickoryspoke/protocol/generated/distribution'
import { hashName } from '@hickoryspoke/runtime/hashing'

/** The entries that may hold the lease on a slot, by rank. */
export interface HomeGroup {
  readonly members: readonly string[]
  /** Equal at all entries that see the same members in the same order. */
  readonly digest: number
}

interface Candidate {
  readonly name: string
  readonly zone: string
  readonly hash: number
}

const GROUP_SIZE = 3
const HASH_RANGE = 2 ** 32

/** The home group of each slot in each region, from the membership of one epoch. */
export class HomeGroups {
  private readonly known = new Map<number, HomeGroup>()

  private constructor (
    readonly epoch: number,
    readonly regions: readonly string[],
    private readonly candidates: readonly (readonly Candidate[])[],
    private readonly zones: ReadonlyMap<string, string>
  ) {}

  /** Groups are worked out when first asked for. */
  static create (membership: EntryMembership): HomeGroups {
    const regions = [...new Set(membership.entries.map((entry) => entry.region))].sort()
    const candidates = regions.map((region) => candidatesOf(membership.entries.filter((entry) => entry.region === region)))
    const zones = new Map(membership.entries.map((entry) => [entry.name, entry.zone]))
    return new HomeGroups(membership.epoch, regions, candidates, zones)
  }

  /** Availability zone of an entry; undefined when it is not enrolled. */
  zoneOf (name: string): string | undefined {
    return this.zones.get(name)
  }

  /** The group of a slot in a region, given by its place in `regions`. */
  groupOf (region: number, slot: number): HomeGroup {
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

/** Three members in as many zones as there are, by rendezvous weight; one member where there are fewer than three entries. */
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

/** Mixes two 32-bit numbers; the same on every machine. */
function weightOf (candidate: Candidate, slot: number): number {
  let mixed = Math.imul(candidate.hash ^ Math.imul(slot + 1, 0x9e3779b1), 0x85ebca6b)
  mixed ^= mixed >>> 15
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
