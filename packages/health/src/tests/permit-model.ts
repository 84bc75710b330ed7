/**
 * A small specification of the permit to eject: two homes of successive epochs, two entries, two upstreams of one slot,
 * and a floor that allows one of them out of service. Time runs in ticks. Explored exhaustively, breadth first.
 */

/** Parts of the protocol that can be left out, to show that the exploration finds what they prevent. */
export const Flaw = {
  None: 'none',
  NoQuarantine: 'no_quarantine',
  LeaseFromReceipt: 'lease_from_receipt',
  ReleaseForgets: 'release_forgets',
  EpochLeaseIgnored: 'epoch_lease_ignored'
} as const
export type Flaw = typeof Flaw[keyof typeof Flaw]

const EJECTION_LEASE_TICKS = 2
const EPOCH_LEASE_TICKS = 1
const UPSTREAMS = [0, 1] as const
const BOTH = [0, 1] as const
const ALLOWED_OUT = 1

interface Home {
  /** Granted upstreams as bits. */
  readonly granted: number
  /** Ticks for which some entry may still apply a grant, for each upstream. */
  readonly outstanding: readonly [number, number]
  /** Ticks of the epoch lease that are left. */
  readonly epochLease: number
  /** Ticks until it may grant; -1 while its epoch has not begun. */
  readonly quarantine: number
}

interface Entry {
  readonly applied: number
  readonly lease: number
  /** Ticks since the question under way was stamped; -1 for none. */
  readonly askedAgo: number
  /** The answer under way: granted bits, or -1 for none. */
  readonly answer: number
}

/** One state of the whole system. */
export interface PermitState {
  readonly homes: readonly [Home, Home]
  readonly entries: readonly [Entry, Entry]
  readonly epochChanged: boolean
}

const IDLE: Entry = { applied: 0, lease: 0, askedAgo: -1, answer: -1 }

/** The state in which the first home is settled. */
export const INITIAL_STATE: PermitState = {
  homes: [
    { granted: 0, outstanding: [0, 0], epochLease: EPOCH_LEASE_TICKS, quarantine: 0 },
    { granted: 0, outstanding: [0, 0], epochLease: 0, quarantine: -1 }
  ],
  entries: [IDLE, IDLE],
  epochChanged: false
}

/** Whether the floor holds over both entries together. */
export function floorHolds (state: PermitState): boolean {
  const out = state.entries.reduce((bits, entry) => entry.lease > 0 ? bits | entry.applied : bits, 0)
  return countBits(out) <= ALLOWED_OUT
}

/** Every state that one action leads to. */
export function successors (state: PermitState, flaw: Flaw): PermitState[] {
  const next = [tick(state, flaw)]
  if (!state.epochChanged) next.push(changeEpoch(state, flaw))
  for (const home of BOTH) next.push(...homeActions(state, home, flaw))
  for (const entry of BOTH) next.push(...entryActions(state, entry, flaw))
  return next
}

function tick (state: PermitState, flaw: Flaw): PermitState {
  const renewed = state.epochChanged ? 0 : EPOCH_LEASE_TICKS
  const [first, second] = state.homes
  const age = (home: Home, epochLease: number): Home => ({
    ...home,
    epochLease,
    outstanding: [Math.max(0, home.outstanding[0] - 1), Math.max(0, home.outstanding[1] - 1)],
    quarantine: home.quarantine > 0 ? home.quarantine - 1 : home.quarantine
  })
  const firstLease = flaw === Flaw.EpochLeaseIgnored ? EPOCH_LEASE_TICKS : Math.max(renewed, first.epochLease - 1)
  const entries = state.entries.map((entry) => ({
    ...entry,
    lease: Math.max(0, entry.lease - 1),
    applied: entry.lease > 1 ? entry.applied : 0,
    askedAgo: entry.askedAgo < 0 ? -1 : Math.min(EJECTION_LEASE_TICKS, entry.askedAgo + 1)
  })) as unknown as PermitState['entries']
  return { ...state, entries, homes: [age(first, firstLease), age(second, state.epochChanged ? EPOCH_LEASE_TICKS : 0)] }
}

