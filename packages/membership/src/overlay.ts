import { hashName } from '@hickoryspoke/runtime/hashing'

/** Number of buckets into which addresses are hashed, for digests and for the choice of home entries. */
export const BUCKET_COUNT = 512
/** Number of home entries of a bucket, which watch the leases of its upstreams. */
export const HOMES_PER_BUCKET = 3

const RING_COUNT = 6
const GOLDEN_RATIO = 0x9e3779b9
const FIRST_FACTOR = 0x85ebca6b
const SECOND_FACTOR = 0xc2b2ae35

/** Name and zone of an entry. */
export interface OverlayMember {
  readonly name: string
  readonly zone: string
}

interface WeightedMember {
  readonly member: OverlayMember
  readonly weight: number
}

interface SeededMember {
  readonly member: OverlayMember
  readonly seed: number
}

/** Bucket of an address. The same on every entry. */
export function bucketOf (address: string): number {
  return hashName(address) % BUCKET_COUNT
}

/**
 * Overlay network of the live entries: the gossip neighbours of each entry and the home entries of each bucket.
 * Derived by rendezvous hashing from the live entries alone, so entries with the same view compute the same overlay.
 */
export class Overlay {
  private readonly homes: (readonly string[] | undefined)[] = new Array(BUCKET_COUNT)
  private readonly seeded: readonly SeededMember[]

  private constructor (members: readonly OverlayMember[]) {
    this.seeded = members.map((member) => ({ member, seed: hashName(member.name) >>> 0 }))
  }

  static create (members: readonly OverlayMember[]): Overlay {
    return new Overlay(members)
  }

  /** Neighbours of an entry: the next and the previous one on each of six differently ordered rings, at most twelve names. */
  neighbours (self: string): readonly string[] {
    const found = new Set<string>()
    for (let ring = 0; ring < RING_COUNT; ring += 1) this.addRingNeighbours(self, ring, found)
    found.delete(self)
    return [...found]
  }

  /** Home entries of a bucket, in different zones as far as there are enough zones. */
  homesOf (bucket: number): readonly string[] {
    const known = this.homes[bucket]
    if (known !== undefined) return known
    const chosen = this.chooseHomes(bucket)
    this.homes[bucket] = chosen
    return chosen
  }

  /** Owner of a subject by rendezvous hashing among the members present. If a member leaves, only its own subjects move. */
  rendezvousOwner (subject: string, isPresent: (name: string) => boolean = () => true): string | undefined {
    const number = hashName(subject) >>> 0
    let first: { readonly name: string, readonly weight: number } | undefined
    for (const { member, seed } of this.seeded) {
      const weight = mixHash(seed, number)
      if ((first === undefined || weight > first.weight) && isPresent(member.name)) first = { name: member.name, weight }
    }
    return first?.name
  }

  private chooseHomes (bucket: number): string[] {
    const bestOfZone = new Map<string, WeightedMember>()
    for (const { member, seed } of this.seeded) {
      const weight = mixHash(seed, bucket)
      const best = bestOfZone.get(member.zone)
      if (best === undefined || weight > best.weight) bestOfZone.set(member.zone, { member, weight })
    }
    const chosen = [...bestOfZone.values()].sort(byWeight).slice(0, HOMES_PER_BUCKET).map((item) => item.member)
    const missing = HOMES_PER_BUCKET - chosen.length
    const others = missing > 0 ? this.rankedMembers(bucket).filter((member) => !chosen.includes(member)).slice(0, missing) : []
    return [...chosen, ...others].map((member) => member.name)
  }

  private rankedMembers (subject: number): OverlayMember[] {
    return this.seeded
      .map(({ member, seed }) => ({ member, weight: mixHash(seed, subject) }))
      .sort(byWeight)
      .map(({ member }) => member)
  }

  private addRingNeighbours (self: string, ring: number, found: Set<string>): void {
    const ranking = this.rankedMembers(BUCKET_COUNT + ring)
    const place = ranking.findIndex((member) => member.name === self)
    if (place < 0) return
    const after = ranking[(place + 1) % ranking.length] as OverlayMember
    const before = ranking[(place + ranking.length - 1) % ranking.length] as OverlayMember
    found.add(after.name)
    found.add(before.name)
  }
}

function byWeight (left: WeightedMember, right: WeightedMember): number {
  return right.weight - left.weight || (left.member.name < right.member.name ? -1 : 1)
}

/** A cheap, well-distributed 32-bit hash of two numbers. */
function mixHash (seed: number, subject: number): number {
  let value = (seed ^ Math.imul(subject + 1, GOLDEN_RATIO)) >>> 0
  value = Math.imul(value ^ (value >>> 16), FIRST_FACTOR)
  value = Math.imul(value ^ (value >>> 13), SECOND_FACTOR)
  return (value ^ (value >>> 16)) >>> 0
}
