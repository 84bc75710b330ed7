/** What the callers of a stop soak send, drawn from the seed: batches of repeatable requests, and requests that must not run twice. */
import { pickOne, randomBelow, type RandomSource } from '../packages/runtime/src/random.ts'
import { AnswerFraming, type AskedWork } from './stop-soak-work.ts'

/** How the body of a request is written. */
export const BodyFraming = { Whole: 'whole', Pieces: 'pieces', Chunked: 'chunked' } as const
export type BodyFraming = typeof BodyFraming[keyof typeof BodyFraming]

/** Habits of a caller. */
export const CallerHabit = { Batches: 'batches', Posts: 'posts', QuietPosts: 'quiet posts' } as const
export type CallerHabit = typeof CallerHabit[keyof typeof CallerHabit]

/** A request with the pause after it. */
export interface PlannedRequest {
  readonly mayRepeat: boolean
  readonly work: AskedWork
  readonly framing: BodyFraming
  /** Pause between two pieces of the body. */
  readonly pieceGap: number
  readonly gap: number
}

/** Requests that are sent without waiting for each other's answers. */
export interface PlannedRound {
  readonly requests: readonly PlannedRequest[]
  /** Time without reading, from the first request on; 0 for none. */
  readonly readingPause: number
  /** Time without requests, behind the last answer. */
  readonly quiet: number
}

const LARGE_BYTES = 400_000
const SMALL_BYTES = 5_000
const LONG_WORK_MILLISECONDS = 3_000
const WORK = { least: 30, span: 370 }
const READING_PAUSE = { least: 200, span: 1_300 }
const QUIET = { least: 500, span: 4_000 }
const BATCH_LIMIT = 4
const BATCH_GAP_SPAN = 220
const PIECE_GAP_SPAN = 300
const POST_QUIET_SPAN = 100
const LARGE_SHARE = 0.4
const LONG_SHARE = 0.03
const PAUSED_SHARE = 0.2
const CHUNKED_ANSWER_SHARE = 0.2

const ROUNDS: Readonly<Record<CallerHabit, (random: RandomSource) => PlannedRound>> = {
  [CallerHabit.Batches]: (random) => ({
    requests: Array.from({ length: 1 + randomBelow(random, BATCH_LIMIT) }, () => planRequest(random, true)),
    readingPause: random.next() < PAUSED_SHARE ? READING_PAUSE.least + random.next() * READING_PAUSE.span : 0,
    quiet: 0
  }),
  [CallerHabit.Posts]: (random) => ({ requests: [planRequest(random, false)], readingPause: 0, quiet: random.next() * POST_QUIET_SPAN }),
  [CallerHabit.QuietPosts]: (random) => ({ requests: [planRequest(random, false)], readingPause: 0, quiet: QUIET.least + random.next() * QUIET.span })
}

/** The habit of a caller: each has a third of them. */
export function habitOf (index: number): CallerHabit {
  const habits = Object.values(CallerHabit)
  return habits[index % habits.length] as CallerHabit
}

/** Plans the next round of a caller. */
export function planRound (random: RandomSource, habit: CallerHabit): PlannedRound {
  return ROUNDS[habit](random)
}

function planRequest (random: RandomSource, mayRepeat: boolean): PlannedRequest {
  const milliseconds = random.next() < LONG_SHARE ? LONG_WORK_MILLISECONDS : WORK.least + randomBelow(random, WORK.span)
  return {
    mayRepeat,
    work: {
      milliseconds,
      answerBytes: random.next() < LARGE_SHARE ? LARGE_BYTES : SMALL_BYTES,
      framing: random.next() < CHUNKED_ANSWER_SHARE ? AnswerFraming.Chunked : AnswerFraming.Length
    },
    framing: pickOne(random, Object.values(BodyFraming)),
    pieceGap: random.next() * PIECE_GAP_SPAN,
    gap: random.next() * BATCH_GAP_SPAN
  }
}
