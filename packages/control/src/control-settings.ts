import { addressSchema, logSchema, processNameSchema, replicaAddressSchema, securitySchema } from '@hickoryspoke/configuration/settings-file'
import * as z from 'zod'

const DIGEST_PATTERN = /^sha256:[0-9a-f]{64}$/

/** What a token allows. */
export const operatorRoleSchema = z.enum(['operator', 'authority'])

/** An operator's token, kept as its SHA-256 digest. */
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
  /** What an empty data folder means: a fault, a new cluster, or a VM that joins. */
  on_empty_folder: z.enum(['refuse', 'form', 'join']).default('refuse'),
  listen: addressSchema,
  replicas: z.array(replicaAddressSchema).min(1).max(5),
  operators: z.array(operatorTokenSchema).min(1),
  security: securitySchema,
  log: logSchema.prefault({})
})

export type ControlSettings = z.output<typeof controlSettingsSchema>
