import { type Bounds, explore, type Exploration } from './explorer.ts'
import { ALL_RULES, type ModelAction, type ModelSettings, ReplicationSpecification } from './replication-specification.ts'

/** One exploration with its bounds; `leftOut` names the rule without which the invariant should break. */
export interface ModelRun {
  readonly label: string
  readonly settings: ModelSettings
  readonly bounds: Bounds
  readonly leftOut?: keyof ModelSettings['rules']
  readonly breaks?: string
}

const ELECTIONS: ModelSettings = {
  replicas: 3, commands: ['fileOne'], bounds: { campaign: 2, propose: 1, crash: 1, cut: 0 }, rules: ALL_RULES
}
const FILES: ModelSettings = {
  replicas: 3, commands: ['fileOne', 'fileOneOther', 'fileTwo', 'decideOther'], bounds: { campaign: 1, propose: 3, crash: 0, cut: 0 }, rules: ALL_RULES
}
const CUTS: ModelSettings = { ...ELECTIONS, bounds: { campaign: 2, propose: 1, crash: 1, cut: 1 } }

/** Replica 0 holds a synced entry of term 1, replica 2 led term 2, and replica 0 has just won term 3. */
const OLD_TERMS: ModelSettings = {
  ...ELECTIONS,
  bounds: { campaign: 5, propose: 0, crash: 1, cut: 0 },
  prefix: [
    { kind: 'campaign', at: 0 },
    { kind: 'vote', at: 0, to: 1, answered: true },
    { kind: 'sync', at: 0 },
    { kind: 'campaign', at: 2 },
    { kind: 'campaign', at: 2 },
    { kind: 'vote', at: 2, to: 1, answered: true },
    { kind: 'append', at: 0, to: 1 },
    { kind: 'campaign', at: 0 },
    { kind: 'vote', at: 0, to: 1, answered: true }
  ]
}

/** Short runs: everything within a small depth. */
export const SHORT_RUNS: readonly ModelRun[] = [
  { label: 'two elections, one change, one crash', settings: ELECTIONS, bounds: { depth: 8, states: 200_000 } },
  { label: 'one election, three files or decisions', settings: FILES, bounds: { depth: 7, states: 200_000 } },
  { label: 'two elections, one crash, one one-way cut', settings: CUTS, bounds: { depth: 5, states: 200_000 } }
]

/** Each leaves out one rule and names the invariant that breaks. */
export const SEEDED_FAULTS: readonly ModelRun[] = [
  seeded('syncBallot', 'one leader per term', ELECTIONS, 10),
  seeded('syncBeforeAcknowledge', 'committed never lost', ELECTIONS, 12),
  seeded('freshLogWins', 'committed never lost', ELECTIONS, 12),
  seeded('commitOwnTermOnly', 'committed never lost', OLD_TERMS, 12),
  seeded('refuseStale', 'accepted never reverts', FILES, 12),
  seeded('holdDisputes', 'a dispute never takes force undecided', FILES, 12)
]

/** Long runs, for a developer's machine. */
export const LONG_RUNS: readonly ModelRun[] = [
  { label: 'two elections, one change, one crash', settings: ELECTIONS, bounds: { depth: 40, states: 2_000_000 } },
  { label: 'one election, three files or decisions', settings: FILES, bounds: { depth: 40, states: 2_000_000 } },
  { label: 'two elections, one crash, one one-way cut', settings: CUTS, bounds: { depth: 40, states: 1_500_000 } },
  { label: 'five elections, one crash, after an entry of an earlier term', settings: OLD_TERMS, bounds: { depth: 40, states: 1_500_000 } }
]

function seeded (leftOut: keyof ModelSettings['rules'], breaks: string, settings: ModelSettings, depth: number): ModelRun {
  const rules = { ...settings.rules, [leftOut]: false }
  return { label: `without ${leftOut}`, settings: { ...settings, rules }, bounds: { depth, states: 1_500_000 }, leftOut, breaks }
}

/** Runs one exploration. */
export function runModel (run: ModelRun): Exploration<ModelAction> {
  return explore(ReplicationSpecification.create(run.settings), run.bounds)
}

/** An action on one line. */
export function describeAction (action: ModelAction): string {
  const partner = action.to === undefined ? '' : ` ${action.to}`
  const extra = action.command ?? (action.answered === false ? 'answer lost' : '')
  return `${action.kind} ${action.at}${partner} ${extra}`.trim()
}
