/** Drives a dispatcher in steps, with callers that are refused and return. Both policies get the same arrivals. */
import { PlacementOutcome, type DispatchMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { DEFAULT_DISPATCH_POLICY } from '../dispatch-policy.ts'
import type { EntryConnection } from '../entry-connection.ts'
import { announcement, createDispatcher, question } from './fixture.ts'

/** Requests of one customer and priority. Times in milliseconds. */
export interface Flow {
  readonly customer: string
  readonly priority?: number
  readonly target?: number
  readonly patience?: number
  readonly work?: number
  /** Requests per second at a time. */
  readonly rate: (at: number) => number
  /** Callers return after this time, whatever they are told. */
  readonly returnsAfter?: number
  /** Whether the repetition of a request does not look like the request. */
  readonly changes?: boolean
}

export interface Load {
  readonly flows: readonly Flow[]
  readonly upstreams: number
  readonly slots: number
  readonly milliseconds: number
  readonly seed: number
  /** Rate and burst of every customer. */
  readonly quota?: number
}

/** What became of the callers of a flow. */
export interface FlowResult {
  asked: number
  inTime: number
  served: number
  refusals: number
  /** Returns at the time that the caller was told, and how many of these were refused. */
  returned: number
  refusedAgain: number
  /** When callers returned, in monotonic milliseconds. */
  returns: number[]
}

interface Caller {
  readonly flow: Flow
  readonly result: FlowResult
  readonly work: number
  readonly asked: number
  readonly identity: number
  tries: number
  /** Whether it returns at the time that it was told, not at an earlier one. */
  wasTold: boolean
}

const STEP_MILLISECONDS = 5
const MAXIMUM_TRIES = 4
const MINIMUM_LEFT_MILLISECONDS = 200
/** Time for a new connection, until the request is asked. */
const CONNECT_MILLISECONDS = 20
const WORK_SPREAD = 0.5

/** Runs the load to its end; results in the order of the flows. */
export function runLoad ({ flows, upstreams, slots, milliseconds, seed, quota = 100_000 }: Load, isFair: boolean): FlowResult[] {
  const random = SeededRandom.create(seed)
  const announced = Array.from({ length: upstreams }, (_, index) => announcement({ instance: `i-${index}`, address: `10.0.${index >> 8}.${index & 255}:80`, slots }))
  const { dispatcher, clock } = createDispatcher(announced, quota, 0, { policy: { ...DEFAULT_DISPATCH_POLICY, fairAdmission: isFair } })
  const results = flows.map(() => ({ asked: 0, inTime: 0, served: 0, refusals: 0, returned: 0, refusedAgain: 0, returns: [] as number[] }))
  const callers = new Map<number, Caller>()
  let lastTicket = 0
  const now = (): number => clock.monotonicMilliseconds()
  const left = ({ flow: { patience = 6_000 }, asked }: Caller): number => asked + patience - now()
  const entry: EntryConnection = { entry: 'one', zone: 'zone-a', send: (message) => receive(message) }

  const ask = (caller: Caller): void => {
    const { customer, priority = 1, target = 2_000 } = caller.flow
    lastTicket += 1
    callers.set(lastTicket, caller)
    caller.tries += 1
    const fingerprint = caller.flow.changes === true ? lastTicket : caller.identity
    const patienceMilliseconds = Math.max(0, left(caller))
    dispatcher.ask(entry, question(lastTicket, { customer, priority, targetMilliseconds: target, patienceMilliseconds, fingerprint, route: `${priority}` }))
  }
  const receive = ({ body }: DispatchMessage): void => {
    if (body?.$case !== 'placement' && body?.$case !== 'denial') return
    const { ticket } = body.value
    const caller = callers.get(ticket) as Caller
    callers.delete(ticket)
    if (body.$case === 'denial') return refuse(caller, body.value.retryAfterMilliseconds)
    const until = Math.min(caller.work, left(caller))
    const outcome = until < caller.work ? PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT : PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED
    const { instance } = body.value
    clock.schedule(until, () => {
      if (until === caller.work) caller.result.served += 1
      if (until === caller.work && now() <= caller.asked + (caller.flow.target ?? 2_000)) caller.result.inTime += 1
      dispatcher.end(entry, { ticket, outcome, milliseconds: until, load: undefined, statedLimit: undefined, notice: undefined, instance })
    })
  }
  const refuse = (caller: Caller, retryAfter: number): void => {
    const { result, flow } = caller
    result.refusals += 1
    if (caller.wasTold) result.refusedAgain += 1
    const honoured = left(caller) / 3
    if (caller.tries >= MAXIMUM_TRIES || left(caller) < MINIMUM_LEFT_MILLISECONDS) return
    caller.wasTold = flow.returnsAfter === undefined && retryAfter < honoured
    clock.schedule(CONNECT_MILLISECONDS + (flow.returnsAfter ?? Math.min(retryAfter, honoured)), () => {
      result.returned += caller.wasTold ? 1 : 0
      result.returns.push(now())
      ask(caller)
    })
  }

  const arrivalsOf = (rate: number): number => {
    const mean = rate * STEP_MILLISECONDS / 1_000
    let count = 0
    for (let product = random.next(); product > Math.exp(-mean); product *= random.next()) count += 1
    return count
  }
  const workOf = (mean: number): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
    return mean * Math.exp(WORK_SPREAD * normal - WORK_SPREAD ** 2 / 2)
  }
  for (let step = 0; step < milliseconds; step += STEP_MILLISECONDS) {
    flows.forEach((flow, index) => {
      const result = results[index] as FlowResult
      for (let count = arrivalsOf(flow.rate(step)); count > 0; count -= 1) {
        result.asked += 1
        ask({ flow, result, work: workOf(flow.work ?? 400), asked: now(), identity: random.next() * 2 ** 48, tries: 0, wasTold: false })
      }
    })
    clock.advance(STEP_MILLISECONDS)
    if (step % 50 === 0) dispatcher.tick()
  }
  clock.advance(10_000)
  return results
}

/** Sum of the results of several flows. */
export function total (results: readonly FlowResult[]): FlowResult {
  const sum: FlowResult = { asked: 0, inTime: 0, served: 0, refusals: 0, returned: 0, refusedAgain: 0, returns: [] }
  for (const result of results) {
    for (const key of ['asked', 'inTime', 'served', 'refusals', 'returned', 'refusedAgain'] as const) sum[key] += result[key]
    sum.returns.push(...result.returns)
  }
  return sum
}
