import { randomBelow, SeededRandom } from '@hickoryspoke/runtime/random'
import type { CustomerRate } from '../share-split.ts'
import { worstExcess } from './bound-checker.ts'
import { LimiterFleet } from './limiter-fleet.ts'

/** One fault or change. `entry` and `other` are indexes of entries, `size` is an index into the sizes of the fault. */
export interface FaultStep {
  readonly afterMilliseconds: number
  readonly kind: FaultKind
  readonly entry: number
  readonly other: number
  readonly size: number
}

/** A sequence of faults applied to a fleet whose callers send far above their rates. */
export interface FaultSchedule {
  readonly seed: number
  readonly entries: number
  readonly steps: readonly FaultStep[]
}

/** Result of a run. */
export interface ScheduleOutcome {
  /** Largest excess over the bound in any window, over all customers, in requests. */
  readonly worstExcess: number
  readonly admitted: number
}

type StepContext = { readonly fleet: LimiterFleet, readonly name: string, readonly other: string, readonly size: number, readonly periods: LimitPeriod[] }

interface LimitPeriod {
  readonly from: number
  readonly customers: readonly CustomerRate[]
}

const RATES: readonly (readonly CustomerRate[])[] = [
  [{ name: 'small', rate: 2, burst: 1 }, { name: 'middle', rate: 10, burst: 5 }, { name: 'large', rate: 100, burst: 60 }],
  [{ name: 'small', rate: 0.5, burst: 2 }, { name: 'middle', rate: 20, burst: 3 }, { name: 'large', rate: 30, burst: 100 }],
  [{ name: 'small', rate: 5, burst: 3 }, { name: 'middle', rate: 4, burst: 8 }, { name: 'large', rate: 300, burst: 45 }]
]
const DELAYS_MILLISECONDS = [1.5, 8, 40, 150]
const SHARES = [0, 0.05, 0.3]
const WARM_UP_MILLISECONDS = 6000
const TAIL_MILLISECONDS = 4000
const DEMAND_INTERVAL_MILLISECONDS = 40
const REQUESTS_PER_INTERVAL = 4
const PERIOD_SETTLES_MILLISECONDS = 1500
const ROUNDING = 1e-6

const HANDLERS = {
  crash: ({ fleet, name }: StepContext) => fleet.crash(name),
  restart: ({ fleet, name }: StepContext) => fleet.start(name),
  crashAndRestart: ({ fleet, name }: StepContext) => { fleet.crash(name); fleet.start(name) },
  stop: ({ fleet, name }: StepContext) => { void fleet.stop(name) },
  cut: ({ fleet, name, other }: StepContext) => fleet.network.cut(name, other),
  isolateSending: ({ fleet, name }: StepContext) => { for (const entry of fleet.roster) fleet.network.cut(name, entry.name) },
  isolateReceiving: ({ fleet, name }: StepContext) => { for (const entry of fleet.roster) fleet.network.cut(entry.name, name) },
  heal: ({ fleet }: StepContext) => fleet.network.healAll(),
  controlCut: ({ fleet, name }: StepContext) => fleet.authority.cut(name),
  controlHeal: ({ fleet, name }: StepContext) => fleet.authority.heal(name),
  remove: ({ fleet, name }: StepContext) => fleet.authority.change(fleet.roster.filter((entry) => entry.name !== name)),
  enrolAll: ({ fleet }: StepContext) => fleet.authority.change(fleet.roster),
  slow: ({ fleet, size }: StepContext) => changeNetwork(fleet, { delayMilliseconds: () => pick(DELAYS_MILLISECONDS, size), jitterMilliseconds: 5 }),
  late: ({ fleet, size }: StepContext) => changeNetwork(fleet, { jitterMilliseconds: pick(DELAYS_MILLISECONDS, size) * 5 }),
  lose: ({ fleet, size }: StepContext) => changeNetwork(fleet, { lossProbability: pick(SHARES, size) }),
  repeat: ({ fleet, size }: StepContext) => changeNetwork(fleet, { duplicateProbability: pick(SHARES, size) }),
  changeRate: ({ fleet, size, periods }: StepContext) => changeRate(fleet, pick(RATES, size), periods),
  stepWallClock: ({ fleet, size }: StepContext) => fleet.clock.stepWall((size - 1) * 3_600_000)
}

