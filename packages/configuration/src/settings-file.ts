import { readFile } from 'node:fs/promises'
import type { InvalidInput } from '@hickoryspoke/runtime/failure'
import { Failure, describeError } from '@hickoryspoke/runtime/failure'
import { Err, type Result } from 'ts-results-es'
import * as z from 'zod'
import { parseTomlDocument } from './toml-document.ts'

const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/

/** IP:PORT. Host names are not accepted. */
export const addressSchema = z.string().regex(ADDRESS_PATTERN, 'an IP address and a port')

/** Name of a process or zone. */
export const processNameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'letters, digits, dot, dash and underscore')

/** Transport security between the processes of the fleet. */
export const securitySchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('mutual_tls'),
    certificate_file: z.string(),
    key_file: z.string(),
    authority_file: z.string()
  }),
  z.strictObject({ kind: z.literal('plain_text') })
])

export type SecuritySettings = z.output<typeof securitySchema>

/** Name and address of a control VM. */
export const replicaAddressSchema = z.strictObject({ name: processNameSchema, address: addressSchema })

/** Log settings. */
export const logSchema = z.strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })

/** A settings file could not be read. */
export class FileNotReadable extends Failure {
  readonly code = 'file_not_readable'

  private constructor (readonly file: string, reason: string) {
    super(`cannot read ${file}: ${reason}`)
  }

  static create (file: string, reason: string): FileNotReadable {
    return new FileNotReadable(file, reason)
  }
}

/** Reads and validates a settings file in TOML. The error lists every issue found. */
export async function readSettingsFile<Schema extends z.ZodType> (
  file: string,
  schema: Schema
): Promise<Result<z.output<Schema>, InvalidInput | FileNotReadable>> {
  try {
    return parseTomlDocument(await readFile(file, 'utf8'), schema)
  } catch (thrown) {
    return Err(FileNotReadable.create(file, describeError(thrown)))
  }
}
