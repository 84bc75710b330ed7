import { type RandomSource, pickOne } from '@hickoryspoke/runtime/random'

/** An action that is enabled in a state, and the state it leads to. */
export interface Step<State, Action> {
  readonly action: Action
  readonly next: State
}

/** A transition system with invariants. `key` returns the same string for equal states. */
export interface Specification<State, Action> {
  initial (): State
  steps (state: State): Step<State, Action>[]
  key (state: State): string
  readonly invariants: Readonly<Record<string, (state: State) => boolean>>
}

/** Limits of an exploration: search depth and number of states. */
export interface Bounds {
  readonly depth: number
  readonly states: number
}

/** A violated invariant, with a shortest trace to a state that violates it. */
export interface Violation<Action> {
  readonly invariant: string
  readonly trace: readonly Action[]
}

/** Result of an exploration. */
export interface Exploration<Action> {
  readonly states: number
  readonly transitions: number
  readonly depth: number
  /** Whether every state within the depth was visited: false if the state limit or a violation ended the run. */
  readonly exhaustive: boolean
  readonly violation: Violation<Action> | undefined
}

/** Search tree: the parent of each visited state and the action that led from there. */
class SearchTree<Action> {
  private readonly parents: number[] = []
  private readonly actions: (Action | undefined)[] = []

  add (parent: number, action: Action | undefined): number {
    this.parents.push(parent)
    this.actions.push(action)
    return this.parents.length - 1
  }

  traceTo (state: number): Action[] {
    const trace: Action[] = []
    for (let at = state; this.actions[at] !== undefined; at = this.parents[at] as number) trace.push(this.actions[at] as Action)
    return trace.reverse()
  }
}

/** Visits the reachable states breadth-first, until an invariant is violated or a limit is reached. */
export function explore<State, Action> (specification: Specification<State, Action>, bounds: Bounds): Exploration<Action> {
  const tree = new SearchTree<Action>()
  const initial = specification.initial()
  const seen = new Set([specification.key(initial)])
  let frontier = [{ state: initial, number: tree.add(-1, undefined) }]
  let transitions = 0
  let depth = 0
  for (; frontier.length > 0 && depth < bounds.depth; depth += 1) {
    const following: typeof frontier = []
    for (const { state, number } of frontier) {
      for (const { action, next } of specification.steps(state)) {
        transitions += 1
        const key = specification.key(next)
        if (seen.has(key)) continue
        seen.add(key)
        const added = tree.add(number, action)
        const invariant = violatedInvariant(specification, next)
        const counts = { states: seen.size, transitions, depth: depth + 1 }
        if (invariant !== undefined) return { ...counts, exhaustive: false, violation: { invariant, trace: tree.traceTo(added) } }
        if (seen.size >= bounds.states) return { ...counts, exhaustive: false, violation: undefined }
        following.push({ state: next, number: added })
      }
    }
    frontier = following
  }
  return { states: seen.size, transitions, depth, exhaustive: true, violation: undefined }
}

function violatedInvariant<State, Action> (specification: Specification<State, Action>, state: State): string | undefined {
  return Object.entries(specification.invariants).find(([, holds]) => !holds(state))?.[0]
}

/** Takes up to `length` random steps and checks the invariants after each. Steps that do not change the state are skipped. */
export function randomWalk<State, Action> (specification: Specification<State, Action>, random: RandomSource, length: number): {
  readonly steps: readonly Step<State, Action>[]
  readonly broken: string | undefined
} {
  const steps: Step<State, Action>[] = []
  let state = specification.initial()
  while (steps.length < length) {
    const here = specification.key(state)
    const possible = specification.steps(state).filter((step) => specification.key(step.next) !== here)
    if (possible.length === 0) break
    const step = pickOne(random, possible)
    steps.push(step)
    state = step.next
    const broken = violatedInvariant(specification, state)
    if (broken !== undefined) return { steps, broken }
  }
  return { steps, broken: undefined }
}
