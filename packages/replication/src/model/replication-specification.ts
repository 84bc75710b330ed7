import { hash } from 'node:crypto'
import { type AcceptanceRules, type CommandName, COMMANDS, disputesNeedDecision, neverReverts } from './accepted-file.ts'
import type { Specification, Step } from './explorer.ts'

export interface ModelEntry {
  readonly term: number
  readonly command: CommandName
}

/** One modelled replica. A crash loses the part of `log` after `synced`, and all fields declared after `synced`. */
export interface ModelReplica {
  readonly term: number
  readonly votedFor: number
  readonly log: readonly ModelEntry[]
  readonly synced: number
  readonly up: boolean
  readonly role: 'follower' | 'candidate' | 'leader'
  readonly votes: readonly number[]
  /** Length of the log prefix known to match the leader of this term. */
  readonly verified: number
  readonly commit: number
  /** On a leader, the log length that each replica has acknowledged. */
  readonly matches: readonly number[]
}

/** State of the model: replicas, one-way link cuts, remaining budget of each bounded action, and everything ever committed or elected. */
export interface ModelState {
  readonly replicas: readonly ModelReplica[]
  readonly cuts: readonly string[]
  readonly remaining: Readonly<Record<BoundedAction, number>>
  readonly committed: readonly ModelEntry[]
  readonly leaders: Readonly<Record<number, readonly number[]>>
}

/** Actions whose number per run is bounded. */
type BoundedAction = 'campaign' | 'propose' | 'crash' | 'cut'

/** One action. `to` is the second replica, if any; `answered` is false if the answer is lost. */
export interface ModelAction {
  readonly kind: 'campaign' | 'vote' | 'propose' | 'append' | 'sync' | 'acknowledge' | 'crash' | 'restart' | 'cut' | 'heal'
  readonly at: number
  readonly to?: number
  readonly command?: CommandName
  readonly answered?: boolean
}

/** Size of the model, and protocol rules. Each rule can be turned off to check that the model checker detects its absence. */
export interface ModelSettings {
  readonly replicas: number
  readonly commands: readonly CommandName[]
  readonly bounds: Readonly<Record<BoundedAction, number>>
  /** Actions that lead from the initial state to the state where the exploration starts. */
  readonly prefix?: readonly ModelAction[]
  readonly rules: AcceptanceRules & {
    readonly syncBallot: boolean
    readonly syncBeforeAcknowledge: boolean
    readonly freshLogWins: boolean
    readonly commitOwnTermOnly: boolean
  }
}

/** All rules turned on. */
export const ALL_RULES: ModelSettings['rules'] = {
  refuseStale: true, holdDisputes: true, syncBallot: true, syncBeforeAcknowledge: true, freshLogWins: true, commitOwnTermOnly: true
}

type ModelStep = Step<ModelState, ModelAction>

/** The replication protocol as guarded actions. Timeouts, pre-vote and check-quorum are not modelled, because they only restrict the possible steps. */
export class ReplicationSpecification implements Specification<ModelState, ModelAction> {
  readonly invariants = {
    'one leader per term': (state: ModelState) => Object.values(state.leaders).every((leaders) => leaders.length <= 1),
    'committed never lost': keepsCommittedEntries,
    'accepted never reverts': (state: ModelState) => neverReverts(commandsOf(state.committed), this.settings.rules),
    'a disputed file is never in force undecided': (state: ModelState) => disputesNeedDecision(commandsOf(state.committed), this.settings.rules)
  }

  private constructor (private readonly settings: ModelSettings) {}

  static create (settings: ModelSettings): ReplicationSpecification {
    return new ReplicationSpecification(settings)
  }

  initial (): ModelState {
    const replica: ModelReplica = {
      term: 0, votedFor: -1, log: [], synced: 0, up: true, role: 'follower', votes: [], verified: 0, commit: 0, matches: []
    }
    const replicas = Array.from({ length: this.settings.replicas }, () => replica)
    const start: ModelState = { replicas, cuts: [], remaining: this.settings.bounds, committed: [], leaders: {} }
    return (this.settings.prefix ?? []).reduce((state, action) => this.follow(state, action), start)
  }

  /** Returns the state after an action. Throws if the action is not enabled. */
  private follow (state: ModelState, action: ModelAction): ModelState {
    const wanted = JSON.stringify(action)
    const step = this.steps(state).find((one) => JSON.stringify(one.action) === wanted)
    if (step === undefined) throw new RangeError(`action not enabled: ${wanted}`)
    return step.next
  }

