import { readFile } from 'node:fs/promises'
import { FileNotReadable } from '@hickoryspoke/configuration/settings-file'
import { ExitCode } from '@hickoryspoke/configuration/program'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { OperatorContext } from './operator-context.ts'

/** One parsed log line. */
export interface LogLine {
  readonly time: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Log lines about one request. */
export interface Explanation {
  /** Lines with the ID of the request, ordered by time. */
  readonly request: readonly LogLine[]
  /** Lines of the dispatcher with the ticket of the request. */
  readonly dispatcher: readonly LogLine[]
  /** Lines of all processes about the upstream that received the request, close in time to the end of the request. */
  readonly upstream: readonly LogLine[]
  /** Lines of the answering process about its dependencies, close in time to the end of the request. */
  readonly dependencies: readonly LogLine[]
  /** Number of lines that could not be parsed. */
  readonly damaged: number
}

const CONTEXT_WINDOW_MILLISECONDS = 10_000
const DEPENDENCY_EVENTS: ReadonlySet<string> = new Set(['leader lost', 'leader attended', 'configuration in force', 'phase changed', 'settings reloaded', 'stopping'])

/**
 * Collects the lines about a request from the logs of several processes. Lines that are not in the log format are
 * skipped; lines in the format that cannot be parsed are counted as damaged.
 */
export function explainRequest (id: string, texts: readonly string[]): Explanation {
  const { lines, damaged } = readLines(texts)
  const request = lines.filter(({ fields }) => fields.request === id)
  const end = request.at(-1)
  if (end === undefined) return { request, dispatcher: [], upstream: [], dependencies: [], damaged }
  const nearby = lines.filter((line) => line !== end && Math.abs(Date.parse(line.time) - Date.parse(end.time)) <= CONTEXT_WINDOW_MILLISECONDS)
  return {
    request,
    dispatcher: nearby.filter(({ fields }) => fields.entry === end.fields.node && fields.ticket !== undefined && fields.ticket === end.fields.ticket),
    upstream: nearby.filter(({ fields }) => end.fields.upstream !== '' && fields.upstream === end.fields.upstream && fields.request === undefined),
    dependencies: nearby.filter(({ fields }) => fields.node === end.fields.node && DEPENDENCY_EVENTS.has(String(fields.event))),
    damaged
  }
}

/** `explain`: prints the log lines about one request. */
export async function runExplain (context: OperatorContext, id: string, files: readonly string[]): Promise<ExitCode> {
  const texts: string[] = []
  for (const file of files) {
    try {
      texts.push(await readFile(file, 'utf8'))
    } catch (thrown) {
      return context.fail(FileNotReadable.create(file, describeError(thrown)))
    }
  }
  const explanation = explainRequest(id, texts)
  context.show(explanation, explanationLines(id, explanation))
  return explanation.request.length > 0 ? ExitCode.Done : ExitCode.Failed
}

function readLines (texts: readonly string[]): { lines: LogLine[], damaged: number } {
  const lines: LogLine[] = []
  let damaged = 0
  for (const text of texts.flatMap((content) => content.split('\n'))) {
    const begin = text.indexOf('{"time"')
    if (begin < 0) continue
    const line = readLine(text.slice(begin))
    if (line === undefined) damaged += 1
    else lines.push(line)
  }
  lines.sort((left, right) => left.time < right.time ? -1 : Number(left.time > right.time))
  return { lines, damaged }
}

function readLine (text: string): LogLine | undefined {
  try {
    const fields = JSON.parse(text) as Record<string, unknown>
    return typeof fields.time === 'string' ? { time: fields.time, fields } : undefined
  } catch (thrown) {
    if (thrown instanceof SyntaxError) return undefined
    throw thrown
  }
}

function explanationLines (id: string, { request, dispatcher, upstream, dependencies, damaged }: Explanation): string[] {
  if (request.length === 0) return [`no line names the request ${id} (${damaged} lines could not be read)`]
  return [
    ...request.map(formatLine),
    'of the dispatcher, on its question:',
    ...dispatcher.map(formatLine),
    `on its upstream, ${CONTEXT_WINDOW_MILLISECONDS / 1000} s around:`,
    ...upstream.map(formatLine),
    'what the process depends on, at that time:',
    ...dependencies.map(formatLine),
    `${damaged} lines could not be read`
  ]
}

function formatLine ({ time, fields }: LogLine): string {
  const { time: _, level, program, process: __, ...rest } = fields
  return `  ${time} ${Object.entries(rest).map(([name, value]) => `${name}=${String(value)}`).join(' ')}`
}
