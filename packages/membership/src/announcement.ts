import { timingSafeEqual } from 'node:crypto'
import { isAddress } from '@hickoryspoke/runtime/address'
import { Failure, type Issue } from '@hickoryspoke/runtime/failure'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import { Err, Ok, type Result } from 'ts-results-es'
import * as z from 'zod'

const MINIMUM_LEASE_MILLISECONDS = 200
const MAXIMUM_LEASE_MILLISECONDS = 600_000
const MAXIMUM_SLOTS = 100_000
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/

const addressSchema = z.string().max(64).refine(isAddress, 'IP:PORT, with an IPv6 address in brackets')

const announcementSchema = z.strictObject({
  pool: z.string().regex(NAME_PATTERN),
  address: addressSchema,
  zone: z.string().regex(NAME_PATTERN),
  slots: z.int().min(1).max(MAXIMUM_SLOTS),
  incarnation: z.int().min(0),
  leaseMilliseconds: z.int().min(MINIMUM_LEASE_MILLISECONDS).max(MAXIMUM_LEASE_MILLISECONDS),
  state: z.enum(['serving', 'draining']).default('serving'),
  load: z.number().min(0).default(0)
})

/** Announcement of an upstream. `load` is a share of its slots. */
export type Announcement = z.output<typeof announcementSchema>

/** Withdrawal of an upstream. Without an incarnation it applies to the known one. */
const withdrawalSchema = announcementSchema.pick({ pool: true, address: true }).extend({ incarnation: z.int().min(0).optional() }).strip()

export type Withdrawal = z.output<typeof withdrawalSchema>

/** Why an announcement was refused. */
export const RefusalReason = {
  Invalid: 'invalid_announcement',
  StaleIncarnation: 'stale_incarnation',
  AddressClaimed: 'address_claimed',
  UnknownUpstream: 'unknown_upstream',
  WrongToken: 'wrong_token'
} as const
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason]

/** The announcement was refused and had no effect. */
export class AnnouncementRefused extends Failure {
  private constructor (readonly code: RefusalReason, message: string, readonly issues: readonly Issue[]) {
    super(message)
  }

  static create (code: RefusalReason, message: string, issues: readonly Issue[] = []): AnnouncementRefused {
    return new AnnouncementRefused(code, message, issues)
  }
}

/** Validates an announcement. The error lists all issues. */
export function parseAnnouncement (value: unknown): Result<Announcement, AnnouncementRefused> {
  return parseWithSchema(announcementSchema, value)
}

/** Validates a withdrawal. A complete announcement is accepted as a withdrawal too. */
export function parseWithdrawal (value: unknown): Result<Withdrawal, AnnouncementRefused> {
  return parseWithSchema(withdrawalSchema, value)
}

function parseWithSchema<Output> (schema: z.ZodType<Output>, value: unknown): Result<Output, AnnouncementRefused> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return Ok(parsed.data)
  const issues = parsed.error.issues.map((issue) => ({ code: issue.code, path: issue.path as (string | number)[], message: issue.message }))
  return Err(AnnouncementRefused.create(RefusalReason.Invalid, 'the announcement is not valid', issues))
}

/** Compares a token with a pool's token digest in constant time. A pool without a digest accepts no token. */
export function checkAnnouncementToken (token: string | undefined, announceDigest: string | undefined): Result<void, AnnouncementRefused> {
  const presented = Buffer.from(sha256Digest(token ?? ''))
  const expected = Buffer.from(announceDigest ?? sha256Digest('no token is right'))
  const equal = presented.length === expected.length && timingSafeEqual(presented, expected)
  if (equal && token !== undefined && announceDigest !== undefined) return Ok.EMPTY
  return Err(AnnouncementRefused.create(RefusalReason.WrongToken, 'the announcement token is not that of the pool'))
}
