import { InvalidInput, type Issue } from '@hickoryspoke/runtime/failure'
import { parse, TomlError } from 'smol-toml'
import { Err, Ok, type Result } from 'ts-results-es'
import type { z } from 'zod'

/** Parses TOML text and validates it against a schema. The error lists every issue found. */
export function parseTomlDocument<Schema extends z.ZodType> (text: string, schema: Schema): Result<z.output<Schema>, InvalidInput> {
  const document = readToml(text)
  if (document.isErr()) return document
  return validate(document.value, schema)
}

/** Validates a value against a schema. The error lists each issue with its path. */
export function validate<Schema extends z.ZodType> (value: unknown, schema: Schema): Result<z.output<Schema>, InvalidInput> {
  const outcome = schema.safeParse(value)
  if (outcome.success) return Ok(outcome.data)
  return Err(InvalidInput.create(outcome.error.issues.flatMap(toIssues)))
}

function readToml (text: string): Result<unknown, InvalidInput> {
  try {
    return Ok(parse(text))
  } catch (thrown) {
    if (!(thrown instanceof TomlError)) throw thrown
    const [summary] = thrown.message.split('\n')
    return Err(InvalidInput.create([{ code: 'invalid_toml', path: [`line ${thrown.line}`], message: summary ?? 'not TOML' }]))
  }
}

function toIssues (issue: z.core.$ZodIssue): Issue[] {
  const path = issue.path.map((part) => typeof part === 'symbol' ? String(part) : part)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ code: 'unknown_name', path: [...path, key], message: 'this name is not known here' }))
  }
  if (issue.code === 'custom') {
    const code = typeof issue.params?.['code'] === 'string' ? issue.params['code'] : 'custom'
    return [{ code, path, message: issue.message }]
  }
  return [{ code: issue.code, path, message: issue.message }]
}
