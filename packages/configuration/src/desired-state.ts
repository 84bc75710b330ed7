import { InvalidInput, type Issue } from '@hickoryspoke/runtime/failure'
import { stringify } from 'smol-toml'
import { Err, Ok, type Result } from 'ts-results-es'
import * as z from 'zod'
import { findReferenceIssues } from './desired-state-references.ts'
import { poolPolicySchema } from './pool-policy.ts'
import { parseTomlDocument, validate } from './toml-document.ts'

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
const DIGEST_PATTERN = /^sha256:[0-9a-f]{64}$/
const PATH_PATTERN = /^\/[A-Za-z0-9._~!$&'()*+,;=:@/-]*$/
const METHOD_PATTERN = /^[A-Z]+$/
const HOST_PATTERN = /^[a-z0-9.-]+(:\d+)?$/

const MAXIMUM_RATE_PER_SECOND = 1_000_000
const MAXIMUM_BURST = 1_000_000
const MAXIMUM_TIMEOUT_MILLISECONDS = 600_000
const DEFAULT_TIMEOUT_MILLISECONDS = 10_000
const DEFAULT_HEALTHY_FLOOR = 0.5

const name = z.string().regex(NAME_PATTERN, 'letters, digits, dot, dash and underscore, 64 at most')
const digest = z.string().regex(DIGEST_PATTERN, 'sha256: and 64 hexadecimal digits')

/** A customer and its rate limit over the whole fleet: `rate` in requests per second, `burst` in requests. */
const customerSchema = z.strictObject({
  name,
  rate: z.number().positive().max(MAXIMUM_RATE_PER_SECOND),
  burst: z.int().min(1).max(MAXIMUM_BURST)
})

/** An API key of a customer; only its SHA-256 digest is stored. */
const keySchema = z.strictObject({ customer: name, digest })

/** A pool of interchangeable upstreams and its health policy. */
const poolSchema = z.strictObject({
  name,
  healthy_floor: z.number().min(0).max(1).default(DEFAULT_HEALTHY_FLOOR),
  announce_digest: digest.optional(),
  policy: poolPolicySchema
})

/** Maps requests, by path prefix, method and host, to the pool that serves them. */
const routeSchema = z.strictObject({
  path: z.string().max(1024).regex(PATH_PATTERN, 'an absolute path in normal form'),
  methods: z.array(z.string().regex(METHOD_PATTERN, 'a method in capitals')).min(1).optional(),
  host: z.string().regex(HOST_PATTERN, 'a host name in small letters').optional(),
  pool: name,
  idempotent: z.boolean().optional(),
  open: z.boolean().default(false),
  timeout_milliseconds: z.int().min(1).max(MAXIMUM_TIMEOUT_MILLISECONDS).default(DEFAULT_TIMEOUT_MILLISECONDS)
})

/** The desired state of the fleet, as operators write it. */
export const desiredStateSchema = z.strictObject({
  number: z.int().min(1),
  based_on: z.int().min(0).optional(),
  customers: z.array(customerSchema).default([]),
  keys: z.array(keySchema).default([]),
  pools: z.array(poolSchema).default([]),
  routes: z.array(routeSchema).default([])
})

export type DesiredState = z.output<typeof desiredStateSchema>
export type Customer = z.output<typeof customerSchema>
export type CustomerKey = z.output<typeof keySchema>
export type Pool = z.output<typeof poolSchema>
export type Route = z.output<typeof routeSchema>

/** Parses a desired-state file in TOML. The error lists every issue found. */
export function parseDesiredState (text: string): Result<DesiredState, InvalidInput> {
  return checkReferences(parseTomlDocument(text, desiredStateSchema))
}

/** Validates a desired state given as a plain object. */
export function validateDesiredState (value: unknown): Result<DesiredState, InvalidInput> {
  return checkReferences(validate(value, desiredStateSchema))
}

/** Formats a desired state as TOML that `parseDesiredState` accepts. */
export function formatDesiredState (state: DesiredState): string {
  return stringify(state)
}

function checkReferences (parsed: Result<DesiredState, InvalidInput>): Result<DesiredState, InvalidInput> {
  if (parsed.isErr()) return parsed
  const issues: Issue[] = findReferenceIssues(parsed.value)
  return issues.length === 0 ? Ok(parsed.value) : Err(InvalidInput.create(issues))
}
