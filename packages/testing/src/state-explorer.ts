/** A small specification: states, and the actions that are possible in each. */
export interface Specification<State> {
  readonly initial: State
  /** Every action that may happen next, with the state it leads to. */
  next (state: State): readonly { readonly action: string, readonly state: State }[]
  /** What must hold in every state; a text says what is broken. */
  check (state: State): string | undefined
}

/** What an exploration came to. `trace` leads from the initial state to a broken one. */
export interface Exploration {
  readonly states: number
  readonly isExhaustive: boolean
  readonly broken: string | undefined
  readonly trace: readonly string[]
}

interface Visit {
  readonly parent: string | undefined
  readonly action: string
}

/** Visits every reachable state, nearest first, until one is broken or the bound is reached. */
export function explore<State> (specification: Specification<State>, maximumStates: number): Exploration {
  const first = JSON.stringify(specification.initial)
  const visits = new Map<string, Visit>([[first, { parent: undefined, action: '' }]])
  for (const key of visits.keys()) {
    const state = JSON.parse(key) as State
    const broken = specification.check(state)
    if (broken !== undefined) return { states: visits.size, isExhaustive: false, broken, trace: traceOf(visits, key) }
    if (visits.size >= maximumStates) return { states: visits.size, isExhaustive: false, broken: undefined, trace: [] }
    for (const step of specification.next(state)) {
      const reached = JSON.stringify(step.state)
      if (!visits.has(reached)) visits.set(reached, { parent: key, action: step.action })
    }
  }
  return { states: visits.size, isExhaustive: true, broken: undefined, trace: [] }
}

function traceOf (visits: ReadonlyMap<string, Visit>, last: string): string[] {
  const trace: string[] = []
  for (let visit = visits.get(last); visit?.parent !== undefined; visit = visits.get(visit.parent)) trace.unshift(visit.action)
  return trace
}
