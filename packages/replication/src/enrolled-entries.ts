import type { MembershipSnapshot } from '@hickoryspoke/protocol/generated/command'
import type { EnrolledEntry, EntryMembership } from '@hickoryspoke/protocol/generated/distribution'

/** Maximum number of witnesses per region. The number is always odd: an even count tolerates no more failures than the odd count below it. */
export const MAXIMUM_WITNESSES_PER_REGION = 9

/** The enrolled entry VMs. Each change starts a new epoch. */
export class EnrolledEntries {
  private entries = new Map<string, EnrolledEntry>()
  private currentEpoch = 0
  private established = 0
  private replacedWitnesses: EnrolledEntry[] = []

  static create (): EnrolledEntries {
    return new EnrolledEntries()
  }

  get epoch (): number {
    return this.currentEpoch
  }

  get establishedEpoch (): number {
    return this.established
  }

  /** Witnesses of the previous epoch; empty once the current epoch is established. */
  get previousWitnesses (): readonly EnrolledEntry[] {
    return this.replacedWitnesses
  }

  membership (): EntryMembership {
    return { epoch: this.currentEpoch, entries: [...this.entries.values()], establishedEpoch: this.established }
  }

  /** Whether an entry is enrolled. */
  has (name: string): boolean {
    return this.entries.has(name)
  }

  /** Whether a change would alter the enrolled entries. */
  hasEffect (put: readonly EnrolledEntry[], remove: readonly string[]): boolean {
    return remove.some((name) => this.entries.has(name)) || put.some((entry) => !hasSameAttributes(this.entries.get(entry.name), entry))
  }

  /** Applies one change and starts the next epoch. A forced change does not wait for the previous witnesses. */
  applyChange (put: readonly EnrolledEntry[], remove: readonly string[], forced: boolean): void {
    this.replacedWitnesses = forced ? [] : [...this.entries.values()].filter((entry) => entry.witness)
    this.entries = applyMembershipChange(this.entries, put, remove)
    this.currentEpoch += 1
    if (this.replacedWitnesses.length === 0) this.establish(this.currentEpoch)
  }

  /** Records that a quorum of the previous witnesses holds the epoch. Returns whether this is new. */
  establish (epoch: number): boolean {
    if (epoch !== this.currentEpoch || this.established === epoch) return false
    this.established = epoch
    this.replacedWitnesses = []
    return true
  }

  snapshot (): MembershipSnapshot {
    return { membership: this.membership(), previousWitnesses: [...this.replacedWitnesses] }
  }

  restore (snapshot: MembershipSnapshot | undefined): void {
    const membership = snapshot?.membership
    this.entries = new Map((membership?.entries ?? []).map((entry) => [entry.name, entry]))
    this.currentEpoch = membership?.epoch ?? 0
    this.established = membership?.establishedEpoch ?? 0
    this.replacedWitnesses = [...snapshot?.previousWitnesses ?? []]
  }
}

/** Returns the entries after a change, with the witnesses of each region chosen again. */
export function applyMembershipChange (
  current: ReadonlyMap<string, EnrolledEntry>,
  put: readonly EnrolledEntry[],
  remove: readonly string[]
): Map<string, EnrolledEntry> {
  const next = new Map(current)
  for (const name of remove) next.delete(name)
  for (const entry of put) {
    const known = next.get(entry.name)
    next.set(entry.name, { ...entry, witness: known?.witness === true, incarnation: known === undefined ? entry.incarnation : known.incarnation })
  }
  const sorted = [...next.values()].sort((left, right) => left.name < right.name ? -1 : 1)
  const regions = new Set(sorted.map((entry) => entry.region))
  const witnesses = new Set([...regions].flatMap((region) => chooseWitnesses(sorted.filter((entry) => entry.region === region))))
  return new Map(sorted.map((entry) => [entry.name, { ...entry, witness: witnesses.has(entry.name) }]))
}

/** Chooses the witnesses of one region: existing ones stay, new ones come from the zones with the fewest witnesses. */
function chooseWitnesses (entries: readonly EnrolledEntry[]): string[] {
  const oddCount = entries.length - (entries.length + 1) % 2
  const wanted = Math.min(MAXIMUM_WITNESSES_PER_REGION, oddCount)
  const chosen = entries.filter((entry) => entry.witness).slice(0, wanted)
  const others = entries.filter((entry) => !chosen.includes(entry))
  while (chosen.length < wanted) {
    const [next] = [...others].sort((left, right) => countInZone(chosen, left.zone) - countInZone(chosen, right.zone))
    if (next === undefined) break
    chosen.push(next)
    others.splice(others.indexOf(next), 1)
  }
  return chosen.map((entry) => entry.name)
}

function countInZone (entries: readonly EnrolledEntry[], zone: string): number {
  return entries.filter((entry) => entry.zone === zone).length
}

function hasSameAttributes (known: EnrolledEntry | undefined, entry: EnrolledEntry): boolean {
  return known?.zone === entry.zone && known.region === entry.region && known.peerAddress === entry.peerAddress
}
