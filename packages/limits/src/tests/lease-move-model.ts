/**
 * Model of how the lease on one slot moves among the three members of its lease group, with one share
 * of one token and no refill. Invariants: the token is used at most once, and two members never hold the
 * lease at the same time. Time is abstract: a lease may end at any moment, a promise only after its lease has ended.
 */
interface Vote { from: number, previous: number, unknown: boolean, report: number | null }
interface Lease { owner: number, phase: 'attempt' | 'held' | 'over', votes: Vote[] }
interface Member {
  promised: number
  previous: number
  unknown: boolean
  forgot: boolean
  awaits: number[]
  known: number
  used: number
  witness: { lease: number, complete: boolean, used: number }
}
interface Message { kind: 'grant' | 'sync', to: number, lease: number, used: number }
interface State { members: Member[], leases: Lease[], messages: Message[], uses: number, faults: number }

/** Faults that can be seeded into the model, to show that the exploration detects what the protocol prevents. */
export interface SeededFault {
  /** A restarted member votes immediately. */
  readonly noAbstention?: boolean
  /** A member forwards grants although it has promised the lease to another member since. */
  readonly passAfterVote?: boolean
  /** The holder answers the asker directly, without a witness. */
  readonly noWitness?: boolean
  /** A restarted member claims that it has promised nothing. */
  readonly denyForgetting?: boolean
  /** A new holder trusts records that were never synced. */
  readonly trustIncomplete?: boolean
}

/** Result of the exploration. */
export interface ModelOutcome { readonly states: number, readonly violated: boolean }

const MEMBERS = [0, 1, 2]
/** Maximum number of restarts and lost votes together. */
const MAXIMUM_FAULTS = 1
/** Leases in the initial state: index 0 stands for no lease, index 1 is held at the start. */
const FIRST_LEASES = 2
const MAXIMUM_MESSAGES = 1

/** Explores every state with at most `maxMoves` new leases and stops at the first that violates an invariant. */
export function exploreLeaseMoves (fault: SeededFault, maximumMoves: number): ModelOutcome {
  const start = JSON.stringify(initialState())
  const seen = new Set([start])
  for (const text of seen) {
    for (const next of successors(text, fault, maximumMoves)) {
      if (next.uses > 1 || heldLeases(next) > 1) return { states: seen.size, violated: true }
      seen.add(JSON.stringify(next))
    }
  }
  return { states: seen.size, violated: false }
}

function heldLeases (state: State): number {
  return state.leases.filter((lease) => lease.phase === 'held').length
}

function initialState (): State {
  const member = (): Member => ({
    promised: 1, previous: 0, unknown: false, forgot: false, awaits: [], known: 0, used: 1, witness: { lease: 0, complete: false, used: 0 }
  })
  const members = MEMBERS.map(member)
  Object.assign(members[0] as Member, { known: 1, used: 0 })
  const over: Lease = { owner: 0, phase: 'over', votes: [] }
  return { members, leases: [over, { owner: 0, phase: 'held', votes: [] }], messages: [], uses: 0, faults: 0 }
}

type Action = (state: State) => boolean

/** Yields every state reachable by one action; an action that returns false is not possible in this state. */
function * successors (text: string, fault: SeededFault, maximumMoves: number): Generator<State> {
  const plain = JSON.parse(text) as State
  for (const action of actionsOf(plain, fault, maximumMoves)) {
    const state = copyOf(plain)
    if (action(state)) yield state
  }
}

function copyOf (state: State): State {
  return {
    members: state.members.map((member) => ({ ...member, witness: { ...member.witness } })),
    leases: state.leases.map((lease) => ({ ...lease, votes: [...lease.votes] })),
    messages: [...state.messages],
    uses: state.uses,
    faults: state.faults
  }
}

function actionsOf (state: State, fault: SeededFault, maximumMoves: number): Action[] {
  const actions: Action[] = []
  for (const self of MEMBERS) {
    actions.push((next) => crash(next, self), (next) => attempt(next, self, fault, maximumMoves))
    for (const to of MEMBERS) if (to !== self) actions.push((next) => grant(next, self, to, fault), (next) => sync(next, self, to))
    state.leases.forEach((_, lease) => {
      actions.push((next) => vote(next, self, lease, true, fault), (next) => vote(next, self, lease, false, fault), (next) => adopt(next, self, lease, fault))
    })
  }
  state.leases.forEach((_, lease) => actions.push((next) => end(next, lease)))
  state.messages.forEach((_, place) => actions.push((next) => deliver(next, place, fault), (next) => next.messages.splice(place, 1).length > 0))
  return actions
}

function memberAt (state: State, place: number): Member {
  return state.members[place] as Member
}

function leaseAt (state: State, place: number): Lease {
  return state.leases[place] as Lease
}

function heldBy (state: State, self: number): number {
  return state.leases.findIndex((lease) => lease.owner === self && lease.phase === 'held')
}

function end (state: State, place: number): boolean {
  const lease = leaseAt(state, place)
  if (lease.phase === 'over') return false
  lease.phase = 'over'
  lease.votes = []
  return true
}

