/** Runs the named measurements, or all of them: `npm run measure [NAME...] [-- --json]`. */
import { readdir } from 'node:fs/promises'
import { type MeasureReport, formatReport } from '../packages/bench/src/measure-report.ts'

const MODULE_PATTERN = /^measure-(.+)\.ts$/
const NOT_A_MEASUREMENT = new Set(['report'])

/** Measurements that run in one process are in the bench package; those that start processes are here. */
const FOLDERS = ['../packages/bench/src', '.'] as const

async function findModules (): Promise<Map<string, string>> {
  const modules = new Map<string, string>()
  for (const folder of FOLDERS) {
    for (const file of await readdir(new URL(`${folder}/`, import.meta.url))) {
      const name = MODULE_PATTERN.exec(file)?.[1]
      if (name !== undefined && !NOT_A_MEASUREMENT.has(name)) modules.set(name, `${folder}/${file}`)
    }
  }
  return modules
}

async function runMeasurement (name: string): Promise<MeasureReport> {
  const loaded: Record<string, unknown> = await import(modules.get(name) ?? '')
  const measure = Object.entries(loaded).find(([key]) => key.toLowerCase() === `measure${name.replaceAll('-', '')}`)?.[1]
  if (typeof measure !== 'function') throw new TypeError(`measure-${name}.ts exports no function of that name`)
  return await measure() as MeasureReport
}

const modules = await findModules()
const known = [...modules.keys()].sort()
const wanted = process.argv.slice(2).filter((argument) => !argument.startsWith('--'))
const unknown = wanted.filter((name) => !known.includes(name))
if (unknown.length > 0) {
  console.error(`no measurement named ${unknown.join(', ')}; available: ${known.join(', ')}`)
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