/** A kind of fault or change that a schedule may contain. */
export type FaultKind = keyof typeof HANDLERS
export const FAULT_KINDS = Object.keys(HANDLERS) as FaultKind[]

/** Runs a schedule against the real limiters. */
export async function playSchedule (schedule: FaultSchedule): Promise<ScheduleOutcome> {
  const random = SeededRandom.create(schedule.seed)
  const clockSpeed = (name: string): number => 1 + (name.length + Number(name.slice(-1)) % 3 - 1) * 0.0001
  const fleet = LimiterFleet.create({ entries: schedule.entries, zones: 3, seed: schedule.seed, clockSpeed, network: { delayMilliseconds: () => 1.5 } })
  const periods: LimitPeriod[] = []
  changeRate(fleet, pick(RATES, 0), periods)
  await fleet.run(WARM_UP_MILLISECONDS)
  const demand = startDemand(fleet, random)
  for (const step of schedule.steps) {
    await fleet.run(step.afterMilliseconds)
    HANDLERS[step.kind]({ fleet, name: pickName(fleet, step.entry), other: pickName(fleet, step.other), size: step.size, periods })
  }
  await fleet.run(TAIL_MILLISECONDS)
  demand.stopped = true
  return { worstExcess: worstOf(fleet, periods), admitted: fleet.decisions.filter((decision) => decision.admission.admitted).length }
}

function pick<Value> (values: readonly Value[], place: number): Value {
  return values[place % values.length] as Value
}

function pickName (fleet: LimiterFleet, place: number): string {
  return pick(fleet.roster, place).name
}

function changeNetwork (fleet: LimiterFleet, change: Partial<LimiterFleet['network']['settings']>): void {
  fleet.network.settings = { ...fleet.network.settings, ...change }
}

/** Changes the rates; entries learn of the change one after the other within a second. */
function changeRate (fleet: LimiterFleet, customers: readonly CustomerRate[], periods: LimitPeriod[]): void {
  periods.push({ from: fleet.clock.monotonicMilliseconds(), customers })
  fleet.apply(customers, [])
  fleet.names.forEach((name, index) => {
    fleet.clock.schedule(index * 1000 / fleet.names.length, () => { if (periods.at(-1)?.customers === customers) fleet.apply(customers, [name]) })
  })
}

function startDemand (fleet: LimiterFleet, random: SeededRandom): { stopped: boolean } {
  const demand = { stopped: false }
  const send = (): void => {
    if (demand.stopped) return
    for (const customer of ['small', 'middle', 'large']) {
      for (let request = 0; request < REQUESTS_PER_INTERVAL; request += 1) fleet.request(pickName(fleet, randomBelow(random, fleet.roster.length)), customer)
    }
    fleet.clock.schedule(DEMAND_INTERVAL_MILLISECONDS, send)
  }
  send()
  return demand
}

/** Strict bounds inside each period once it has settled, and the widest of all periods over the whole run. */
function worstOf (fleet: LimiterFleet, periods: readonly LimitPeriod[]): number {
  let worst = -Infinity
  for (const { name } of pick(RATES, 0)) {
    const times = fleet.admittedAt(name)
    const limits = periods.map((period) => period.customers.find((customer) => customer.name === name) as CustomerRate)
    worst = Math.max(worst, worstExcess(times, Math.max(...limits.map((limit) => limit.rate)), Math.max(...limits.map((limit) => limit.burst))))
    periods.forEach((period, index) => {
      const until = periods[index + 1]?.from ?? Infinity
      const within = times.filter((time) => time >= period.from + PERIOD_SETTLES_MILLISECONDS && time < until)
      const limit = limits[index] as CustomerRate
      worst = Math.max(worst, worstExcess(within, limit.rate, limit.burst))
    })
  }
  return worst - ROUNDING
}
