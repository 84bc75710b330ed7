/** What callers and upstreams of a stop soak agree on: the work that a path asks for, and the bytes derived from a request's identifier. */
import { createHash } from 'node:crypto'

/** How an upstream sends its answer. */
export const AnswerFraming = { Length: 'length', Chunked: 'chunked' } as const
export type AnswerFraming = typeof AnswerFraming[keyof typeof AnswerFraming]

/** What a request asks its upstream to do. */
export interface AskedWork {
  readonly milliseconds: number
  readonly answerBytes: number
  readonly framing: AnswerFraming
}

export const REQUEST_BODY_BYTES = 2_000
const WORK = /\/(\d+)-bytes\/(\d+)-ms\/(length|chunked)$/

/** The end of the path of a request for some work. */
export function workPath ({ milliseconds, answerBytes, framing }: AskedWork): string {
  return `${answerBytes}-bytes/${milliseconds}-ms/${framing}`
}

/** The work that a path asks for. */
export function parseWork (path: string): AskedWork {
  const [, answerBytes, milliseconds, framing] = WORK.exec(path) ?? []
  return { answerBytes: Number(answerBytes ?? 0), milliseconds: Number(milliseconds ?? 0), framing: (framing ?? AnswerFraming.Length) as AnswerFraming }
}

/** The body that belongs to a request: its identifier again and again. */
export function derivedBody (id: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, id)
}

/** The signature of an upstream's answer. */
export function derivedSignature (id: string): string {
  return createHash('sha256').update(id).digest('hex').slice(0, 16)
}
