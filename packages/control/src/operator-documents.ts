import type { DesiredState } from '@hickoryspoke/configuration/desired-state'
import { differenceBetween, summarizeDifference, type DifferenceSummary } from '@hickoryspoke/configuration/difference'
import type { FileIdentity, IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import { itemName } from '@hickoryspoke/configuration/sections'
import type { JsonDocument } from '@hickoryspoke/protocol/generated/operator'
import type { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import type { ReplicatedLog } from '@hickoryspoke/replication/replicated-log'
import { regionsBehind } from './delivery.ts'
import type { EntryRegistry } from './entry-registry.ts'

/** The state of one entry VM in the `status` document. */
export interface EntryStatus {
  readonly name: string
  readonly zone: string
  readonly region: string
  readonly enrolled: boolean
  readonly witness: boolean
  readonly connected: boolean
  readonly number: number
  readonly epoch: number
}

/** The document that `status` returns. */
export interface StatusDocument {
  readonly accepted: FileIdentity | null
  readonly leader: string | null
  readonly role: string
  /** Whether the replica confirmed with a majority that it knows the newest accepted file. */
  readonly confirmed: boolean
  readonly dispute: { readonly number: number, readonly candidates: number } | null
  readonly epoch: number
  readonly establishedEpoch: number
  /** Regions in which no quorum of witnesses is known to hold the accepted file. */
  readonly regionsBehind: readonly string[]
  readonly entriesByNumber: Readonly<Record<string, number>>
  readonly entries: readonly EntryStatus[]
  readonly auditSequence: number
}

/** A dispute as returned by `dispute list` and `dispute show`. */
export interface DisputeDocument {
  readonly number: number
  readonly settled: { readonly accepted: string, readonly as: FileIdentity | null } | null
  readonly candidates: readonly {
    readonly digest: string
    readonly operator: string
    readonly time: string
    readonly difference: DifferenceSummary
  }[]
}

/** Creates the status document from the state of this replica. */
export function statusDocument (state: AcceptedState, log: ReplicatedLog, registry: EntryRegistry, confirmed: boolean): StatusDocument {
  const { epoch, establishedEpoch } = state.entries.membership()
  const entries = listEntries(state, registry)
  const numbers = entries.filter((entry) => entry.connected).map((entry) => String(entry.number))
  const dispute = state.disputes.current
  return {
    accepted: state.accepted?.identity ?? null,
    leader: log.leader() ?? null,
    role: log.role(),
    confirmed,
    dispute: dispute === undefined ? null : { number: dispute.number, candidates: dispute.candidates.length },
    epoch,
    establishedEpoch,
    regionsBehind: regionsBehind(state, registry, state.accepted?.identity.number ?? 0),
    entriesByNumber: countTexts(numbers),
    entries,
    auditSequence: state.audit.lastSequence
  }
}

/** Returns the settled disputes and the open one, newest last; `number` selects one file number, 0 all. */
export function disputeDocuments (state: AcceptedState, number: number): DisputeDocument[] {
  const settled = state.disputes.settled.map((record): DisputeDocument => ({
    number: record.number,
    settled: { accepted: record.acceptedDigest, as: record.settledAs ?? null },
    candidates: []
  }))
  const current = state.disputes.current
  const standing = current === undefined ? [] : [openDispute(current.number, current.candidates)]
  return [...settled, ...standing].filter((dispute) => number === 0 || dispute.number === number)
}

/** Encodes a document as JSON in a gRPC message. */
export function toJsonDocument (document: unknown): JsonDocument {
  return { json: Buffer.from(JSON.stringify(document)) }
}

/** Returns a state with its items sorted by name, for people to read. */
export function sortedState (state: IdentifiedState): DesiredState {
  const { number, customers, keys, pools, routes } = state.toDesiredState()
  return {
    number,
    customers: sortByName(customers, (customer) => itemName('customers', customer)),
    keys: sortByName(keys, (key) => `${key.customer} ${key.digest}`),
    pools: sortByName(pools, (pool) => itemName('pools', pool)),
    routes: sortByName(routes, (route) => route.path)
  }
}

function openDispute (number: number, candidates: NonNullable<AcceptedState['disputes']['current']>['candidates']): DisputeDocument {
  const inForce = candidates[0]?.state
  return {
    number,
    settled: null,
    candidates: candidates.map(({ state, operator, wallMilliseconds }) => ({
      digest: state.identity.digest,
      operator,
      time: new Date(wallMilliseconds).toISOString(),
      difference: inForce === undefined ? {} : summarizeDifference(inForce, differenceBetween(inForce, state))
    }))
  }
}

function listEntries (state: AcceptedState, registry: EntryRegistry): EntryStatus[] {
  const enrolled = new Map(state.entries.membership().entries.map((entry) => [entry.name, entry]))
  const names = new Set([...enrolled.keys(), ...registry.entries().map((entry) => entry.report.name)])
  return [...names].sort().map((name) => {
    const member = enrolled.get(name)
    const report = registry.get(name)?.report
    return {
      name,
      zone: report?.zone ?? member?.zone ?? '',
      region: report?.region ?? member?.region ?? '',
      enrolled: member !== undefined,
      witness: member?.witness === true,
      connected: report !== undefined,
      number: report?.held?.number ?? 0,
      epoch: report?.epoch ?? 0
    }
  })
}

function countTexts (texts: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const text of texts) counts[text] = (counts[text] ?? 0) + 1
  return counts
}

function sortByName<Item> (items: readonly Item[], nameOf: (item: Item) => string): Item[] {
  return [...items].sort((left, right) => nameOf(left) < nameOf(right) ? -1 : 1)
}