function crash (state: State, self: number): boolean {
  if (state.faults >= MAXIMUM_FAULTS) return false
  state.faults += 1
  state.leases.forEach((lease, place) => { if (lease.owner === self) end(state, place) })
  const awaits = state.leases.flatMap((lease, place) => lease.phase === 'over' ? [] : [place])
  const witness = { lease: 0, complete: false, used: 0 }
  state.members[self] = { promised: 0, previous: 0, unknown: true, forgot: true, awaits, known: 0, used: 1, witness }
  return true
}

/** A promise binds until its lease is over; a restarted member waits for every lease that it may have promised. */
function free (state: State, self: number, owner: number, fault: SeededFault): boolean {
  const member = memberAt(state, self)
  const abstains = fault.noAbstention !== true && member.awaits.some((place) => leaseAt(state, place).phase !== 'over')
  const promised = leaseAt(state, member.promised)
  return !abstains && (promised.phase === 'over' || promised.owner === owner)
}

function attempt (state: State, self: number, fault: SeededFault, maximumMoves: number): boolean {
  if (state.leases.length >= FIRST_LEASES + maximumMoves || heldBy(state, self) >= 0) return false
  if (!free(state, self, self, fault)) return false
  state.leases.forEach((lease, place) => { if (lease.owner === self) end(state, place) })
  state.leases.push({ owner: self, phase: 'attempt', votes: [] })
  return vote(state, self, state.leases.length - 1, true, fault)
}

/** A member promises the lease to an attempt; the answer arrives or is lost. */
function vote (state: State, self: number, place: number, arrives: boolean, fault: SeededFault): boolean {
  const lease = leaseAt(state, place)
  const member = memberAt(state, self)
  if (!arrives && ++state.faults > MAXIMUM_FAULTS) return false
  if (lease.phase !== 'attempt' || member.promised >= place || !free(state, self, lease.owner, fault)) return false
  const previous = member.promised
  const unknown = member.forgot && fault.denyForgetting !== true
  Object.assign(member, { promised: place, previous, unknown, forgot: false })
  if (!arrives) return true
  lease.votes.push({ from: self, previous, unknown, report: reportOf(member, previous, fault) })
  if (lease.votes.length === 2) acquire(state, place)
  return true
}

function reportOf (member: Member, previous: number, fault: SeededFault): number | null {
  if (previous === 0) return null
  if (member.known === previous) return member.used
  const { witness } = member
  if (fault.trustIncomplete === true) return witness.lease === previous ? witness.used : 0
  return witness.complete && witness.lease === previous ? witness.used : null
}

function acquire (state: State, place: number): void {
  const lease = leaseAt(state, place)
  const owner = memberAt(state, lease.owner)
  const sure = lease.votes.every((one) => !one.unknown)
  const unbroken = sure && owner.known !== 0 && lease.votes.every((one) => one.previous === 0 || one.previous === owner.known)
  const agreed = sure && lease.votes.every((one) => one.previous === lease.votes[0]?.previous && one.report !== null)
  if (!unbroken) owner.used = agreed ? Math.max(...lease.votes.map((one) => one.report ?? 1)) : 1
  owner.known = place
  lease.phase = 'held'
  lease.votes = []
}

/** A restarted member votes for a lease that its holder still renews. */
function adopt (state: State, self: number, place: number, fault: SeededFault): boolean {
  const member = memberAt(state, self)
  if (leaseAt(state, place).phase !== 'held' || member.promised !== 0 || !free(state, self, leaseAt(state, place).owner, fault)) return false
  Object.assign(member, { promised: place, unknown: false, forgot: false })
  return true
}

function grant (state: State, self: number, to: number, fault: SeededFault): boolean {
  const place = heldBy(state, self)
  const member = memberAt(state, self)
  if (place < 0 || member.used > 0 || state.messages.length >= MAXIMUM_MESSAGES) return false
  member.used = 1
  if (fault.noWitness === true) state.uses += 1
  else state.messages.push({ kind: 'grant', to, lease: place, used: 1 })
  return true
}

function sync (state: State, self: number, to: number): boolean {
  const place = heldBy(state, self)
  if (place < 0 || state.messages.length >= MAXIMUM_MESSAGES) return false
  state.messages.push({ kind: 'sync', to, lease: place, used: memberAt(state, self).used })
  return true
}

function deliver (state: State, place: number, fault: SeededFault): boolean {
  const [message] = state.messages.splice(place, 1) as [Message]
  const member = memberAt(state, message.to)
  const follows = member.promised === message.lease
  if (!follows && !(fault.passAfterVote === true && message.kind === 'grant')) return true
  if (follows && member.witness.lease !== message.lease) member.witness = { lease: message.lease, complete: false, used: 0 }
  if (follows) member.witness.used = Math.max(member.witness.used, message.used)
  if (follows && message.kind === 'sync') member.witness.complete = true
  if (message.kind === 'grant') state.uses += 1
  return true
}
