import type { DifferenceSummary, SectionSummary } from '@hickoryspoke/configuration/difference'
import type { FileIdentity } from '@hickoryspoke/configuration/identified-state'

/** The fields of the status document that are printed as text. */
export interface StatusView {
  readonly accepted: FileIdentity | null
  readonly leader: string | null
  readonly confirmed: boolean
  readonly dispute: { readonly number: number, readonly candidates: number } | null
  readonly epoch: number
  readonly regionsBehind: readonly string[]
  readonly entriesByNumber: Readonly<Record<string, number>>
  readonly entries: readonly { readonly enrolled: boolean, readonly connected: boolean }[]
}

/** The fields of a dispute that are printed as text. */
export interface DisputeView {
  readonly number: number
  readonly settled: { readonly accepted: string, readonly as: FileIdentity | null } | null
  readonly candidates: readonly { readonly digest: string, readonly operator: string, readonly time: string, readonly difference: DifferenceSummary }[]
}

/** One entry's view of the upstreams. */
export interface UpstreamView {
  readonly entry: string
  readonly zone: string
  readonly upstreams: unknown
}

/** Formats the status as lines of text. */
export function describeStatus (status: StatusView): string[] {
  const { accepted, dispute, entries } = status
  const enrolled = entries.filter((entry) => entry.enrolled).length
  const connected = entries.filter((entry) => entry.connected).length
  const numbers = Object.entries(status.entriesByNumber).map(([number, count]) => `${count} at ${number}`)
  return [
    accepted === null ? 'accepted: none' : `accepted: number ${accepted.number} ${accepted.digest}`,
    `leader: ${status.leader ?? 'none'}${status.confirmed ? '' : ' (not confirmed with a majority)'}`,
    `entries: ${enrolled} enrolled, ${connected} connected${numbers.length > 0 ? `; ${numbers.join(', ')}` : ''}; epoch ${status.epoch}`,
    ...(status.regionsBehind.length === 0 ? [] : [`regions without a quorum at the accepted number: ${status.regionsBehind.join(', ')}`]),
    dispute === null ? 'disputes: none' : `dispute over number ${dispute.number}: ${dispute.candidates} candidates`
  ]
}

/** Formats disputes as lines of text. */
export function describeDisputes (disputes: readonly DisputeView[]): string[] {
  return disputes.length === 0 ? ['no disputes'] : disputes.flatMap(describeDispute)
}

/** Formats the entries' views of the upstreams as lines of text. */
export function describeUpstreams (views: readonly UpstreamView[]): string[] {
  if (views.length === 0) return ['no entry is connected to control']
  return views.flatMap((view) => [`as seen by ${view.entry} in ${view.zone}:`, `  ${JSON.stringify(view.upstreams)}`])
}

/** Formats a difference as one line per added, changed and removed name. */
export function summaryLines (summary: DifferenceSummary): string[] {
  const lines = Object.entries(summary).flatMap(([section, part]) => sectionLines(section, part))
  return lines.length === 0 ? ['no difference in content'] : lines
}

function sectionLines (section: string, summary: SectionSummary): string[] {
  return [
    ...summary.added.map((name) => `+ ${section} ${name}`),
    ...summary.changed.map((name) => `~ ${section} ${name}`),
    ...summary.removed.map((name) => `- ${section} ${name}`),
    ...(summary.more === 0 ? [] : [`  ${section}: ${summary.more} more`])
  ]
}

function describeDispute (dispute: DisputeView): string[] {
  if (dispute.settled !== null) return [`number ${dispute.number}: settled as number ${dispute.settled.as?.number ?? 0} with ${dispute.settled.accepted}`]
  return [
    `number ${dispute.number}: waits for the authority`,
    ...dispute.candidates.flatMap((candidate, index) => [
      `  ${candidate.digest} by ${candidate.operator} at ${candidate.time}${index === 0 ? ' (in force)' : ''}`,
      ...(index === 0 ? [] : summaryLines(candidate.difference).map((line) => `    ${line}`))
    ])
  ]
}
