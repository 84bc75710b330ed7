/** State machine to be model-checked: an initial state, its transitions and an invariant. */
export interface Specification<State> {
  readonly initial: State
  /** Returns every action that is possible in a state, with the state it leads to. */
  next (state: State): readonly { readonly action: string, readonly state: State }[]
  /** Checks the invariant. Returns a description of the violation, or undefined when the invariant holds. */
  check (state: State): string | undefined
}

/** Result of an exploration. `trace` lists the actions from the initial state to the one that violates the invariant. */
export interface ExplorationResult {
  readonly states: number
  readonly isExhaustive: boolean
  readonly broken: string | undefined
  readonly trace: readonly string[]
}

interface Visit {
  readonly parent: string | undefined
  readonly action: string
}

/** Explores the reachable states breadth-first until one violates the invariant or `maximumStates` are known. States must be JSON-serializable. */
export function explore<State> (specification: Specification<State>, maximumStates: number): ExplorationResult {
  const first = JSON.stringify(specification.initial)
  const visits = new Map<string, Visit>([[first, { parent: undefined, action: '' }]])
  for (const key of visits.keys()) {
    const state = JSON.parse(key) as State
    const broken = specification.check(state)
    if (broken !== undefined) return { states: visits.size, isExhaustive: false, broken, trace: traceTo(visits, key) }
    if (visits.size >= maximumStates) return { states: visits.size, isExhaustive: false, broken: undefined, trace: [] }
    for (const step of specification.next(state)) {
      const reached = JSON.stringify(step.state)
      if (!visits.has(reached)) visits.set(reached, { parent: key, action: step.action })
    }
  }
  return { states: visits.size, isExhaustive: true, broken: undefined, trace: [] }
}

function traceTo (visits: ReadonlyMap<string, Visit>, last: string): string[] {
  const trace: string[] = []
  for (let visit = visits.get(last); visit?.parent !== undefined; visit = visits.get(visit.parent)) trace.unshift(visit.action)
  return trace
}
