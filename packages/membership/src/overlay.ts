import { hashName } from '@hickoryspoke/runtime/hashing'

/** Number of parts into which addresses are divided for digests and homes. */
export const BUCKET_COUNT = 512
/** Entries that watch over the lease of one upstream. */
export const HOMES_PER_BUCKET = 3

const RING_COUNT = 6
const GOLDEN_RATIO = 0x9e3779b9
const FIRST_FACTOR = 0x85ebca6b
const SECOND_FACTOR = 0xc2b2ae35

/** Name and zone of an entry as the overlay needs them. */
export interface OverlayMember {
  readonly name: string
  readonly zone: string
}

interface Weighted {
  readonly member: OverlayMember
  readonly weight: number
}

interface Seeded {
  readonly member: OverlayMember
  readonly seed: number
}

/** The bucket of an address, equal on every entry. */
export function bucketOf (address: string): number {
  return hashName(address) % BUCKET_COUNT
}

/** Who speaks with whom: neighbours for gossip and homes for leases, derived from the live entries alone. */
export class Overlay {
  private readonly homes: (readonly string[] | undefined)[] = new Array(BUCKET_COUNT)
  private readonly seeded: readonly Seeded[]

  private constructor (members: readonly OverlayMember[]) {
    this.seeded = members.map((member) => ({ member, seed: hashName(member.name) >>> 0 }))
  }

  static create (members: readonly OverlayMember[]): Overlay {
    return new Overlay(members)
  }

  /** Both neighbours of an entry on each of several differently ordered rings: at most twelve names. */
  neighbours (self: string): readonly string[] {
    const found = new Set<string>()
    for (let ring = 0; ring < RING_COUNT; ring += 1) this.addRingNeighbours(self, ring, found)
    found.delete(self)
    return [...found]
  }

  /** The entries that watch the leases of a bucket, in different zones as far as there are zones. */
  homesOf (bucket: number): readonly string[] {
    const known = this.homes[bucket]
    if (known !== undefined) return known
    const chosen = this.chooseHomes(bucket)
    this.homes[bucket] = chosen
    return chosen
  }

  /** The member of highest weight for a subject among those present; leaving one moves only its own subjects. */
  firstFor (subject: string, isPresent: (name: string) => boolean = () => true): string | undefined {
    const number = hashName(subject) >>> 0
    let first: { readonly name: string, readonly weight: number } | undefined
    for (const { member, seed } of this.seeded) {
      const weight = mix(seed, number)
      if ((first === undefined || weight > first.weight) && isPresent(member.name)) first = { name: member.name, weight }
    }
    return first?.name
  }

  private chooseHomes (bucket: number): string[] {
    const bestOfZone = new Map<string, Weighted>()
    for (const { member, seed } of this.seeded) {
      const weight = mix(seed, bucket)
      const best = bestOfZone.get(member.zone)
      if (best === undefined || weight > best.weight) bestOfZone.set(member.zone, { member, weight })
    }
    const chosen = [...bestOfZone.values()].sort(byWeight).slice(0, HOMES_PER_BUCKET).map((item) => item.member)
    const missing = HOMES_PER_BUCKET - chosen.length
    const others = missing > 0 ? this.ordered(bucket).filter((member) => !chosen.includes(member)).slice(0, missing) : []
    return [...chosen, ...others].map((member) => member.name)
  }

  private ordered (subject: number): OverlayMember[] {
    return this.seeded
      .map(({ member, seed }) => ({ member, weight: mix(seed, subject) }))
      .sort(byWeight)
      .map(({ member }) => member)
  }

  private addRingNeighbours (self: string, ring: number, found: Set<string>): void {
    const order = this.ordered(BUCKET_COUNT + ring)
    const place = order.findIndex((member) => member.name === self)
    if (place < 0) return
    const after = order[(place + 1) % order.length] as OverlayMember
    const before = order[(place + order.length - 1) % order.length] as OverlayMember
    found.add(after.name)
    found.add(before.name)
  }
}

function byWeight (left: Weighted, right: Weighted): number {
  return right.weight - left.weight || (left.member.name < right.member.name ? -1 : 1)
}

/** A cheap, well-spread 32-bit weight of two numbers. */
function mix (seed: number, subject: number): number {
  let value = (seed ^ Math.imul(subject + 1, GOLDEN_RATIO)) >>> 0
  value = Math.imul(value ^ (value >>> 16), FIRST_FACTOR)
  value = Math.imul(value ^ (value >>> 13), SECOND_FACTOR)
  return (value ^ (value >>> 16)) >>> 0
}
