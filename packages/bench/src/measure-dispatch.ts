/** Measures what gray episodes cost behind the dispatcher. */
import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { DispatchSite, type DispatchCounts, type DispatchedKind, type DispatchScenario } from './dispatch-site.ts'
import type { GrayPlan } from './gray-upstream.ts'
import { atMost, figure, type MeasureReport, type MeasureRow } from './measure-report.ts'

const SEEDS = [1, 2, 3, 4, 5, 6]
const PLAY_MILLISECONDS = 40_000
/** An episode may cost this many requests, over the whole fleet. */
const LOST_AN_EPISODE = 2

const RESETS: GrayPlan = {
  soundMilliseconds: 16_000, episodeMilliseconds: 7_000, failingShare: 0.8, outcome: PlacementOutcome.PLACEMENT_OUTCOME_BROKEN
}
const SHEDDING: GrayPlan = { ...RESETS, soundMilliseconds: 2_000, failingShare: 0.55, outcome: PlacementOutcome.PLACEMENT_OUTCOME_REFUSED }
const NEVER: GrayPlan = { ...RESETS, soundMilliseconds: 1e9 }

const BOOKING: DispatchedKind = {
  name: 'booking', perSecond: 71, workMilliseconds: 320, spread: 0.7, targetMilliseconds: 1_200, timeoutMilliseconds: 3_000, priority: 1, mayRepeat: false
}
const READ: DispatchedKind = {
  name: 'read', perSecond: 21, workMilliseconds: 420, spread: 0.5, targetMilliseconds: 1_200, timeoutMilliseconds: 2_500, priority: 2, mayRepeat: true
}
const CHARGE: DispatchedKind = {
  name: 'charge', perSecond: 28, workMilliseconds: 220, spread: 0.7, targetMilliseconds: 600, timeoutMilliseconds: 1_500, priority: 0, mayRepeat: false
}

const SCENARIOS: readonly DispatchScenario[] = [
  { name: 'bookings, a third of the slots in use', upstreams: 18, slots: 4, kinds: [BOOKING], gray: RESETS },
  { name: 'reads and charges, half of the slots', upstreams: 8, slots: 4, kinds: [READ, CHARGE], gray: RESETS },
  { name: 'charges, a fifth of the slots', upstreams: 8, slots: 4, kinds: [CHARGE], gray: RESETS },
  { name: 'charges, three upstreams', upstreams: 3, slots: 6, kinds: [CHARGE], gray: RESETS },
  { name: 'reads alone', upstreams: 8, slots: 4, kinds: [READ], gray: RESETS },
  { name: 'bookings, all shed half', upstreams: 18, slots: 4, kinds: [BOOKING], gray: SHEDDING },
  { name: 'reads and charges, bursts over the slots', upstreams: 8, slots: 4, kinds: [READ, CHARGE], gray: NEVER, load: (at) => at % 10_000 < 4_000 ? 2.6 : 1 },
  { name: 'reads and charges, bursts and episodes', upstreams: 8, slots: 4, kinds: [READ, CHARGE], gray: RESETS, load: (at) => at % 10_000 < 4_000 ? 2 : 1 }
]

/** Plays each scenario with several seeds. */
export async function measureDispatch (): Promise<MeasureReport> {
  return { name: 'dispatch', rows: SCENARIOS.flatMap(measureScenario), notes: NOTES }
}

function measureScenario (scenario: DispatchScenario): MeasureRow[] {
  const total = sum(SEEDS.map((seed) => DispatchSite.create(scenario, SeededRandom.create(seed)).play(PLAY_MILLISECONDS)))
  const share = (count: number): number => 100 * count / total.asked
  const { name } = scenario
  const rows = [
    figure(`${name}: served in time`, share(total.inTime), '%'),
    figure(`${name}: late`, share(total.late), '%'),
    figure(`${name}: refused`, share(total.refused), '%'),
    figure(`${name}: timed out`, share(total.timedOut), '%'),
    figure(`${name}: own errors`, share(total.failed), '%')
  ]
  if (total.episodes === 0) return rows
  return [...rows, atMost(`${name}: lost an episode`, total.lost / total.episodes, 'requests', LOST_AN_EPISODE, `${share(total.lost).toFixed(1)} % of the requests`)]
}

function sum (runs: readonly DispatchCounts[]): DispatchCounts {
  const total: DispatchCounts = { asked: 0, inTime: 0, late: 0, lost: 0, failed: 0, refused: 0, timedOut: 0, episodes: 0 }
  for (const run of runs) {
    for (const key of Object.keys(total) as (keyof DispatchCounts)[]) total[key] += run[key]
  }
  return total
}

const NOTES = [
  'Simulated time, 40 s with six seeds each. An episode lasts 3.5 to 10.5 s; four fifths of the requests that meet it are reset.'
]
