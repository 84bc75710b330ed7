import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ChannelCredentials } from '@grpc/grpc-js'
import { OperatorClient } from '@hickoryspoke/protocol/generated/operator'
import type { SecuritySection } from '@hickoryspoke/protocol/inner-credentials'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { generate } from 'selfsigned'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LocalFleet } from '../local-fleet.ts'

const PROCESSES = ['control-1', 'entry-1', 'entry-2', 'operator'] as const
const KEY_BITS = 2048

/** Writes a certificate for each process, issued by one certificate authority. */
async function writeCertificates (folder: string): Promise<(name: string) => SecuritySection> {
  const authority = await generate([{ name: 'commonName', value: 'authority' }], {
    keySize: KEY_BITS,
    extensions: [{ name: 'basicConstraints', cA: true, critical: true }]
  })
  await writeFile(join(folder, 'authority.pem'), authority.cert)
  for (const name of PROCESSES) {
    const issued = await generate([{ name: 'commonName', value: name }], {
      ca: { key: authority.private, cert: authority.cert },
      keySize: KEY_BITS,
      // Processes verify the DNS name, operators verify the IP address to which they connect.
      extensions: [{ name: 'subjectAltName', altNames: [{ type: 2, value: name }, { type: 7, ip: '127.0.0.1' }] }]
    })
    await writeFile(join(folder, `${name}.pem`), issued.cert)
    await writeFile(join(folder, `${name}.key`), issued.private)
  }
  return (name) => ({
    kind: 'mutual_tls',
    certificate_file: join(folder, `${name}.pem`),
    key_file: join(folder, `${name}.key`),
    authority_file: join(folder, 'authority.pem')
  })
}

test('a fleet with mutual TLS serves requests, and control rejects clients without a certificate', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'hickoryspoke-certificates-'))
  const security = await writeCertificates(folder)
  const surroundings = { clock: SystemClock.create(), random: SeededRandom.create(1), logger: silentLogger() }
  const fleet = await LocalFleet.start(surroundings, security)
  const answer = await fetch(`http://${fleet.entries[0]?.publicAddress}/public`)
  assert.is(answer.status, 200)
  const unauthenticatedClient = new OperatorClient(fleet.control.address, ChannelCredentials.createInsecure())
  const refusal = await new Promise<{ code: number } | null>((resolve) => unauthenticatedClient.status({}, (error) => resolve(error)))
  assert.ok(refusal !== null, 'control accepted a client without a certificate')
  unauthenticatedClient.close()
  await fleet.stop()
  await rm(folder, { recursive: true, force: true })
})

test.run()
