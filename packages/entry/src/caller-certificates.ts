import { readFile } from 'node:fs/promises'
import { createSecureContext } from 'node:tls'
import { type Clock, repeatEvery } from '@hickoryspoke/runtime/clock'
import { Failure, describeError } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CallerServer } from './caller-server.ts'
import type { CallerTls } from './caller-settings.ts'

const CHECK_INTERVAL_MILLISECONDS = 5_000

/** Paths of the PEM files with the certificate and the key of the public port. */
export interface CallerCertificateFiles {
  readonly certificateFile: string
  readonly keyFile: string
}

/** The certificate or its key is missing, malformed, or they do not match. */
export class CertificateNotUsable extends Failure {
  readonly code = 'certificate_not_usable'

  private constructor (readonly file: string, reason: string) {
    super(`cannot use the certificate ${file}: ${reason}`)
  }

  static create (file: string, reason: string): CertificateNotUsable {
    return new CertificateNotUsable(file, reason)
  }
}

/** Reads the certificate and the key of the public port and checks that they match. */
export async function readCallerTls (files: CallerCertificateFiles): Promise<Result<CallerTls, CertificateNotUsable>> {
  try {
    const [certificate, key] = await Promise.all([readFile(files.certificateFile, 'utf8'), readFile(files.keyFile, 'utf8')])
    createSecureContext({ cert: certificate, key })
    return Ok({ certificate, key })
  } catch (thrown) {
    return Err(CertificateNotUsable.create(files.certificateFile, describeError(thrown)))
  }
}

/** Reloads the files when they change and uses them for new connections, until the signal aborts. */
export async function watchCallerTls (
  files: CallerCertificateFiles,
  first: CallerTls,
  server: Pick<CallerServer, 'renewTls'>,
  { clock, logger, signal }: { readonly clock: Clock, readonly logger: Logger, readonly signal: AbortSignal }
): Promise<void> {
  let current = first
  await repeatEvery(clock, CHECK_INTERVAL_MILLISECONDS, signal, async () => {
    const read = await readCallerTls(files)
    if (read.isErr()) {
      logger.warn('public certificate not renewed', { reason: read.error.message })
      return
    }
    if (read.value.certificate === current.certificate && read.value.key === current.key) return
    server.renewTls(read.value)
    current = read.value
    logger.info('public certificate renewed')
  })
}
