import type { Issue } from '@hickoryspoke/runtime/failure'
import type { DesiredState, Route } from './desired-state.ts'

/** Finds duplicate items and references to undefined names. */
export function findReferenceIssues (state: DesiredState): Issue[] {
  return [
    ...findDuplicates('customers', state.customers, (customer) => customer.name),
    ...findDuplicates('keys', state.keys, (key) => key.digest),
    ...findDuplicates('pools', state.pools, (pool) => pool.name),
    ...findDuplicates('routes', expandMethods(state.routes), (route) => route.identity, (route) => route.index),
    ...findDanglingReferences('keys', 'customer', state.keys.map((key) => key.customer), state.customers.map((customer) => customer.name)),
    ...findDanglingReferences('routes', 'pool', state.routes.map((route) => route.pool), state.pools.map((pool) => pool.name))
  ]
}

interface RouteIdentity {
  readonly identity: string
  readonly index: number
}

function expandMethods (routes: readonly Route[]): RouteIdentity[] {
  return routes.flatMap((route, index) => {
    const methods = route.methods ?? ['any method']
    return methods.map((method) => ({ identity: `${method} ${route.host ?? ''}${route.path}`, index }))
  })
}

function findDuplicates<Item> (
  list: string,
  items: readonly Item[],
  identityOf: (item: Item) => string,
  indexOf: (item: Item, index: number) => number = (_item, index) => index
): Issue[] {
  const seen = new Set<string>()
  const issues: Issue[] = []
  items.forEach((item, index) => {
    const identity = identityOf(item)
    if (seen.has(identity)) issues.push({ code: 'duplicate', path: [list, indexOf(item, index)], message: `${identity} stands twice` })
    seen.add(identity)
  })
  return issues
}

function findDanglingReferences (list: string, field: string, references: readonly string[], names: readonly string[]): Issue[] {
  const known = new Set(names)
  return references.flatMap((reference, index) => known.has(reference)
    ? []
    : [{ code: 'dangling_reference', path: [list, index, field], message: `${reference} is not defined` }])
}
