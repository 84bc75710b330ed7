/** Measures the processor time of the dispatcher against the number of upstreams of a pool and the load. */
import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { DispatchSimulation, type RequestKind, type DispatchScenario } from './dispatch-simulation.ts'
import { withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'

const SEED = 1
const RUN_MILLISECONDS = 5_000
const UPSTREAMS = [34, 134]
/** Offered load as a share of the capacity of the slots. */
const LOADS = [0.35, 1.3]
const SLOTS = 4
const WORK_MILLISECONDS = 330

const BOOKING: Omit<RequestKind, 'ratePerSecond'> = {
  name: 'booking', workMilliseconds: WORK_MILLISECONDS, workDeviation: 0.7, targetMilliseconds: 1_200, timeoutMilliseconds: 3_000, priority: 1, mayRepeat: false
}

/** Runs each pool size once at each load. */
export async function measureDispatchSlopes (): Promise<MeasureReport> {
  return { name: 'dispatch-slopes', rows: UPSTREAMS.flatMap((upstreams) => LOADS.map((load) => measureSize(upstreams, load))), notes: NOTES }
}

function measureSize (upstreams: number, load: number): MeasureRow {
  const ratePerSecond = load * upstreams * SLOTS * 1000 / WORK_MILLISECONDS
  const scenario: DispatchScenario = {
    name: `${upstreams} upstreams`,
    upstreams,
    slots: SLOTS,
    requestKinds: [{ ...BOOKING, ratePerSecond }],
    grayFailures: { healthyMilliseconds: 16_000, episodeMilliseconds: 7_000, failureShare: 0.8, outcome: PlacementOutcome.PLACEMENT_OUTCOME_BROKEN }
  }
  const simulation = DispatchSimulation.create(scenario, SeededRandom.create(SEED))
  const began = process.cpuUsage()
  const { arrived } = simulation.run(RUN_MILLISECONDS)
  const { user, system } = process.cpuUsage(began)
  return withoutTarget(`${upstreams} upstreams, load ${load} of the slots, ${Math.round(ratePerSecond)} requests/s`, (user + system) / arrived, 'microseconds per request')
}

const NOTES = ['Dispatcher and emulated upstreams together, one process; without messages between processes.']
