import { readFile } from 'node:fs/promises'
import { type Clock, repeatEvery } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { CallerServer } from './caller-server.ts'
import type { CallerTls } from './caller-settings.ts'

const RELOAD_INTERVAL_MILLISECONDS = 5_000

/** Certificate and key files of the public port, in PEM. */
export interface CallerCertificateFiles {
  readonly certificateFile: string
  readonly keyFile: string
}

/** Reads the certificate of the public port. */
export async function readCallerTls (files: CallerCertificateFiles): Promise<CallerTls> {
  const [certificate, key] = await Promise.all([readFile(files.certificateFile, 'utf8'), readFile(files.keyFile, 'utf8')])
  return { certificate, key }
}

/** Puts renewed files to use for new connections, until the signal aborts. */
export async function watchCallerTls (
  files: CallerCertificateFiles,
  first: CallerTls,
  server: Pick<CallerServer, 'renewTls'>,
  { clock, logger, signal }: { readonly clock: Clock, readonly logger: Logger, readonly signal: AbortSignal }
): Promise<void> {
  let current = first
  await repeatEvery(clock, RELOAD_INTERVAL_MILLISECONDS, signal, async () => {
    try {
      const read = await readCallerTls(files)
      if (read.certificate === current.certificate && read.key === current.key) return
      server.renewTls(read)
      current = read
      logger.info('public certificate renewed')
    } catch (thrown) {
      logger.warn('public certificate not renewed', { reason: describeError(thrown) })
    }
  })
}
