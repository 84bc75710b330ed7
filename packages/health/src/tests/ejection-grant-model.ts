/**
 * Model of the protocol for granting ejections: two ejection owners of successive epochs, two entries, and two upstreams
 * of one slot each, with a floor that allows one of them out of service. Time advances in ticks. The test explores it
 * exhaustively, breadth first.
 */

/** Faults that can be seeded by leaving out a part of the protocol, to show that the exploration detects what it prevents. */
export const SeededFault = {
  None: 'none',
  NoQuarantine: 'no_quarantine',
  LeaseFromReceipt: 'lease_from_receipt',
  ReleaseForgets: 'release_forgets',
  EpochLeaseIgnored: 'epoch_lease_ignored'
} as const
export type SeededFault = typeof SeededFault[keyof typeof SeededFault]

const EJECTION_LEASE_TICKS = 2
const EPOCH_LEASE_TICKS = 1
const UPSTREAMS = [0, 1] as const
const BOTH = [0, 1] as const
const MAXIMUM_EJECTED = 1

interface Owner {
  /** Bit set of the granted upstreams. */
  readonly granted: number
  /** For each upstream, the remaining ticks in which some entry may apply a grant. */
  readonly outstanding: readonly [number, number]
  /** Remaining ticks of the epoch lease. */
  readonly epochLease: number
  /** Remaining ticks until the owner may grant; -1 while its epoch has not begun. */
  readonly quarantine: number
}

interface Entry {
  readonly applied: number
  readonly lease: number
  /** Ticks since the pending request was sent; -1 if there is none. */
  readonly askedAgo: number
  /** Bit set of grants in the answer in transit; -1 if there is none. */
  readonly answer: number
}

/** One state of the whole system. */
export interface ModelState {
  readonly owners: readonly [Owner, Owner]
  readonly entries: readonly [Entry, Entry]
  readonly epochChanged: boolean
}

const IDLE: Entry = { applied: 0, lease: 0, askedAgo: -1, answer: -1 }

/** The initial state, in which the first owner may grant. */
export const INITIAL_STATE: ModelState = {
  owners: [
    { granted: 0, outstanding: [0, 0], epochLease: EPOCH_LEASE_TICKS, quarantine: 0 },
    { granted: 0, outstanding: [0, 0], epochLease: 0, quarantine: -1 }
  ],
  entries: [IDLE, IDLE],
  epochChanged: false
}

/** Whether the floor holds for the upstreams ejected at either entry. */
export function floorHolds (state: ModelState): boolean {
  const out = state.entries.reduce((bits, entry) => entry.lease > 0 ? bits | entry.applied : bits, 0)
  return countBits(out) <= MAXIMUM_EJECTED
}

/** All states reachable by one action. */
export function successors (state: ModelState, fault: SeededFault): ModelState[] {
  const next = [tick(state, fault)]
  if (!state.epochChanged) next.push(changeEpoch(state, fault))
  for (const owner of BOTH) next.push(...ownerActions(state, owner, fault))
  for (const entry of BOTH) next.push(...entryActions(state, entry, fault))
  return next
}

function tick (state: ModelState, fault: SeededFault): ModelState {
  const renewed = state.epochChanged ? 0 : EPOCH_LEASE_TICKS
  const [first, second] = state.owners
  const age = (owner: Owner, epochLease: number): Owner => ({
    ...owner,
    epochLease,
    outstanding: [Math.max(0, owner.outstanding[0] - 1), Math.max(0, owner.outstanding[1] - 1)],
    quarantine: owner.quarantine > 0 ? owner.quarantine - 1 : owner.quarantine
  })
  const firstLease = fault === SeededFault.EpochLeaseIgnored ? EPOCH_LEASE_TICKS : Math.max(renewed, first.epochLease - 1)
  const entries = state.entries.map((entry) => ({
    ...entry,
    lease: Math.max(0, entry.lease - 1),
    applied: entry.lease > 1 ? entry.applied : 0,
    askedAgo: entry.askedAgo < 0 ? -1 : Math.min(EJECTION_LEASE_TICKS, entry.askedAgo + 1)
  })) as unknown as ModelState['entries']
  return { ...state, entries, owners: [age(first, firstLease), age(second, state.epochChanged ? EPOCH_LEASE_TICKS : 0)] }
}

