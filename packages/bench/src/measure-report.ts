/** Whether a row met its target. */
export const Verdict = { Met: 'met', Missed: 'missed', NoTarget: 'no target' } as const
export type Verdict = typeof Verdict[keyof typeof Verdict]

/** A measured value with its target and a baseline. */
export interface MeasureRow {
  readonly label: string
  readonly value: number
  readonly unit: string
  /** The target as text, such as `at most 7.7`. */
  readonly target?: string
  readonly verdict?: Verdict
  /** The value of the baseline in the same run. */
  readonly baseline?: string
}

/** Results of one measurement. */
export interface MeasureReport {
  readonly name: string
  readonly rows: readonly MeasureRow[]
  readonly notes?: readonly string[]
}

/** Creates a row whose value must not exceed a limit. */
export function atMost (label: string, value: number, unit: string, limit: number, baseline?: string): MeasureRow {
  return { label, value, unit, target: `at most ${limit}`, verdict: value <= limit ? Verdict.Met : Verdict.Missed, baseline }
}

/** Creates a row whose value must reach a limit. */
export function atLeast (label: string, value: number, unit: string, limit: number, baseline?: string): MeasureRow {
  return { label, value, unit, target: `at least ${limit}`, verdict: value >= limit ? Verdict.Met : Verdict.Missed, baseline }
}

/** Creates a row without a target. */
export function withoutTarget (label: string, value: number, unit: string, baseline?: string): MeasureRow {
  return { label, value, unit, verdict: Verdict.NoTarget, baseline }
}

/** Formats a report as a Markdown table. */
export function formatReport (report: MeasureReport): string {
  const lines = report.rows.map((row) =>
    `| ${row.label} | ${formatNumber(row.value)} ${row.unit} | ${row.target ?? ''} | ${row.verdict ?? ''} | ${row.baseline ?? ''} |`)
  return [
    `## ${report.name}`,
    '',
    '| figure | value | target | verdict | baseline |',
    '|---|---|---|---|---|',
    ...lines,
    ...(report.notes ?? []).map((note) => `\n${note}`),
    ''
  ].join('\n')
}

/** Formats integers and values of at least 100 without decimals, and other values with three significant digits. */
export function formatNumber (value: number): string {
  if (Number.isInteger(value)) return String(value)
  return Math.abs(value) >= 100 ? value.toFixed(0) : String(Number(value.toPrecision(3)))
}
