import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type TLSSocket, connect } from 'node:tls'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { generate } from 'selfsigned'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type CallerCertificateFiles, readCallerTls, watchCallerTls } from '../caller-certificates.ts'
import { CallerFixture } from './caller-fixture.ts'

const CHECK_INTERVAL_MILLISECONDS = 5_000
const REQUEST = 'GET /nowhere HTTP/1.1\r\nHost: entry\r\n\r\n'

async function writePair (files: CallerCertificateFiles): Promise<void> {
  const pair = await generate([{ name: 'commonName', value: 'entry' }], { keySize: 2048 })
  await writeFile(files.certificateFile, pair.cert)
  await writeFile(files.keyFile, pair.private)
}

async function open (port: number): Promise<TLSSocket> {
  return await new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port, rejectUnauthorized: false }, () => resolve(socket))
  })
}

async function ask (socket: TLSSocket): Promise<string> {
  return await new Promise((resolve) => {
    socket.once('data', (chunk) => resolve(String(chunk).slice(0, 'HTTP/1.1 404'.length)))
    socket.write(REQUEST)
  })
}

test('a renewed certificate is used for new connections, open ones continue, and a damaged file is rejected', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'hickoryspoke-public-'))
  const files = { certificateFile: join(folder, 'public.pem'), keyFile: join(folder, 'public.key') }
  await writePair(files)
  const tls = (await readCallerTls(files)).unwrap()
  const fixture = await CallerFixture.create({ addresses: [], tls })
  const clock = FakeClock.create()
  const stop = new AbortController()
  const renewals: unknown[] = []
  const server = {
    renewTls: (renewed: typeof tls) => {
      renewals.push(renewed)
      fixture.server.renewTls(renewed)
    }
  }
  void watchCallerTls(files, tls, server, { clock, logger: silentLogger(), signal: stop.signal })
  const before = await open(fixture.port)
  await writePair(files)
  while (renewals.length === 0) await clock.advanceAsync(CHECK_INTERVAL_MILLISECONDS)
  const after = await open(fixture.port)
  assert.is.not(after.getPeerCertificate().fingerprint256, before.getPeerCertificate().fingerprint256)
  assert.is(await ask(before), 'HTTP/1.1 404')
  await writeFile(files.keyFile, 'damaged')
  assert.is((await readCallerTls(files)).unwrapErr().code, 'certificate_not_usable')
  stop.abort()
  before.destroy()
  after.destroy()
  await fixture.close()
  await rm(folder, { recursive: true, force: true })
})

test.run()