function changeEpoch (state: ModelState, fault: SeededFault): ModelState {
  const wait = EPOCH_LEASE_TICKS + (fault === SeededFault.NoQuarantine ? 0 : EJECTION_LEASE_TICKS)
  const second = { ...state.owners[1], quarantine: wait, epochLease: EPOCH_LEASE_TICKS }
  return { ...state, epochChanged: true, owners: [state.owners[0], second] }
}

function ownerActions (state: ModelState, place: 0 | 1, fault: SeededFault): ModelState[] {
  const owner = state.owners[place]
  if (owner.quarantine < 0) return []
  const restarted = { ...owner, granted: 0, outstanding: [0, 0] as const, quarantine: Math.max(owner.quarantine, EJECTION_LEASE_TICKS) }
  const next = [withOwner(state, place, restarted)]
  if (owner.quarantine > 0 || owner.epochLease <= 0) return next
  for (const upstream of UPSTREAMS) {
    const bit = 1 << upstream
    if ((owner.granted & bit) !== 0) next.push(withOwner(state, place, release(owner, upstream, fault)))
    else if (countBits(heldBits(owner) | bit) <= MAXIMUM_EJECTED) next.push(withOwner(state, place, { ...owner, granted: owner.granted | bit }))
  }
  return next
}

function release (owner: Owner, upstream: 0 | 1, fault: SeededFault): Owner {
  const kept = { ...owner, granted: owner.granted & ~(1 << upstream) }
  if (fault !== SeededFault.ReleaseForgets) return kept
  return { ...kept, outstanding: upstream === 0 ? [0, owner.outstanding[1]] : [owner.outstanding[0], 0] }
}

function entryActions (state: ModelState, place: 0 | 1, fault: SeededFault): ModelState[] {
  const entry = state.entries[place]
  if (entry.askedAgo < 0) return [withEntry(state, place, { ...entry, askedAgo: 0 })]
  const lost = withEntry(state, place, { ...entry, askedAgo: -1, answer: -1 })
  if (entry.answer >= 0) return [lost, withEntry(state, place, deliver(entry, fault))]
  return [lost, ...BOTH.flatMap((owner) => answerFrom(state, place, owner))]
}

function answerFrom (state: ModelState, place: 0 | 1, from: 0 | 1): ModelState[] {
  const owner = state.owners[from]
  if (owner.quarantine !== 0 || owner.epochLease <= 0) return []
  const lend = (upstream: 0 | 1): number => (owner.granted & (1 << upstream)) === 0 ? owner.outstanding[upstream] : EJECTION_LEASE_TICKS
  const lent = withOwner(state, from, { ...owner, outstanding: [lend(0), lend(1)] })
  return [withEntry(lent, place, { ...state.entries[place], answer: owner.granted })]
}

function deliver (entry: Entry, fault: SeededFault): Entry {
  const lease = fault === SeededFault.LeaseFromReceipt ? EJECTION_LEASE_TICKS : EJECTION_LEASE_TICKS - entry.askedAgo
  return { applied: lease > 0 ? entry.answer : 0, lease: Math.max(0, lease), askedAgo: -1, answer: -1 }
}

function heldBits (owner: Owner): number {
  return UPSTREAMS.reduce((bits: number, upstream) => owner.outstanding[upstream] > 0 ? bits | (1 << upstream) : bits, owner.granted)
}

function withOwner (state: ModelState, place: 0 | 1, owner: Owner): ModelState {
  return { ...state, owners: place === 0 ? [owner, state.owners[1]] : [state.owners[0], owner] }
}

function withEntry (state: ModelState, place: 0 | 1, entry: Entry): ModelState {
  return { ...state, entries: place === 0 ? [entry, state.entries[1]] : [state.entries[0], entry] }
}

function countBits (bits: number): number {
  return (bits & 1) + ((bits >> 1) & 1)
}
