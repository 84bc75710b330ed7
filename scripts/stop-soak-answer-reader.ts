/** Reads the answers on a caller's connection, which may be incomplete when it ends. */

/** An answer that was read as a whole, or as far as it looks whole. */
export interface ReadAnswer {
  readonly status: number
  readonly headers: ReadonlyMap<string, string>
  readonly body: Buffer
}

const HEAD_END = '\r\n\r\n'
const LINE_END = '\r\n'
const WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])

interface Head {
  readonly status: number
  readonly headers: ReadonlyMap<string, string>
  /** Length of the head in bytes. */
  readonly end: number
}

interface Body {
  readonly body: Buffer
  /** Position behind the body. */
  readonly end: number
}

export class AnswerReader {
  private chunks: Buffer[] = []
  private isOutOfProtocol = false

  static create (): AnswerReader {
    return new AnswerReader()
  }

  /** Bytes of an answer that is not complete. */
  get partialBytes (): number {
    return this.chunks.reduce((sum, chunk) => sum + chunk.length, 0)
  }

  /** Whether bytes arrived that are no answer. */
  get hasFailed (): boolean {
    return this.isOutOfProtocol
  }

  /** Takes bytes of the connection and returns the answers that they complete. */
  read (chunk: Buffer): ReadAnswer[] {
    this.chunks.push(chunk)
    const answers: ReadAnswer[] = []
    for (let answer = this.next(); answer !== undefined; answer = this.next()) answers.push(answer)
    return answers
  }

  /** An answer without a stated length that the regular end of the connection completes. */
  end (): ReadAnswer | undefined {
    const bytes = Buffer.concat(this.chunks)
    const head = this.readHead(bytes)
    if (head === undefined || head.headers.has('content-length') || head.headers.has('transfer-encoding')) return undefined
    this.chunks = []
    return { ...head, body: bytes.subarray(head.end) }
  }

  private next (): ReadAnswer | undefined {
    const bytes = Buffer.concat(this.chunks)
    this.chunks = bytes.length === 0 ? [] : [bytes]
    const head = this.readHead(bytes)
    if (head === undefined) return undefined
    const body = readBody(bytes, head)
    if (body === undefined) return undefined
    this.chunks = body.end === bytes.length ? [] : [bytes.subarray(body.end)]
    return { status: head.status, headers: head.headers, body: body.body }
  }

  private readHead (bytes: Buffer): Head | undefined {
    const end = bytes.indexOf(HEAD_END)
    if (end === -1) return undefined
    const [statusLine = '', ...lines] = bytes.subarray(0, end).toString('latin1').split(LINE_END)
    const status = /^HTTP\/1\.1 (\d{3}) /.exec(statusLine)?.[1]
    this.isOutOfProtocol ||= status === undefined
    return { status: Number(status ?? 0), headers: new Map(lines.map(splitHeader)), end: end + HEAD_END.length }
  }
}

function splitHeader (line: string): [string, string] {
  const separator = line.indexOf(':')
  return [line.slice(0, separator).toLowerCase(), line.slice(separator + 1).trim()]
}

/** The body of an answer, or undefined if it is not complete or ends with its connection. */
function readBody (bytes: Buffer, { status, headers, end }: Head): Body | undefined {
  if (WITHOUT_BODY.has(status)) return { body: Buffer.alloc(0), end }
  if (headers.get('transfer-encoding') === 'chunked') return readChunkedBody(bytes, end)
  const length = headers.get('content-length')
  const last = end + Number(length)
  return length === undefined || bytes.length < last ? undefined : { body: bytes.subarray(end, last), end: last }
}

function readChunkedBody (bytes: Buffer, start: number): Body | undefined {
  const parts: Buffer[] = []
  for (let position = start; ;) {
    const lineEnd = bytes.indexOf(LINE_END, position)
    if (lineEnd === -1) return undefined
    const size = Number.parseInt(bytes.subarray(position, lineEnd).toString('latin1'), 16)
    const data = lineEnd + LINE_END.length
    if (bytes.length < data + size + LINE_END.length) return undefined
    if (size === 0) return { body: Buffer.concat(parts), end: data + LINE_END.length }
    parts.push(bytes.subarray(data, data + size))
    position = data + size + LINE_END.length
  }
}
