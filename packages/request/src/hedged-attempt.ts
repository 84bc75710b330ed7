/** Races an attempt against a second one, which begins once the first takes several times as long as usual. */

/** An attempt that has begun. */
export interface RunningAttempt<Result> {
  readonly result: Promise<Result>
  /** Ends the attempt, as its result is not used. */
  cancel (): void
}

/** How a hedged attempt is run. */
export interface HedgedAttemptOptions<Attempt, Result> {
  readonly first: Attempt
  /** Resolves when the first attempt is overdue; never if it is not. */
  readonly overdue: Promise<void>
  /** Begins a second attempt, unless the signal aborts before; undefined when there is to be none. */
  readonly startSecond: (signal: AbortSignal) => Promise<Attempt | undefined>
  /** Whether a result ends the race while the other attempt runs. */
  readonly isUsable: (result: Result) => boolean
}

/** The attempt whose result is used. */
export interface FinishedAttempt<Attempt, Result> {
  readonly attempt: Attempt
  readonly result: Result
}

/** Reason of an aborted wait. Without one, an exception with a stack trace is created for each request. */
const FINISHED = 'finished'

/** Resolves with the first usable result, and cancels the other attempt; with the last result if none is usable. */
export async function runHedged<Result, Attempt extends RunningAttempt<Result>> (
  { first, overdue, startSecond, isUsable }: HedgedAttemptOptions<Attempt, Result>
): Promise<FinishedAttempt<Attempt, Result>> {
  const wait = new AbortController()
  const finished = finish<Result, Attempt>(first)
  void finished.then(() => wait.abort(FINISHED))
  const isOverdue = await Promise.race([finished.then(() => false), overdue.then(() => true)])
  if (!isOverdue) return await finished
  const second = await startSecond(wait.signal)
  if (second === undefined) return await finished
  const racing = [finished, finish<Result, Attempt>(second)] as const
  const earlier = await Promise.race(racing)
  const other = earlier.attempt === first ? second : first
  if (!isUsable(earlier.result)) return await finish<Result, Attempt>(other)
  other.cancel()
  return earlier
}

async function finish<Result, Attempt extends RunningAttempt<Result>> (attempt: Attempt): Promise<FinishedAttempt<Attempt, Result>> {
  return { attempt, result: await attempt.result }
}
