import type { MembershipSnapshot } from '@hickoryspoke/protocol/generated/command'
import type { EnrolledEntry, EntryMembership } from '@hickoryspoke/protocol/generated/distribution'

/** Witnesses of a region at most. Their count is odd, so that each pair of them adds one to what may be lost. */
export const WITNESSES_PER_REGION = 9

/** The enrolled entry VMs, epoch by epoch. */
export class EnrolledEntries {
  private entries = new Map<string, EnrolledEntry>()
  private currentEpoch = 0
  private established = 0
  private before: EnrolledEntry[] = []

  static create (): EnrolledEntries {
    return new EnrolledEntries()
  }

  get epoch (): number {
    return this.currentEpoch
  }

  get establishedEpoch (): number {
    return this.established
  }

  /** Witnesses of the epoch before, until the current one is established. */
  get previousWitnesses (): readonly EnrolledEntry[] {
    return this.before
  }

  membership (): EntryMembership {
    return { epoch: this.currentEpoch, entries: [...this.entries.values()], establishedEpoch: this.established }
  }

  /** Whether an entry is enrolled. */
  has (name: string): boolean {
    return this.entries.has(name)
  }

  /** Whether a step would change anything. */
  isChange (put: readonly EnrolledEntry[], remove: readonly string[]): boolean {
    return remove.some((name) => this.entries.has(name)) || put.some((entry) => !sameEntry(this.entries.get(entry.name), entry))
  }

  /** Takes one step into the next epoch. */
  change (put: readonly EnrolledEntry[], remove: readonly string[], forced: boolean): void {
    this.before = forced ? [] : [...this.entries.values()].filter((entry) => entry.witness)
    this.entries = nextEntries(this.entries, put, remove)
    this.currentEpoch += 1
    if (this.before.length === 0) this.establish(this.currentEpoch)
  }

  /** Records that a quorum of the witnesses before hold the epoch. */
  establish (epoch: number): boolean {
    if (epoch !== this.currentEpoch || this.established === epoch) return false
    this.established = epoch
    this.before = []
    return true
  }

  snapshot (): MembershipSnapshot {
    return { membership: this.membership(), previousWitnesses: [...this.before] }
  }

  restore (snapshot: MembershipSnapshot | undefined): void {
    const membership = snapshot?.membership
    this.entries = new Map((membership?.entries ?? []).map((entry) => [entry.name, entry]))
    this.currentEpoch = membership?.epoch ?? 0
    this.established = membership?.establishedEpoch ?? 0
    this.before = [...snapshot?.previousWitnesses ?? []]
  }
}

/** The entries after a step, with the witnesses of each region chosen. */
export function nextEntries (
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

/** Names of the witnesses of one region: those of before stay, new ones come from the zones with the fewest. */
function chooseWitnesses (entries: readonly EnrolledEntry[]): string[] {
  const oddCount = entries.length - (entries.length + 1) % 2
  const wanted = Math.min(WITNESSES_PER_REGION, oddCount)
  const chosen = entries.filter((entry) => entry.witness).slice(0, wanted)
  const others = entries.filter((entry) => !chosen.includes(entry))
  while (chosen.length < wanted) {
    const [next] = [...others].sort((left, right) => countZone(chosen, left.zone) - countZone(chosen, right.zone))
    if (next === undefined) break
    chosen.push(next)
    others.splice(others.indexOf(next), 1)
  }
  return chosen.map((entry) => entry.name)
}

function countZone (entries: readonly EnrolledEntry[], zone: string): number {
  return entries.filter((entry) => entry.zone === zone).length
}

function sameEntry (known: EnrolledEntry | undefined, entry: EnrolledEntry): boolean {
  return known?.zone === entry.zone && known.region === entry.region && known.peerAddress === entry.peerAddress
}
