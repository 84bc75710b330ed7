import type { Customer, CustomerKey, Pool, Route } from './desired-state.ts'
import type { IdentifiedState } from './identified-state.ts'
import type { SectionDifference } from './section-index.ts'
import { itemName, SECTION_NAMES } from './sections.ts'

/** The changes that turn one desired state into another; items are identified by name. */
export interface StateDifference {
  /** Number of the resulting state. */
  readonly number: number
  readonly customers: SectionDifference<Customer>
  readonly keys: SectionDifference<CustomerKey>
  readonly pools: SectionDifference<Pool>
  readonly routes: SectionDifference<Route>
}

/** Names that a difference adds, changes and removes in one section. Long lists are truncated. */
export interface SectionSummary {
  readonly added: readonly string[]
  readonly changed: readonly string[]
  readonly removed: readonly string[]
  /** Number of names omitted from the three lists. */
  readonly more: number
}

/** Human-readable summary of a difference. Sections without changes are omitted. */
export type DifferenceSummary = Partial<Record<keyof Omit<StateDifference, 'number'>, SectionSummary>>

/** Longest list of names in a summary. */
const MAXIMUM_SUMMARY_NAMES = 20

/** Characters of a key digest that a summary shows. */
const KEY_DIGEST_CHARACTERS = 'sha256:'.length + 12

/** Computes the difference that turns `before` into `after`. */
export function differenceBetween (before: IdentifiedState, after: IdentifiedState): StateDifference {
  return {
    number: after.identity.number,
    customers: before.sections.customers.differenceTo(after.sections.customers),
    keys: before.sections.keys.differenceTo(after.sections.keys),
    pools: before.sections.pools.differenceTo(after.sections.pools),
    routes: before.sections.routes.differenceTo(after.sections.routes)
  }
}

/**
 * Whether a difference withdraws access: it removes or reassigns a key, removes a customer or a route,
 * or requires a key on a route that was open.
 */
export function withdrawsAccess (before: IdentifiedState, difference: StateDifference): boolean {
  return difference.keys.remove.length > 0 ||
    difference.customers.remove.length > 0 ||
    difference.routes.remove.length > 0 ||
    difference.keys.put.some((key) => before.sections.keys.get(key.digest) !== undefined) ||
    difference.routes.put.some((route) => closesRoute(before, route))
}

/** Summarizes a difference by item name. Keys are shown as the first characters of their digest. */
export function summarizeDifference (before: IdentifiedState, difference: StateDifference): DifferenceSummary {
  const summary: DifferenceSummary = {}
  for (const section of SECTION_NAMES) {
    const { put, remove } = difference[section]
    if (put.length + remove.length > 0) summary[section] = summarizeSection(before, section, put, remove)
  }
  return summary
}

function summarizeSection (
  before: IdentifiedState,
  section: keyof DifferenceSummary,
  put: readonly object[],
  remove: readonly string[]
): SectionSummary {
  const names = put.map((item) => itemName(section, item as never))
  const isKnown = (name: string): boolean => before.sections[section].get(name) !== undefined
  const lists = [names.filter((name) => !isKnown(name)), names.filter(isKnown), [...remove]]
  const [added = [], changed = [], removed = []] = lists.map((list) => list.slice(0, MAXIMUM_SUMMARY_NAMES).map(shortenKeyDigest))
  const more = lists.reduce((sum, list) => sum + Math.max(0, list.length - MAXIMUM_SUMMARY_NAMES), 0)
  return { added, changed, removed, more }
}

function shortenKeyDigest (name: string): string {
  return name.startsWith('sha256:') ? name.slice(0, KEY_DIGEST_CHARACTERS) : name
}

function closesRoute (before: IdentifiedState, route: Route): boolean {
  return before.sections.routes.get(itemName('routes', route))?.open === true && !route.open
}
