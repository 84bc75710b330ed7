/** What all programs share: exit codes, how failures are reported, and a stop with a time limit. */
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import { InvalidInput, formatIssue } from '@hickoryspoke/runtime/failure'

/** Exit codes shared by all programs. */
export const ExitCode = { Done: 0, Failed: 1, BadInput: 2, Refused: 3, Dispute: 4, NotConfirmed: 5 } as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** Version reported by all programs. */
export const PROGRAM_VERSION = '0.1.0'

/** A running program that can be stopped. */
export interface RunningProgram {
  /** Shuts down gracefully; resolves when all work in progress has finished. */
  stop (): Promise<void>
  /** Describes work that would be lost if the process exited now, for the log. */
  unfinished (): string
  /** Resolves with a failure after which the program cannot go on, or with undefined once it has stopped. */
  whenFailed? (): Promise<Failure | undefined>
}

/** Writes a failure, one line per issue, to standard error and sets the exit code. */
export function reportFailure (program: string, failure: Failure, exitCode: ExitCode): void {
  const lines = failure instanceof InvalidInput ? failure.issues.map(formatIssue) : [`${failure.message} (${failure.code})`]
  for (const line of lines) process.stderr.write(`${program}: ${line}\n`)
  process.exitCode = exitCode
}

/** Stops a program but waits at most `limitMilliseconds`. Resolves to whether the stop finished in time. */
export async function stopWithTimeout (program: RunningProgram, clock: Clock, limitMilliseconds: number): Promise<boolean> {
  const timeLimit = new AbortController()
  const ended = program.stop().then(() => true)
  const stopped = await Promise.race([ended, sleep(clock, limitMilliseconds, timeLimit.signal).then(() => false)])
  timeLimit.abort()
  return stopped
}
