import { addressSchema, logSchema, processNameSchema, replicaAddressSchema, securitySchema } from '@hickoryspoke/configuration/settings-file'
import * as z from 'zod'

const DIGEST_PATTERN = /^sha256:[0-9a-f]{64}$/

/** Permissions of a token. */
export const operatorRoleSchema = z.enum(['operator', 'authority'])

/** An operator's token, given by its SHA-256 digest. */
export const operatorTokenSchema = z.strictObject({
  name: processNameSchema,
  role: operatorRoleSchema,
  digest: z.string().regex(DIGEST_PATTERN, 'sha256: and 64 hexadecimal digits')
})

/** Settings of a control VM; `examples/settings/control.toml` explains each. */
export const controlSettingsSchema = z.strictObject({
  name: processNameSchema,
  zone: processNameSchema,
  cluster: processNameSchema,
  data_folder: z.string(),
  /** How to start with an empty data folder: refuse to start, form a new cluster, or join an existing one. */
  on_empty_folder: z.enum(['refuse', 'form', 'join']).default('refuse'),
  listen: addressSchema,
  replicas: z.array(replicaAddressSchema).min(1).max(5),
  operators: z.array(operatorTokenSchema).min(1),
  security: securitySchema,
  log: logSchema.prefault({})
})

export type ControlSettings = z.output<typeof controlSettingsSchema>
