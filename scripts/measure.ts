/** Runs one measurement by name, or all of them: `npm run measure [NAME] [-- --json]`. */
import { readdir } from 'node:fs/promises'
import { type MeasureReport, formatReport } from '../packages/bench/src/measure-report.ts'

const MODULE_PATTERN = /^measure-(.+)\.ts$/
const NOT_A_MEASUREMENT = new Set(['report'])

async function findNames (): Promise<string[]> {
  const files = await readdir('packages/bench/src')
  const names = files.flatMap((file) => MODULE_PATTERN.exec(file)?.[1] ?? [])
  return names.filter((name) => !NOT_A_MEASUREMENT.has(name)).sort()
}

async function runMeasurement (name: string): Promise<MeasureReport> {
  const loaded: Record<string, unknown> = await import(`../packages/bench/src/measure-${name}.ts`)
  const measure = Object.entries(loaded).find(([key]) => key.toLowerCase() === `measure${name.replaceAll('-', '')}`)?.[1]
  if (typeof measure !== 'function') throw new TypeError(`measure-${name}.ts exports no function named for it`)
  return await measure() as MeasureReport
}

const known = await findNames()
const wanted = process.argv.slice(2).filter((argument) => !argument.startsWith('--'))
const unknown = wanted.filter((name) => !known.includes(name))
if (unknown.length > 0) {
  console.error(`no measurement named ${unknown.join(', ')}; there are: ${known.join(', ')}`)
  process.exit(2)
}
const reports: MeasureReport[] = []
for (const name of wanted.length > 0 ? wanted : known) {
  const report = await runMeasurement(name)
  reports.push(report)
  if (!process.argv.includes('--json')) console.log(formatReport(report))
}
const missed = reports.flatMap((report) => report.rows.filter((row) => row.verdict === 'missed').map((row) => ({ report: report.name, label: row.label })))
if (process.argv.includes('--json')) console.log(JSON.stringify({ reports, missed }))
else console.log(missed.length === 0 ? 'every target met' : `targets missed: ${missed.map((miss) => `${miss.report}: ${miss.label}`).join('; ')}`)
process.exit(0)
