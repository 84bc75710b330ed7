import { LIMIT_SCENARIOS, type LimitScenario } from './limit-scenarios.ts'
import { measureDecisionCosts } from './limit-costs.ts'
import { measureRefusals, type RefusalStatistics } from './limit-refusals.ts'
import { atMost, withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'
import { quantile } from './quantile.ts'

const RATES_PER_SECOND = [0.2, 1, 10, 50, 1000]
const BURSTS = [1, 5, 100]
const ENTRIES = 44
const SEED = 11
const MAX_LATENCY_MILLISECONDS = 4

/** Measures wrong refusals, decision latency, excess over the limit and the cost of a decision, in simulated time. */
export async function measureLimits (): Promise<MeasureReport> {
  const rows: MeasureRow[] = []
  for (const scenario of LIMIT_SCENARIOS) {
    for (const rate of RATES_PER_SECOND) {
      for (const burst of BURSTS) rows.push(...await measureRateAndBurst(scenario, rate, burst))
    }
  }
  rows.push(...await measureDecisionCosts())
  return { name: 'limits', rows, notes: NOTES }
}

async function measureRateAndBurst (scenario: LimitScenario, rate: number, burst: number): Promise<MeasureRow[]> {
  const statistics = await measureRefusals({ rate, burst }, scenario, SEED)
  const name = `${scenario.label}, ${rate}/s burst ${burst}`
  const rows = [refusedRow(`${name}: refused`, statistics, scenario), atMost(`${name}: excess over the bound`, statistics.worstExcess, 'requests', ROUNDING_TOLERANCE)]
  if (scenario.label === 'quiet') {
    rows.push(atMost(`${name}: decision latency, 99th percentile`, quantile(statistics.latencies, 0.99), 'ms', MAX_LATENCY_MILLISECONDS))
  }
  return rows
}

/** A customer has a share at a given entry with a probability of 1 in 44, so the share measured on affected customers is weighted by that. */
function refusedRow (label: string, statistics: RefusalStatistics, scenario: LimitScenario): MeasureRow {
  const weight = scenario.affectedOnly ? 1 / ENTRIES : 1
  const percent = (share: number): number => share * weight * 100
  const baseline = [
    `equal split ${percent(statistics.equalSplitShare).toFixed(2)}`,
    `one counter ${percent(statistics.oneCounterShare).toFixed(2)}`,
    `three counters ${percent(statistics.threeCountersShare).toFixed(2)}`
  ].join(', ')
  const value = percent(statistics.refusedShare)
  if (scenario.maxRefusedShare === undefined) return withoutTarget(label, value, '%', baseline)
  return atMost(label, value, '%', scenario.maxRefusedShare * 100, baseline)
}

const ROUNDING_TOLERANCE = 1e-6

const NOTES = [
  'Requests keep rate and burst by an exact token bucket (80 % of the rate offered at random, with clusters of half a burst) and go to entries at random.',
  'Simulated time; 1.5 ms one way between zones, 0.3 ms within, up to 0.2 ms jitter. `equal split` over 44 entries, `one counter` moves with the epoch,',
  '`three counters` hold a third each and need no lease; the baselines have no delay and are affected only by the loss of a VM. Lost VM: weighted by 1 in 44.'
]
