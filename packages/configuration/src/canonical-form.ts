import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import type { DesiredState } from './desired-state.ts'

/** Number and digest: what tells one desired-state file from another. */
export interface FileIdentity {
  readonly number: number
  readonly digest: string
}

/** JSON with sorted names, so that equal values give equal text. */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_name, part: unknown) => isPlainObject(part) ? sortNames(part) : part)
}

/** The canonical text of a desired state; order of customers, keys and pools does not matter. */
export function canonicalForm (state: DesiredState): string {
  return canonicalJson({
    ...state,
    customers: sortBy(state.customers, (customer) => customer.name),
    keys: sortBy(state.keys, (key) => key.digest),
    pools: sortBy(state.pools, (pool) => pool.name)
  })
}

/** Identity of a desired state. `based_on` is a condition on the change and no part of the content. */
export function identityOf (state: DesiredState): FileIdentity {
  const { based_on: _condition, ...content } = state
  return { number: state.number, digest: sha256Digest(canonicalForm(content)) }
}

function isPlainObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function sortNames (value: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1))
}

function sortBy<Item> (items: readonly Item[], nameOf: (item: Item) => string): Item[] {
  return [...items].sort((left, right) => nameOf(left) < nameOf(right) ? -1 : 1)
}
