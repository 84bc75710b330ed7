import { addressSchema, logSchema, processNameSchema, replicaAddressSchema, securitySchema } from '@hickoryspoke/configuration/settings-file'
import * as z from 'zod'

const DEFAULT_ANNOUNCE_SECONDS = 5
const DEFAULT_GRACE_SECONDS = 20
const DEFAULT_HEADER_BYTES = 16_384
const DEFAULT_BODY_BYTES = 10_485_760

/** Settings of an entry VM, documented in `examples/settings/entry.toml`. */
export const entrySettingsSchema = z.strictObject({
  name: processNameSchema,
  zone: processNameSchema,
  region: processNameSchema.default('default'),
  data_folder: z.string().optional(),
  listen: z.strictObject({
    public: addressSchema,
    inner: addressSchema,
    peer: addressSchema
  }),
  advertise_peer: addressSchema.optional(),
  control: z.array(replicaAddressSchema).min(1),
  seed_peers: z.array(replicaAddressSchema).default([]),
  security: securitySchema,
  callers: z.strictObject({
    header_bytes: z.int().min(1024).max(1_048_576).default(DEFAULT_HEADER_BYTES),
    body_bytes: z.int().min(0).default(DEFAULT_BODY_BYTES),
    certificate_file: z.string().optional(),
    key_file: z.string().optional()
  }).prefault({}),
  shutdown: z.strictObject({
    announce_seconds: z.number().min(0).max(600).default(DEFAULT_ANNOUNCE_SECONDS),
    grace_seconds: z.number().min(0).max(3600).default(DEFAULT_GRACE_SECONDS)
  }).prefault({}),
  log: logSchema.prefault({})
})

export type EntrySettings = z.output<typeof entrySettingsSchema>
