import { type Bounds, explore, type Exploration } from './explorer.ts'
import { ALL_RULES, type ModelAction, type ModelSettings, ReplicationSpecification } from './replication-specification.ts'

/** One exploration with its bounds. `omittedRule` is turned off, which must violate the invariant `expectedViolation`. */
export interface ModelRun {
  readonly label: string
  readonly settings: ModelSettings
  readonly bounds: Bounds
  readonly omittedRule?: keyof ModelSettings['rules']
  readonly expectedViolation?: string
}

const ELECTIONS: ModelSettings = {
  replicas: 3, commands: ['fileOne'], bounds: { campaign: 2, propose: 1, crash: 1, cut: 0 }, rules: ALL_RULES
}
const FILES: ModelSettings = {
  replicas: 3, commands: ['fileOne', 'fileOneOther', 'fileTwo', 'decideOther'], bounds: { campaign: 1, propose: 3, crash: 0, cut: 0 }, rules: ALL_RULES
}
const CUTS: ModelSettings = { ...ELECTIONS, bounds: { campaign: 2, propose: 1, crash: 1, cut: 1 } }

/** Starts where replica 0 holds a synced entry of term 1, replica 2 has led term 2, and replica 0 has just been elected in term 3. */
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

/** Exhaustive runs to a small depth, for the tests. */
export const SHORT_RUNS: readonly ModelRun[] = [
  { label: 'two elections, one change, one crash', settings: ELECTIONS, bounds: { depth: 8, states: 200_000 } },
  { label: 'one election, three files or decisions', settings: FILES, bounds: { depth: 7, states: 200_000 } },
  { label: 'two elections, one crash, one one-way cut', settings: CUTS, bounds: { depth: 5, states: 200_000 } }
]

/** Runs with one rule turned off, each with the invariant that must be violated. */
export const SEEDED_FAULTS: readonly ModelRun[] = [
  withoutRule('syncBallot', 'one leader per term', ELECTIONS, 10),
  withoutRule('syncBeforeAcknowledge', 'committed never lost', ELECTIONS, 12),
  withoutRule('freshLogWins', 'committed never lost', ELECTIONS, 12),
  withoutRule('commitOwnTermOnly', 'committed never lost', OLD_TERMS, 12),
  withoutRule('refuseStale', 'accepted never reverts', FILES, 12),
  withoutRule('holdDisputes', 'a disputed file is never in force undecided', FILES, 12)
]

/** Long runs for `npm run model`. The tests only take random walks with these settings. */
export const LONG_RUNS: readonly ModelRun[] = [
  { label: 'two elections, one change, one crash', settings: ELECTIONS, bounds: { depth: 40, states: 2_000_000 } },
  { label: 'one election, three files or decisions', settings: FILES, bounds: { depth: 40, states: 2_000_000 } },
  { label: 'two elections, one crash, one one-way cut', settings: CUTS, bounds: { depth: 40, states: 1_500_000 } },
  { label: 'five elections, one crash, after an entry of an earlier term', settings: OLD_TERMS, bounds: { depth: 40, states: 1_500_000 } }
]

function withoutRule (omittedRule: keyof ModelSettings['rules'], expectedViolation: string, settings: ModelSettings, depth: number): ModelRun {
  const rules = { ...settings.rules, [omittedRule]: false }
  return { label: `without ${omittedRule}`, settings: { ...settings, rules }, bounds: { depth, states: 1_500_000 }, omittedRule, expectedViolation }
}

export function runModel (run: ModelRun): Exploration<ModelAction> {
  return explore(ReplicationSpecification.create(run.settings), run.bounds)
}

/** Formats an action on one line. */
export function describeAction (action: ModelAction): string {
  const partner = action.to === undefined ? '' : ` ${action.to}`
  const extra = action.command ?? (action.answered === false ? 'answer lost' : '')
  return `${action.kind} ${action.at}${partner} ${extra}`.trim()
}
