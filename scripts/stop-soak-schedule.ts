/** The seeded schedule of a stop soak: which processes are stopped, frozen and killed, and when a configuration is published. */
import { pickOne, randomBelow, type RandomSource } from '../packages/runtime/src/random.ts'

/** A process by its role and index. */
export interface ScheduledProcess {
  readonly role: 'front' | 'core'
  readonly index: number
}

/** A further signal of a stop, and the time after SIGTERM at which it is sent. */
export interface ScheduledSignal {
  readonly after: number
  readonly signal: NodeJS.Signals
}

/** A span during which a process is frozen, from the start of its event on. */
export interface ScheduledFreeze {
  readonly after: number
  readonly length: number
}

/** A stop with SIGTERM and further signals. `lead` is the time before SIGTERM, `pause` that between the end of the process and its next start. */
export interface StopEvent {
  readonly kind: 'stop'
  readonly at: number
  readonly target: ScheduledProcess
  readonly lead: number
  readonly signals: readonly ScheduledSignal[]
  readonly freeze: ScheduledFreeze | undefined
  readonly pause: number
}

export interface KillEvent {
  readonly kind: 'kill'
  readonly at: number
  readonly target: ScheduledProcess
  readonly pause: number
}

export interface FreezeEvent {
  readonly kind: 'freeze'
  readonly at: number
  readonly target: ScheduledProcess
  readonly length: number
}

export interface PublishEvent {
  readonly kind: 'publish'
  readonly at: number
  readonly version: number
}

export type ScheduledEvent = StopEvent | KillEvent | FreezeEvent | PublishEvent

/** Size of the fleet and length of the soak. */
export interface ScheduleOptions {
  readonly entries: number
  readonly control: number
  readonly milliseconds: number
  /** Version of the configuration that is in force at the start. */
  readonly firstVersion: number
}

const STOP_GAP = { least: 500, span: 1_500 }
const PUBLISH_GAP = { least: 300, span: 1_200 }
/** Control processes are disturbed one at a time: what was stopped is back and has caught up before the next one. */
const CONTROL_GAP = { least: 8_000, span: 3_000 }
const FREEZE_LENGTH = { least: 300, span: 1_700 }
const REPEATED_SIGNAL = { least: 50, span: 2_950 }
const STOP_PAUSE = { least: 100, span: 900 }
const KILL_PAUSE = { least: 200, span: 1_800 }
const HANGUP_SPAN = 3_000
const SECOND_STOP_SPAN = 300
/** Time before the SIGTERM of a stop, in which a freeze may begin. */
const FREEZE_LEAD = 500
const FREEZE_SPAN = 2_000
const REPEATED_SHARE = 0.4
const HANGUP_SHARE = 0.3
const FREEZE_SHARE = 0.2
const TWO_ENTRIES_SHARE = 0.5
const STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT']

/** Creates all events of a soak, ordered by time. */
export function createSchedule (random: RandomSource, options: ScheduleOptions): ScheduledEvent[] {
  const events = [...publications(random, options), ...entryStops(random, options), ...controlDisturbances(random, options)]
  return events.sort((left, right) => left.at - right.at)
}

function publications (random: RandomSource, { milliseconds, firstVersion }: ScheduleOptions): PublishEvent[] {
  let version = firstVersion
  return times(random, PUBLISH_GAP, milliseconds).map((at) => {
    version += 1 + randomBelow(random, 3)
    return { kind: 'publish', at, version }
  })
}

function entryStops (random: RandomSource, { entries, milliseconds }: ScheduleOptions): StopEvent[] {
  return times(random, STOP_GAP, milliseconds).flatMap((at) => {
    const first = randomBelow(random, entries)
    const targets = random.next() < TWO_ENTRIES_SHARE ? [first, first + 1] : [first]
    return targets.map((index, position) => {
      const begin = at + position * random.next() * SECOND_STOP_SPAN
      return stopEvent(random, begin, { role: 'front', index: index % entries })
    })
  })
}

/** A stop, in some cases of a process that is frozen before or during it. */
function stopEvent (random: RandomSource, at: number, target: ScheduledProcess): StopEvent {
  const signals: ScheduledSignal[] = []
  if (random.next() < REPEATED_SHARE) signals.push({ after: between(random, REPEATED_SIGNAL), signal: pickOne(random, STOP_SIGNALS) })
  if (random.next() < HANGUP_SHARE) signals.push({ after: random.next() * HANGUP_SPAN, signal: 'SIGHUP' })
  const freeze = random.next() < FREEZE_SHARE ? { after: random.next() * FREEZE_SPAN, length: between(random, FREEZE_LENGTH) } : undefined
  return { kind: 'stop', at, target, lead: FREEZE_LEAD, signals, freeze, pause: between(random, STOP_PAUSE) }
}

/** Kills, stops and freezes of one control process at a time. */
function controlDisturbances (random: RandomSource, { control, milliseconds }: ScheduleOptions): ScheduledEvent[] {
  return times(random, CONTROL_GAP, milliseconds).flatMap((at): ScheduledEvent[] => {
    const target: ScheduledProcess = { role: 'core', index: randomBelow(random, control) }
    const disturbance = pickOne(random, ['kill', 'stop', 'freeze'] as const)
    if (disturbance === 'kill') return [{ kind: 'kill', at, target, pause: between(random, KILL_PAUSE) }]
    if (disturbance === 'freeze') return [{ kind: 'freeze', at, target, length: between(random, FREEZE_LENGTH) }]
    return [stopEvent(random, at, target)]
  })
}

interface Span {
  readonly least: number
  readonly span: number
}

function times (random: RandomSource, gap: Span, milliseconds: number): number[] {
  const result: number[] = []
  for (let at = between(random, gap) / 2; at < milliseconds; at += between(random, gap)) result.push(at)
  return result
}

function between (random: RandomSource, { least, span }: Span): number {
  return least + random.next() * span
}
