import type { Route } from '@hickoryspoke/configuration/desired-state'
import { normaliseTarget } from '@hickoryspoke/request/path-normalisation'
import { RouteTable } from '@hickoryspoke/request/route-table'
import { atMost, withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'

const SIZES = [10, 500, 5100] as const
const LOOKUPS = 200_000
const ROUNDS = 5
const MAX_COST_GROWTH = 2

function createRoutes (count: number): Route[] {
  return Array.from({ length: count }, (_, index) => ({
    path: `/site-${index % 100}/records/kind-${index}`, pool: 'p', open: false, timeout_milliseconds: 1000
  }))
}

function nanosecondsPerLookup (work: () => void): number {
  let best = Infinity
  for (let round = 0; round < ROUNDS; round += 1) {
    const started = process.hrtime.bigint()
    work()
    best = Math.min(best, Number(process.hrtime.bigint() - started) / LOOKUPS)
  }
  return best
}

function measureLookup (count: number): number {
  const table = RouteTable.create(createRoutes(count))
  const targets = Array.from({ length: 1000 }, (_, index) => `/site-${(index * 7) % count % 100}/records/kind-${(index * 7) % count}/lot/${index}?page=2`)
  return nanosecondsPerLookup(() => {
    for (let index = 0; index < LOOKUPS; index += 1) {
      const path = normaliseTarget(targets[index % targets.length] as string).unwrap().path
      if (table.find({ path, method: 'GET', host: 'entry:8080' }) === undefined) throw new RangeError('no route found')
    }
  })
}

/** Measures the cost of a route lookup, including path normalisation, against the number of routes. */
export async function measureRouting (): Promise<MeasureReport> {
  measureLookup(100)
  const costs = SIZES.map((size) => measureLookup(size))
  const rows: MeasureRow[] = SIZES.map((size, index) => withoutTarget(`lookup among ${size} routes`, costs[index] as number, 'ns'))
  const [smallest, , largest] = costs as [number, number, number]
  const started = performance.now()
  RouteTable.create(createRoutes(5100))
  rows.push(withoutTarget('building a table of 5,100 routes', performance.now() - started, 'ms'))
  rows.push(atMost('cost among 5,100 routes over cost among 10', largest / smallest, 'times', MAX_COST_GROWTH))
  return { name: 'routing', rows }
}
