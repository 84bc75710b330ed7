import { addressSchema, processNameSchema } from '@hickoryspoke/configuration/settings-file'
import * as z from 'zod'

const urlSchema = z.string().regex(/^https?:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d+$/, 'http://IP:PORT')

/** Requests of one customer in a load run. */
const customerLoadSchema = z.strictObject({
  name: processNameSchema,
  key: z.string().default(''),
  rate: z.number().positive().max(100_000),
  method: z.enum(['GET', 'POST']).default('GET'),
  path: z.string().startsWith('/'),
  body: z.string().optional()
})

/** Settings of a load run. */
const loadSchema = z.strictObject({
  targets: z.array(urlSchema).min(1),
  duration_seconds: z.number().positive().max(3600),
  seed: z.int().default(1),
  customers: z.array(customerLoadSchema).min(1)
})

/** Settings of a fake upstream. */
const upstreamSchema = z.strictObject({
  name: processNameSchema,
  zone: processNameSchema,
  pool: processNameSchema,
  listen: addressSchema,
  slots: z.int().min(1).default(6),
  work_milliseconds: z.number().min(0).default(0),
  lease_milliseconds: z.int().min(300).default(3000),
  announce_token: z.string(),
  announce_to: z.array(urlSchema).min(1)
})

/** Settings of the bench program: a load run, a fake upstream, or both. */
export const benchSettingsSchema = z.strictObject({
  load: loadSchema.optional(),
  upstream: upstreamSchema.optional()
})

export type BenchSettings = z.output<typeof benchSettingsSchema>
export type LoadSettings = z.output<typeof loadSchema>
export type UpstreamSettings = z.output<typeof upstreamSchema>
