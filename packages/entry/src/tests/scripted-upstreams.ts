/** One caller of an entry on loopback whose upstreams follow scripts. */
import { createConnection, type Socket } from 'node:net'
import { RawUpstream, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { until } from './caller-fixture.ts'
import { startDispatched, type DispatchedFixtureOptions } from './dispatched-fixture.ts'

/** Timeout of the requests. */
export const TIMEOUT_MILLISECONDS = 700
/** More than is held of a response, so that its upstream is paused. */
export const LARGE_BYTES = 400_000
/** A part of a response, more than is held of it. */
export const PART_BYTES = 100_000

/** A caller's connection, and what it has received. */
export class Caller {
  received = ''
  isClosed = false

  private constructor (readonly socket: Socket) {
    socket.on('data', (chunk) => { this.received += chunk.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => { this.isClosed = true })
  }

  static create (port: number): Caller {
    return new Caller(createConnection(port, '127.0.0.1'))
  }

  get (path: string): void {
    this.socket.write(`GET ${path} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n`)
  }

  /** Status, announced and received length of each response, the last one to the end of what was received. */
  get responses (): { status: number, announced: number, bytes: number }[] {
    return this.received.split(/(?=HTTP\/1\.1 \d{3} )/).filter((part) => part !== '').map((part) => ({
      status: Number(part.slice(9, 12)),
      announced: Number(/\r\ncontent-length: (\d+)/i.exec(part)?.[1] ?? Number.NaN),
      bytes: part.length - part.indexOf('\r\n\r\n') - 4
    }))
  }

  /** Whether a response looks complete, or the connection has ended. */
  get isAnswered (): boolean {
    return this.isClosed || this.responses.some(({ announced, bytes }) => bytes >= announced)
  }

  /** Waits until more than this many bytes arrived, or the connection ended before. */
  async untilReceived (bytes: number): Promise<void> {
    await until(() => this.received.length > bytes || this.isClosed)
  }
}

/** An entry and what is around it. */
export interface Play {
  readonly entry: Awaited<ReturnType<typeof startDispatched>>
  readonly caller: Caller
  readonly upstreams: readonly RawUpstream[]
}

/** Waits on the clock of the system. */
export async function wait (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Starts an entry whose requests go to upstreams with these scripts in turn. */
export async function withUpstreams (
  scripts: readonly UpstreamScript[], use: (play: Play) => Promise<void>, options: DispatchedFixtureOptions = {}
): Promise<void> {
  const upstreams = await Promise.all(scripts.map(async (script) => await RawUpstream.create(script)))
  let turn = 0
  const entry = await startDispatched((client, { ticket }) => {
    const index = turn % upstreams.length
    turn += 1
    client.receivePlacement({ ticket, instance: `i-${index}`, address: upstreams[index]?.address ?? '' })
  }, { timeoutMilliseconds: TIMEOUT_MILLISECONDS, ...options })
  const caller = Caller.create(entry.port)
  try {
    await use({ entry, caller, upstreams })
  } finally {
    caller.socket.destroy()
    entry.server.close()
    await Promise.all(upstreams.map(async (upstream) => await upstream.close()))
  }
}

/** The start of a response of `LARGE_BYTES`. */
export const startOf = (status: string, bytes: number): string => `HTTP/1.1 ${status}\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n${'x'.repeat(bytes)}`