function changeEpoch (state: PermitState, flaw: Flaw): PermitState {
  const wait = EPOCH_LEASE_TICKS + (flaw === Flaw.NoQuarantine ? 0 : EJECTION_LEASE_TICKS)
  const second = { ...state.homes[1], quarantine: wait, epochLease: EPOCH_LEASE_TICKS }
  return { ...state, epochChanged: true, homes: [state.homes[0], second] }
}

function homeActions (state: PermitState, place: 0 | 1, flaw: Flaw): PermitState[] {
  const home = state.homes[place]
  if (home.quarantine < 0) return []
  const restarted = { ...home, granted: 0, outstanding: [0, 0] as const, quarantine: Math.max(home.quarantine, EJECTION_LEASE_TICKS) }
  const next = [withHome(state, place, restarted)]
  if (home.quarantine > 0 || home.epochLease <= 0) return next
  for (const upstream of UPSTREAMS) {
    const bit = 1 << upstream
    if ((home.granted & bit) !== 0) next.push(withHome(state, place, release(home, upstream, flaw)))
    else if (countBits(heldBits(home) | bit) <= ALLOWED_OUT) next.push(withHome(state, place, { ...home, granted: home.granted | bit }))
  }
  return next
}

function release (home: Home, upstream: 0 | 1, flaw: Flaw): Home {
  const kept = { ...home, granted: home.granted & ~(1 << upstream) }
  if (flaw !== Flaw.ReleaseForgets) return kept
  return { ...kept, outstanding: upstream === 0 ? [0, home.outstanding[1]] : [home.outstanding[0], 0] }
}

function entryActions (state: PermitState, place: 0 | 1, flaw: Flaw): PermitState[] {
  const entry = state.entries[place]
  if (entry.askedAgo < 0) return [withEntry(state, place, { ...entry, askedAgo: 0 })]
  const lost = withEntry(state, place, { ...entry, askedAgo: -1, answer: -1 })
  if (entry.answer >= 0) return [lost, withEntry(state, place, deliver(entry, flaw))]
  return [lost, ...BOTH.flatMap((home) => answerFrom(state, place, home))]
}

function answerFrom (state: PermitState, place: 0 | 1, from: 0 | 1): PermitState[] {
  const home = state.homes[from]
  if (home.quarantine !== 0 || home.epochLease <= 0) return []
  const lend = (upstream: 0 | 1): number => (home.granted & (1 << upstream)) === 0 ? home.outstanding[upstream] : EJECTION_LEASE_TICKS
  const lent = withHome(state, from, { ...home, outstanding: [lend(0), lend(1)] })
  return [withEntry(lent, place, { ...state.entries[place], answer: home.granted })]
}

function deliver (entry: Entry, flaw: Flaw): Entry {
  const lease = flaw === Flaw.LeaseFromReceipt ? EJECTION_LEASE_TICKS : EJECTION_LEASE_TICKS - entry.askedAgo
  return { applied: lease > 0 ? entry.answer : 0, lease: Math.max(0, lease), askedAgo: -1, answer: -1 }
}

function heldBits (home: Home): number {
  return UPSTREAMS.reduce((bits: number, upstream) => home.outstanding[upstream] > 0 ? bits | (1 << upstream) : bits, home.granted)
}

function withHome (state: PermitState, place: 0 | 1, home: Home): PermitState {
  return { ...state, homes: place === 0 ? [home, state.homes[1]] : [state.homes[0], home] }
}

function withEntry (state: PermitState, place: 0 | 1, entry: Entry): PermitState {
  return { ...state, entries: place === 0 ? [entry, state.entries[1]] : [state.entries[0], entry] }
}

function countBits (bits: number): number {
  return (bits & 1) + ((bits >> 1) & 1)
}
