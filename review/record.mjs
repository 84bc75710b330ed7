/** Writes what a case sent, got and ran to `record.txt` in its folder. */
import { closeSync, openSync, writeSync } from 'node:fs'
import { join } from 'node:path'

export class Record {
  constructor (folder) {
    this.file = openSync(join(folder, 'record.txt'), 'w')
    this.began = performance.now()
    this.isClosed = false
  }

  /** Writes a line: milliseconds since the start, the event, and its details. */
  write (event, details = {}) {
    if (this.isClosed) return
    const words = Object.entries(details).map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : value}`)
    writeSync(this.file, `${String(Math.round(performance.now() - this.began)).padStart(7)} ${event} ${words.join(' ')}\n`)
  }

  close () {
    this.isClosed = true
    closeSync(this.file)
  }
}

/** A script runs for 120 seconds at most. */
const TIME_LIMIT_MILLISECONDS = 117_000

/** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (folder, makeFleet, play) {
  const record = new Record(folder)
  const isTroubled = process.env.TROUBLE !== '0'
  const fleet = makeFleet(record)
  let isGivenUp = false
  const giveUp = (reason) => {
    isGivenUp = true
    record.write('case could not run', { reason })
    fleet.stop().finally(() => process.exit(2))
  }
  setTimeout(() => giveUp('the time is up'), TIME_LIMIT_MILLISECONDS).unref()
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => giveUp(signal))
  let code = 2
  try {
    record.write('case begins', { trouble: isTroubled })
    const broken = await play({ fleet, record, isTroubled })
    // What is seen while the case is being given up says nothing of the rule.
    if (!isGivenUp) code = broken ? 1 : 0
    if (!isGivenUp) record.write(broken ? 'RULE BROKEN' : 'rule held')
  } catch (thrown) {
    record.write('case could not run', { reason: String(thrown?.stack ?? thrown) })
    console.error(thrown)
  }
  await fleet.stop()
  record.close()
  process.exit(code)
}
