/** A caller of a stop soak: stays on its connection until the entry closes it, then goes to another entry that is ready. */
import { pickOne, type RandomSource } from '../packages/runtime/src/random.ts'
import { delay } from './process-fleet.ts'
import { SoakConnection, type SoakConnectionOptions } from './stop-soak-connection.ts'
import type { SoakFleet, SoakProcess } from './stop-soak-fleet.ts'
import { habitOf, planRound, type PlannedRound } from './stop-soak-plan.ts'
import { randomFor } from './stop-soak-random.ts'

const READY_POLL_MILLISECONDS = 300
const RECONNECT_MILLISECONDS = 100
const CLOSE_LIMIT_MILLISECONDS = 12_000

/** Stands in for the load balancer: knows which entries said lately that they are ready. */
export class ReadyEntryList {
  private ready: readonly SoakProcess[]

  private constructor (private readonly fleet: SoakFleet) {
    this.ready = fleet.entries
  }

  static create (fleet: SoakFleet): ReadyEntryList {
    return new ReadyEntryList(fleet)
  }

  async watch (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { entries } = this.fleet
      const checks = await Promise.all(entries.map(async (entry) => await this.fleet.isReady(entry)))
      const ready = entries.filter((_entry, index) => checks[index])
      this.ready = ready.length > 0 ? ready : entries
      await delay(READY_POLL_MILLISECONDS)
    }
  }

  pick (random: RandomSource): SoakProcess {
    return pickOne(random, this.ready)
  }
}

/** What all callers need. */
export interface SoakCallerOptions extends Omit<SoakConnectionOptions, 'entry' | 'name' | 'address'> {
  readonly fleet: SoakFleet
  readonly entries: ReadyEntryList
  readonly signal: AbortSignal
}

/** Sends the requests of the seed until the signal aborts, then waits for the answers that are due. */
export async function runSoakCaller (index: number, seed: number, options: SoakCallerOptions): Promise<void> {
  const habit = habitOf(index)
  // How often a connection has to be opened depends on the run, so the choice of entries does not draw from the requests' source.
  const [choices, requests] = [randomFor(seed, `entries of caller ${index}`), randomFor(seed, `requests of caller ${index}`)]
  let opened = 0
  let sent = 0
  const nextId = (): string => {
    sent += 1
    return `soak-${index}-${sent}`
  }
  while (!options.signal.aborted) {
    const entry = options.entries.pick(choices)
    opened += 1
    const target = { entry: entry.name, name: `connection-${index}-${opened}`, address: options.fleet.callerAddress(entry) }
    const connection = await SoakConnection.open({ ...options, ...target })
    if (connection === undefined) {
      await delay(RECONNECT_MILLISECONDS)
      continue
    }
    while (connection.isUsable && !options.signal.aborted) await sendRound(connection, planRound(requests, habit), nextId)
    await connection.waitForAnswers()
    if (!options.signal.aborted) await connection.waitForClose(CLOSE_LIMIT_MILLISECONDS)
    connection.close()
  }
}

async function sendRound (connection: SoakConnection, round: PlannedRound, nextId: () => string): Promise<void> {
  if (round.readingPause > 0) connection.pauseReading(round.readingPause)
  for (const planned of round.requests) {
    if (!connection.isUsable) break
    await connection.send(nextId(), planned)
    await delay(planned.gap)
  }
  await connection.waitForAnswers()
  await delay(round.quiet)
}
