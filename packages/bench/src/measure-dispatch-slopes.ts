/** Measures processor time of the dispatcher by upstreams of a pool and by load. */
import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { DispatchSite, type DispatchedKind, type DispatchScenario } from './dispatch-site.ts'
import { figure, type MeasureReport, type MeasureRow } from './measure-report.ts'

const SEED = 1
const PLAY_MILLISECONDS = 5_000
const UPSTREAMS = [34, 134]
/** Parts of the slots that the requests take. */
const LOADS = [0.35, 1.3]
const SLOTS = 4
const WORK_MILLISECONDS = 330

const KIND: Omit<DispatchedKind, 'perSecond'> = {
  name: 'booking', workMilliseconds: WORK_MILLISECONDS, spread: 0.7, targetMilliseconds: 1_200, timeoutMilliseconds: 3_000, priority: 1, mayRepeat: false
}

/** Plays each size at each load once. */
export async function measureDispatchSlopes (): Promise<MeasureReport> {
  return { name: 'dispatch-slopes', rows: UPSTREAMS.flatMap((upstreams) => LOADS.map((load) => measureSize(upstreams, load))), notes: NOTES }
}

function measureSize (upstreams: number, load: number): MeasureRow {
  const perSecond = load * upstreams * SLOTS * 1000 / WORK_MILLISECONDS
  const scenario: DispatchScenario = {
    name: `${upstreams} upstreams`,
    upstreams,
    slots: SLOTS,
    kinds: [{ ...KIND, perSecond }],
    gray: { soundMilliseconds: 16_000, episodeMilliseconds: 7_000, failingShare: 0.8, outcome: PlacementOutcome.PLACEMENT_OUTCOME_BROKEN }
  }
  const site = DispatchSite.create(scenario, SeededRandom.create(SEED))
  const began = process.cpuUsage()
  const { asked } = site.play(PLAY_MILLISECONDS)
  const { user, system } = process.cpuUsage(began)
  return figure(`${upstreams} upstreams, ${load} of the slots asked for, ${Math.round(perSecond)} requests/s`, (user + system) / asked, 'microseconds a request')
}

const NOTES = ['Dispatcher and emulated upstreams together, one process; without messages between processes.']
