/** Measures how many requests fail behind the dispatcher because of episodes of gray failure. */
import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { DispatchSimulation, type DispatchCounts, type RequestKind, type DispatchScenario } from './dispatch-simulation.ts'
import type { GrayFailureConfig } from './gray-upstream.ts'
import { atMost, withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'

const SEEDS = [1, 2, 3, 4, 5, 6]
const RUN_MILLISECONDS = 40_000
/** Largest acceptable number of requests that the whole fleet loses in one episode. */
const MAX_LOST_PER_EPISODE = 2

const RESETS: GrayFailureConfig = {
  healthyMilliseconds: 16_000, episodeMilliseconds: 7_000, failureShare: 0.8, outcome: PlacementOutcome.PLACEMENT_OUTCOME_BROKEN
}
const SHEDDING: GrayFailureConfig = { ...RESETS, healthyMilliseconds: 2_000, failureShare: 0.55, outcome: PlacementOutcome.PLACEMENT_OUTCOME_REFUSED }
const NO_EPISODES: GrayFailureConfig = { ...RESETS, healthyMilliseconds: 1e9 }

const BOOKING: RequestKind = {
  name: 'booking', ratePerSecond: 71, workMilliseconds: 320, workDeviation: 0.7, targetMilliseconds: 1_200, timeoutMilliseconds: 3_000, priority: 1, mayRepeat: false
}
const READ: RequestKind = {
  name: 'read', ratePerSecond: 21, workMilliseconds: 420, workDeviation: 0.5, targetMilliseconds: 1_200, timeoutMilliseconds: 2_500, priority: 2, mayRepeat: true
}
const CHARGE: RequestKind = {
  name: 'charge', ratePerSecond: 28, workMilliseconds: 220, workDeviation: 0.7, targetMilliseconds: 600, timeoutMilliseconds: 1_500, priority: 0, mayRepeat: false
}

const WITHDRAWAL: RequestKind = {
  name: 'withdrawal', ratePerSecond: 331, workMilliseconds: 850, workDeviation: 0.5, targetMilliseconds: 3_000, timeoutMilliseconds: 20_000, priority: 1, mayRepeat: false
}

const SCENARIOS: readonly DispatchScenario[] = [
  { name: 'bookings, a third of the slots in use', upstreams: 18, slots: 4, requestKinds: [BOOKING], grayFailures: RESETS },
  { name: 'reads and charges, half of the slots', upstreams: 8, slots: 4, requestKinds: [READ, CHARGE], grayFailures: RESETS },
  { name: 'charges, a fifth of the slots', upstreams: 8, slots: 4, requestKinds: [CHARGE], grayFailures: RESETS },
  { name: 'charges, three upstreams', upstreams: 3, slots: 6, requestKinds: [CHARGE], grayFailures: RESETS },
  { name: 'withdrawals, 148 upstreams, a third of the slots', upstreams: 148, slots: 6, requestKinds: [WITHDRAWAL], grayFailures: RESETS },
  { name: 'reads alone', upstreams: 8, slots: 4, requestKinds: [READ], grayFailures: RESETS },
  { name: 'bookings, all shed half', upstreams: 18, slots: 4, requestKinds: [BOOKING], grayFailures: SHEDDING },
  { name: 'reads and charges, bursts over the slots', upstreams: 8, slots: 4, requestKinds: [READ, CHARGE], grayFailures: NO_EPISODES, load: (at) => at % 10_000 < 4_000 ? 2.6 : 1 },
  { name: 'reads and charges, bursts and episodes', upstreams: 8, slots: 4, requestKinds: [READ, CHARGE], grayFailures: RESETS, load: (at) => at % 10_000 < 4_000 ? 2 : 1 }
]

/** Runs each scenario with several seeds. */
export async function measureDispatch (): Promise<MeasureReport> {
  return { name: 'dispatch', rows: SCENARIOS.flatMap(measureScenario), notes: NOTES }
}

function measureScenario (scenario: DispatchScenario): MeasureRow[] {
  const total = sumCounts(SEEDS.map((seed) => DispatchSimulation.create(scenario, SeededRandom.create(seed)).run(RUN_MILLISECONDS)))
  const share = (count: number): number => 100 * count / total.arrived
  const { name } = scenario
  const rows = [
    withoutTarget(`${name}: served in time`, share(total.inTime), '%'),
    withoutTarget(`${name}: late`, share(total.late), '%'),
    withoutTarget(`${name}: refused`, share(total.refused), '%'),
    withoutTarget(`${name}: timed out`, share(total.timedOut), '%'),
    withoutTarget(`${name}: server errors`, share(total.failed), '%')
  ]
  if (total.episodes === 0) return rows
  return [...rows, atMost(`${name}: lost per episode`, total.lost / total.episodes, 'requests', MAX_LOST_PER_EPISODE, `${share(total.lost).toFixed(1)} % of the requests`)]
}

function sumCounts (runs: readonly DispatchCounts[]): DispatchCounts {
  const total: DispatchCounts = { arrived: 0, inTime: 0, late: 0, lost: 0, failed: 0, refused: 0, timedOut: 0, episodes: 0 }
  for (const run of runs) {
    for (const key of Object.keys(total) as (keyof DispatchCounts)[]) total[key] += run[key]
  }
  return total
}

const NOTES = [
  'Simulated time, 40 s with six seeds each. An episode lasts 3.5 to 10.5 s; four fifths of the requests that meet it are reset.'
]
