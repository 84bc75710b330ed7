import type { Customer, CustomerKey, Pool, Route } from './desired-state.ts'
import type { IdentifiedState } from './identified-state.ts'
import type { SectionDifference } from './section-index.ts'
import { itemName, SECTION_NAMES } from './sections.ts'

/** What leads from one desired state to another, by name. */
export interface StateDifference {
  /** Number of the state that it leads to. */
  readonly number: number
  readonly customers: SectionDifference<Customer>
  readonly keys: SectionDifference<CustomerKey>
  readonly pools: SectionDifference<Pool>
  readonly routes: SectionDifference<Route>
}

/** Names of one section that a difference adds, changes and removes; long lists are cut and counted. */
export interface SectionSummary {
  readonly added: readonly string[]
  readonly changed: readonly string[]
  readonly removed: readonly string[]
  /** Names left out of the three lists. */
  readonly more: number
}

/** A difference by name, for people; sections without a change are left out. */
export type DifferenceSummary = Partial<Record<keyof Omit<StateDifference, 'number'>, SectionSummary>>

/** Names of a list that a summary shows. */
const SUMMARY_NAMES = 20

const KEY_NAME_CHARACTERS = 'sha256:'.length + 12

/** What leads from one state to another. */
export function differenceBetween (before: IdentifiedState, after: IdentifiedState): StateDifference {
  return {
    number: after.identity.number,
    customers: before.sections.customers.differenceTo(after.sections.customers),
    keys: before.sections.keys.differenceTo(after.sections.keys),
    pools: before.sections.pools.differenceTo(after.sections.pools),
    routes: before.sections.routes.differenceTo(after.sections.routes)
  }
}

/** Whether a difference takes access away: a key, a customer, or a route that was open or there. */
export function withdrawsAccess (before: IdentifiedState, difference: StateDifference): boolean {
  return difference.keys.remove.length > 0 ||
    difference.customers.remove.length > 0 ||
    difference.routes.remove.length > 0 ||
    difference.keys.put.some((key) => before.sections.keys.get(key.digest) !== undefined) ||
    difference.routes.put.some((route) => closesRoute(before, route))
}

/** A difference by name. Keys show the head of their digest only. */
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
  const [added = [], changed = [], removed = []] = lists.map((list) => list.slice(0, SUMMARY_NAMES).map(shortenName))
  const more = lists.reduce((sum, list) => sum + Math.max(0, list.length - SUMMARY_NAMES), 0)
  return { added, changed, removed, more }
}

function shortenName (name: string): string {
  return name.startsWith('sha256:') ? name.slice(0, KEY_NAME_CHARACTERS) : name
}

function closesRoute (before: IdentifiedState, route: Route): boolean {
  return before.sections.routes.get(itemName('routes', route))?.open === true && !route.open
}
