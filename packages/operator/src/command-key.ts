import { randomBytes } from 'node:crypto'
import { ExitCode } from '@hickoryspoke/configuration/program'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import type { OperatorContext } from './operator-context.ts'

const KEY_BYTES = 32
const KEY_PREFIX = 'hk_'

/** `key create`: prints a new key and the lines to add to the desired-state file. The key is neither sent nor stored. */
export function runKeyCreate (context: OperatorContext, customer: string): ExitCode {
  const key = KEY_PREFIX + randomBytes(KEY_BYTES).toString('base64url')
  const digest = sha256Digest(key)
  context.show({ key, digest }, [
    `key (shown once): ${key}`,
    'for the file:',
    '[[keys]]',
    `customer = ${JSON.stringify(customer)}`,
    `digest = "${digest}"`
  ])
  return ExitCode.Done
}