  key (state: ModelState): string {
    return hash('sha1', JSON.stringify(state), 'base64')
  }

  steps (state: ModelState): ModelStep[] {
    const steps: ModelStep[] = []
    state.replicas.forEach((replica, at) => {
      steps.push(...this.stepsOfReplica(state, replica, at))
      state.replicas.forEach((other, to) => {
        if (to !== at) steps.push(...this.stepsOfPair(state, replica, at, other, to))
      })
    })
    return steps
  }

  private stepsOfReplica (state: ModelState, replica: ModelReplica, at: number): ModelStep[] {
    if (!replica.up) return [{ action: { kind: 'restart', at }, next: withReplica(state, at, { up: true }) }]
    const steps: ModelStep[] = []
    if (state.remaining.campaign > 0 && replica.role !== 'leader') steps.push({ action: { kind: 'campaign', at }, next: campaign(state, at) })
    if (replica.synced < replica.log.length) steps.push({ action: { kind: 'sync', at }, next: this.sync(state, at) })
    if (state.remaining.crash > 0) steps.push({ action: { kind: 'crash', at }, next: this.crash(state, at) })
    if (state.remaining.propose > 0 && replica.role === 'leader') {
      for (const command of this.settings.commands) steps.push({ action: { kind: 'propose', at, command }, next: propose(state, at, command) })
    }
    return steps
  }

  private stepsOfPair (state: ModelState, replica: ModelReplica, at: number, other: ModelReplica, to: number): ModelStep[] {
    const steps: ModelStep[] = []
    const link = `${at}>${to}`
    if (state.cuts.includes(link)) return [{ action: { kind: 'heal', at, to }, next: { ...state, cuts: state.cuts.filter((cut) => cut !== link) } }]
    if (state.remaining.cut > 0) steps.push({ action: { kind: 'cut', at, to }, next: { ...consumeBound(state, 'cut'), cuts: [...state.cuts, link].sort() } })
    if (!replica.up || !other.up) return steps
    const back = !state.cuts.includes(`${to}>${at}`)
    if (replica.role === 'candidate' && !replica.votes.includes(to)) {
      if (back) steps.push({ action: { kind: 'vote', at, to, answered: true }, next: this.vote(state, at, to, true) })
      if (other.term < replica.term) steps.push({ action: { kind: 'vote', at, to, answered: false }, next: this.vote(state, at, to, false) })
    }
    if (replica.role === 'leader' && (other.term <= replica.term || back)) {
      steps.push({ action: { kind: 'append', at, to }, next: append(state, at, to) })
    }
    if (other.role === 'leader' && replica.term === other.term && this.acknowledgeableLength(replica) > (other.matches[at] ?? 0)) {
      steps.push({ action: { kind: 'acknowledge', at, to }, next: this.acknowledge(state, at, to) })
    }
    return steps
  }

  private vote (state: ModelState, at: number, to: number, answered: boolean): ModelState {
    const candidate = state.replicas[at] as ModelReplica
    const other = state.replicas[to] as ModelReplica
    if (other.term > candidate.term) return answered ? withReplica(state, at, followerIn(other.term)) : state
    const voter = other.term < candidate.term ? { ...other, ...followerIn(candidate.term) } : other
    const mayVote = voter.votedFor === -1 ? this.isLogUpToDate(candidate, voter) : voter.votedFor === at
    const voted = withReplica(state, to, { ...voter, votedFor: mayVote ? at : voter.votedFor })
    if (!mayVote || !answered) return voted
    const votes = [...candidate.votes, to].sort()
    const isElected = votes.length > state.replicas.length / 2
    return isElected ? becomeLeader(voted, at, votes) : withReplica(voted, at, { votes })
  }

  private isLogUpToDate (candidate: ModelReplica, voter: ModelReplica): boolean {
    if (!this.settings.rules.freshLogWins) return true
    const own = voter.log.at(-1)?.term ?? 0
    const asked = candidate.log.at(-1)?.term ?? 0
    return asked === own ? candidate.log.length >= voter.log.length : asked > own
  }

  private sync (state: ModelState, at: number): ModelState {
    const replica = state.replicas[at] as ModelReplica
    return this.advanceCommit(withReplica(state, at, { synced: replica.log.length }), at)
  }

  private crash (state: ModelState, at: number): ModelState {
    const replica = state.replicas[at] as ModelReplica
    const ballot = this.settings.rules.syncBallot ? {} : { term: replica.log[replica.synced - 1]?.term ?? 0, votedFor: -1 }
    const kept = replica.log.slice(0, replica.synced)
    const lost = { up: false, log: kept, role: 'follower', votes: [], verified: 0, commit: 0, matches: [] } as const
    return withReplica(consumeBound(state, 'crash'), at, { ...lost, ...ballot })
  }

