/** Log lines of the processes of a stop soak, and those of them that belong to a finding. */

/** A line that a process wrote. */
export interface LogLine {
  readonly process: string
  readonly text: string
  /** Unix milliseconds; for a line that states no time, those of the line before it. */
  readonly wallMilliseconds: number
}

const TIME = /"time":"([^"]+)"/
const REQUEST = /"request":"([^"]+)"/
const REQUEST_ENDED = '"event":"request ended"'
const LINES_OF_A_REQUEST = 20
const LINES_OF_A_PROCESS = 40
const BEFORE_MILLISECONDS = 8_000
const AFTER_MILLISECONDS = 1_000

/** Splits the log of a process into its lines. */
export function parseLog (process: string, log: string): LogLine[] {
  let wallMilliseconds = 0
  return log.split('\n').filter((text) => text !== '').map((text) => {
    const time = TIME.exec(text)?.[1]
    if (time !== undefined) wallMilliseconds = Date.parse(time)
    return { process, text, wallMilliseconds }
  })
}

/** Identifiers of the requests that are named by a line. */
export function loggedRequests (logs: readonly LogLine[]): Set<string> {
  return new Set(logs.flatMap(({ text }) => REQUEST.exec(text)?.[1] ?? []))
}

/** The lines that name a request. */
export function linesOfRequest (logs: readonly LogLine[], id: string): string[] {
  return logs.filter(({ text }) => REQUEST.exec(text)?.[1] === id).slice(-LINES_OF_A_REQUEST).map(formatLine)
}

/** The lines of a process up to a moment, without those of single requests. */
export function linesOfProcess (logs: readonly LogLine[], process: string, wallMilliseconds: number): string[] {
  const near = logs.filter((line) => line.process === process && Math.abs(line.wallMilliseconds - wallMilliseconds) < BEFORE_MILLISECONDS)
  const before = near.filter((line) => line.wallMilliseconds < wallMilliseconds + AFTER_MILLISECONDS && !line.text.includes(REQUEST_ENDED))
  return before.slice(-LINES_OF_A_PROCESS).map(formatLine)
}

function formatLine ({ process, text }: LogLine): string {
  return `${process} ${text}`
}