  private acknowledgeableLength (replica: ModelReplica): number {
    return this.settings.rules.syncBeforeAcknowledge ? Math.min(replica.synced, replica.verified) : replica.verified
  }

  private acknowledge (state: ModelState, at: number, to: number): ModelState {
    const leader = state.replicas[to] as ModelReplica
    const matches = leader.matches.map((match, index) => index === at ? this.acknowledgeableLength(state.replicas[at] as ModelReplica) : match)
    return this.advanceCommit(withReplica(state, to, { matches }), to)
  }

  private advanceCommit (state: ModelState, at: number): ModelState {
    const leader = state.replicas[at] as ModelReplica
    if (leader.role !== 'leader') return state
    const reached = leader.matches.map((match, index) => index === at ? leader.synced : match).sort((left, right) => right - left)
    const commit = reached[Math.floor(reached.length / 2)] ?? 0
    const ownTerm = leader.log[commit - 1]?.term === leader.term || !this.settings.rules.commitOwnTermOnly
    if (commit <= leader.commit || !ownTerm) return state
    const committed = commit > state.committed.length ? [...state.committed, ...leader.log.slice(state.committed.length, commit)] : state.committed
    return { ...withReplica(state, at, { commit }), committed }
  }
}

function withReplica (state: ModelState, at: number, change: Partial<ModelReplica>): ModelState {
  return { ...state, replicas: state.replicas.map((replica, index) => index === at ? { ...replica, ...change } : replica) }
}

function consumeBound (state: ModelState, kind: BoundedAction): ModelState {
  return { ...state, remaining: { ...state.remaining, [kind]: state.remaining[kind] - 1 } }
}

function followerIn (term: number): Partial<ModelReplica> {
  return { term, votedFor: -1, role: 'follower', votes: [], verified: 0, matches: [] }
}

function campaign (state: ModelState, at: number): ModelState {
  const term = (state.replicas[at] as ModelReplica).term + 1
  return withReplica(consumeBound(state, 'campaign'), at, { ...followerIn(term), votedFor: at, role: 'candidate', votes: [at] })
}

function becomeLeader (state: ModelState, at: number, votes: readonly number[]): ModelState {
  const { term, log } = state.replicas[at] as ModelReplica
  const leaders = { ...state.leaders, [term]: [...new Set([...state.leaders[term] ?? [], at])].sort() }
  const matches = state.replicas.map(() => 0)
  return { ...withReplica(state, at, { role: 'leader', votes, matches, log: [...log, { term, command: 'start' }] }), leaders }
}

function propose (state: ModelState, at: number, command: CommandName): ModelState {
  const { term, log } = state.replicas[at] as ModelReplica
  return withReplica(consumeBound(state, 'propose'), at, { log: [...log, { term, command }] })
}

function append (state: ModelState, at: number, to: number): ModelState {
  const leader = state.replicas[at] as ModelReplica
  const other = state.replicas[to] as ModelReplica
  if (other.term > leader.term) return withReplica(state, at, followerIn(other.term))
  const same = commonPrefixLength(leader.log, other.log)
  const isPrefix = same === leader.log.length
  const follower = other.term < leader.term ? followerIn(leader.term) : { role: 'follower', votes: [] } as const
  return withReplica(state, to, {
    ...follower,
    log: isPrefix ? other.log : leader.log,
    synced: isPrefix ? other.synced : Math.min(other.synced, same),
    verified: leader.log.length,
    commit: Math.max(other.commit, leader.commit)
  })
}

function commonPrefixLength (left: readonly ModelEntry[], right: readonly ModelEntry[]): number {
  const differs = left.findIndex((entry, at) => right[at]?.term !== entry.term)
  return differs === -1 ? left.length : differs
}

function keepsCommittedEntries (state: ModelState): boolean {
  const newest = Math.max(0, ...Object.keys(state.leaders).map(Number))
  return state.replicas.every((replica) => {
    const needed = replica.role === 'leader' && replica.term === newest ? state.committed.length : replica.commit
    return state.committed.slice(0, needed).every((entry, at) => replica.log[at]?.term === entry.term && replica.log[at]?.command === entry.command)
  })
}

function commandsOf (entries: readonly ModelEntry[]): CommandName[] {
  return entries.map((entry) => entry.command).filter((name) => COMMANDS[name].kind !== 'start')
}
